#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/document/document.h>
#include <galenarack/document/nameindex.h>
#include <galenarack/health/upstreamreport.h>

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// State of an upstream as determined by one ingress.
enum class UpstreamState : std::uint8_t {
    Serving, ///< Selected for requests; includes upstreams kept only for the floor.
    Cold, ///< Selected with a reduced traffic share during slow start.
    Leaving, ///< Receives no new requests, regardless of the floor.
    Ejected, ///< Not selected, except for trial requests.
    Unreachable, ///< The VM of the upstream's home is gone, or this ingress has no working path to it.
};

/// @return the lower-case name of a state, e.g. "unreachable"
std::string_view upstreamStateName(UpstreamState state);

/// Peer index of upstreams whose home is this node.
constexpr std::uint32_t noPeer = std::numeric_limits<std::uint32_t>::max();

/// Row of one upstream at the ingress: the last report of its home and the decision of the floor system.
struct ReportRow
{
    std::string name;
    std::string vm; ///< Name of the VM that the upstream and its home run on.
    std::uint32_t service = 0; ///< Index into ReportTable::services.
    std::uint32_t peer = noPeer; ///< Row of the upstream's home in the PathTable.
    std::uint32_t failureDomain = 0; ///< Index into ReportTable::failureDomains.
    UpstreamRule rule = UpstreamRule::Judge;
    std::uint32_t slots = 1; ///< Number of requests that the upstream runs at once.
    bool leaving = false; ///< Whether membership, the VM list or the home reports that the VM leaves.
    bool gone = false; ///< Whether membership reports the VM as gone.
    bool reported = false; ///< Whether the home itself has sent a report.
    UpstreamReport report; ///< Last report, updated by gossip.
    TimePoint reportedAt; ///< Time of the last report by the home itself, not counting gossip.
    TimePoint healthStateAt; ///< Time of the last update of the health state, including gossip.
    std::uint32_t sentSinceReport = 0; ///< Requests sent by this ingress since the last report by the home.
    std::array<float, maxRouteClasses> latency{}; ///< Reported latency by route class, as log of microseconds; 0 means unknown.
    std::array<TimePoint, maxRouteClasses> latencyAt; ///< When each latency was reported.

    UpstreamState state = UpstreamState::Serving; ///< Decision of the floor system, like the members below.
    bool insist = false; ///< Kept for the floor although ejected; requests to the upstream carry `insist`.
    bool trial = false; ///< Ejected, but receives a small stream of repeatable requests.
    float weight = 1.0F; ///< Traffic share in selection, 0 to 1.

    /// @return whether the upstream is selected for all kinds of requests
    bool isKept() const
    {
        return this->state == UpstreamState::Serving || this->state == UpstreamState::Cold;
    }
};

/// Number of upstreams of one service in each state.
struct StateCounts
{
    std::uint32_t serving = 0; ///< Upstreams in state Serving, including those kept only for the floor.
    std::uint32_t cold = 0;
    std::uint32_t leaving = 0;
    std::uint32_t ejected = 0;
    std::uint32_t unreachable = 0;
    std::uint32_t insisted = 0; ///< Upstreams among `serving` and `cold` that are kept only for the floor.
    std::uint32_t floor = 0; ///< Minimum number of upstreams to keep among those reachable and not leaving.
};

/// Row of one service at the ingress.
struct ServiceReports
{
    std::string name;
    FloorRule floor;
    std::vector<std::uint32_t> rows; ///< Indexes into ReportTable::rows.
    StateCounts counts;
    bool changed = true; ///< Whether an input of the floor system has changed since the last decision.
    TimePoint decidedAt; ///< When the floor system last decided for the service.
    std::optional<TimePoint> commonSlowdownAt; ///< When most upstreams were last reported as slow at the same time.
    bool atFloor = false; ///< Whether the floor keeps at least one upstream that would be ejected otherwise.
};

/// Reports and decisions at the ingress, one row per upstream of the document.
class ReportTable
{
public:
    /// Replaces services and upstreams by those of a document. Upstreams that were there before keep their state. The caller sets
    /// `peer` of new and moved upstreams afterwards.
    void configure(const Document &document, TimePoint now);

    /// @return the index of the upstream's row, or nothing if it is unknown; configure() changes the indexes
    std::optional<std::uint32_t> find(std::string_view name) const;

    /// @return the index of the service, or nothing if it is unknown; configure() changes the indexes
    std::optional<std::uint32_t> findService(std::string_view name) const;

    /// Applies a report by the home, received with a response or a heartbeat.
    void report(std::uint32_t row, const UpstreamReport &report, TimePoint now);

    /// Applies a health state received by gossip; load and latency stay unchanged.
    void gossip(std::uint32_t row, HealthState healthState, HealthCause cause, float severity, TimePoint now);

    /// Records that this ingress has sent a request to the upstream.
    void sent(std::uint32_t row)
    {
        ++this->rows[row].sentSinceReport;
    }

    /// Applies the membership state of a VM to its upstreams.
    void setMembership(std::string_view vm, bool leaving, bool gone);

    /// Returns the median latency of a service's kept upstreams for one route class. It is sent to homes with requests.
    /// @return 0 if the latency of fewer than two upstreams was reported within the last 10 s
    Duration medianLatency(std::uint32_t service, std::uint8_t routeClass, TimePoint now) const;

    std::vector<ReportRow> rows;
    std::vector<ServiceReports> services;
    std::vector<std::string> failureDomains;

private:
    void recordChange(const ReportRow &row, const UpstreamReport &next);
    std::uint32_t failureDomainIndex(std::string_view name);

    NameIndex rowByName;
    NameIndex serviceByName;
    NameMap<std::vector<std::uint32_t>> rowsByVm;
    mutable std::vector<float> scratch; ///< Buffer of medianLatency(), kept to avoid an allocation per call.
};

} // namespace Galenarack
