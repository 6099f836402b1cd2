#pragma once

#include <galenarack/core/nodeidentity.h>
#include <galenarack/document/document.h>
#include <galenarack/health/floorsystem.h>
#include <galenarack/health/pathsystem.h>
#include <galenarack/health/pathtable.h>
#include <galenarack/health/reporttable.h>
#include <galenarack/membership/membertable.h>
#include <galenarack/operators/audittrail.h>
#include <galenarack/operators/metrics.h>
#include <galenarack/operators/nodestatus.h>
#include <galenarack/peer/peercontrol.h>
#include <galenarack/routing/upstreamselector.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// This ingress's view of all upstreams of the fleet, from which it selects one for each request. Combines the reports of the
/// homes, the state of this ingress's own paths, membership and the floor.
class UpstreamDirectory
{
public:
    /// @param paths state of this ingress's paths, updated by the peer connections; must outlive the directory
    UpstreamDirectory(NodeIdentity identity, PathTable &paths, Metrics &metrics, AuditTrail &audit, std::mt19937_64 random);

    /// Applies the services and upstreams of a document. Rows of upstreams that remain keep their state.
    void applyDocument(const Document &document, TimePoint now);

    /// Applies a report on an upstream that its home sent with a response or a heartbeat.
    void report(std::string_view upstream, const UpstreamReport &report, TimePoint now);

    /// Applies the states of the VMs and the marks on their upstreams from membership.
    void applyMembers(const MemberTable &members, TimePoint now);

    /// Evaluates the health of the paths and applies the floor. Must be called every 100 ms.
    void tick(TimePoint now);

    /// A selected upstream, identified by names because these stay valid across revisions.
    struct Choice
    {
        std::string upstream;
        std::string vm;
        bool insist = false; ///< Whether the floor keeps the upstream in use although it is ejected.
    };

    /// Selects an upstream and counts the request as sent to it.
    /// @param vm when not empty, only upstreams of this VM are candidates
    /// @param tried names of upstreams that are not candidates
    /// @return the choice, or nothing when there is no candidate
    std::optional<Choice> select(
        std::string_view service, bool repeatable, std::string_view vm, const std::set<std::string> &tried, TimePoint now);

    /// @return the median latency of the service's upstreams for a route class, which homes compare their own with; 0 when
    ///         unknown
    Duration medianLatency(std::string_view service, std::uint32_t routeClass, TimePoint now) const;

    /// @return the status of all upstreams from the view of this ingress
    std::vector<UpstreamStatus> status() const;

private:
    std::optional<Choice> selectOnVm(std::uint32_t service, std::string_view vm, const std::set<std::string> &tried, TimePoint now);
    Choice commitChoice(std::uint32_t row, bool insist);
    void applyMarks(const std::string &vm, std::span<const UpstreamMark> marks, TimePoint now);
    void reportChange(const UpstreamStateChange &change);

    NodeIdentity identity;
    PathTable &paths;
    Metrics &metrics;
    AuditTrail &audit;
    ReportTable reports;
    PathSystem pathSystem;
    FloorSystem floorSystem;
    UpstreamSelector selector;
    std::map<std::string, std::vector<UpstreamMark>> marksByVm; ///< Marks that were applied last, by VM.
    std::vector<std::uint32_t> excluded; ///< Buffer of select(), a member to avoid an allocation for each request.
};

} // namespace Galenarack
