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

/// State of an upstream as seen by one ingress.
enum class UpstreamState : std::uint8_t {
    Serving,
    Cold, ///< Kept, in slow start.
    Leaving, ///< Takes no new work, whatever the floor.
    Ejected,
    Unreachable, ///< This ingress has no working path to its home.
};

/// @return lower-case name, e.g. "unreachable"
std::string_view upstreamStateName(UpstreamState state);

/// Peer index of upstreams whose home is this node.
constexpr std::uint32_t noPeer = std::numeric_limits<std::uint32_t>::max();

/// The ingress's row of one upstream: what its home reported and what the floor system made of it.
struct ReportRow
{
    std::string name;
    std::string vm;
    std::uint32_t service = 0; ///< Index into ReportTable::services.
    std::uint32_t peer = noPeer; ///< Row of its home in the PathTable.
    std::uint32_t failureDomain = 0; ///< Index into ReportTable::failureDomains.
    UpstreamRule rule = UpstreamRule::Judge;
    std::uint32_t slots = 1;
    bool leaving = false; ///< Signalled by membership, the VM list or the home.
    bool gone = false; ///< Membership says that its VM is gone.
    bool reported = false;
    UpstreamReport report;
    TimePoint reportedAt; ///< Of a report by the home itself; gossip does not count.
    TimePoint healthStateAt; ///< Of the last news about the verdict, also by gossip.
    std::uint32_t sentSinceReport = 0; ///< Requests of this ingress since the report.
    std::array<float, maxRouteClasses> latency{}; ///< Reported log latency in microseconds by class; 0 means unknown.
    std::array<TimePoint, maxRouteClasses> latencyAt;

    UpstreamState state = UpstreamState::Serving; ///< Decision of the floor system, as the rest.
    bool insist = false; ///< Kept for the floor although ejected; requests state it.
    bool trial = false; ///< Ejected, but takes a small stream of repeatable requests.
    float weight = 1.0F; ///< Share in selection.

    /// @return whether the upstream is selected for all kinds of requests
    bool isKept() const
    {
        return this->state == UpstreamState::Serving || this->state == UpstreamState::Cold;
    }
};

/// Upstreams of one service in each state.
struct StateCounts
{
    std::uint32_t serving = 0; ///< Includes upstreams kept for the floor.
    std::uint32_t cold = 0;
    std::uint32_t leaving = 0;
    std::uint32_t ejected = 0;
    std::uint32_t unreachable = 0;
    std::uint32_t insisted = 0; ///< Of `serving` and `cold`, kept only for the floor.
    std::uint32_t floor = 0; ///< Upstreams that have to be kept of those reachable now.
};

/// One service at the ingress.
struct ServiceReports
{
    std::string name;
    FloorRule floor;
    std::vector<std::uint32_t> rows; ///< Indexes into ReportTable::rows.
    StateCounts counts;
    bool changed = true; ///< Something that the floor depends on changed since the last decision.
    TimePoint decidedAt;
    std::optional<TimePoint> commonSlowdownAt; ///< When most upstreams were last suspected of latency at once.
    bool atFloor = false; ///< The floor keeps at least one ejected upstream.
};

/// The ingress's rows, one per upstream of the document.
class ReportTable
{
public:
    /// Takes over services and upstreams from a document. Rows of upstreams that stay keep their state. Peers are set afterwards.
    void configure(const Document &document, TimePoint now);

    /// @return the row of the upstream, or nothing; indexes change with configure()
    std::optional<std::uint32_t> find(std::string_view name) const;

    /// @return the index of the service, or nothing; indexes change with configure()
    std::optional<std::uint32_t> findService(std::string_view name) const;

    /// A report came from the home, on a response or a heartbeat.
    void report(std::uint32_t row, const UpstreamReport &report, TimePoint now);

    /// A verdict came by gossip; load and latency stay as they are.
    void gossip(std::uint32_t row, HealthState healthState, HealthCause cause, float severity, TimePoint now);

    /// A request of this ingress was sent to the upstream.
    void sent(std::uint32_t row)
    {
        ++this->rows[row].sentSinceReport;
    }

    /// Membership of a VM changed.
    void setMembership(std::string_view vm, bool leaving, bool gone);

    /// @return the median of the recent latencies of a service's upstreams for one class, sent to homes on requests; 0 if fewer
    /// than two are known
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
    mutable std::vector<float> scratch; ///< Keeps medianLatency() free of allocation.
};

} // namespace Galenarack
