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

/// What this ingress knows about the upstreams of the fleet, and its choice among them: reports of homes, state of its own
/// paths, membership, the floor and the selection.
class UpstreamDirectory
{
public:
    /// @param paths state of this ingress's paths, kept by the peer connections; must outlive the directory
    UpstreamDirectory(NodeIdentity identity, PathTable &paths, Metrics &metrics, AuditTrail &audit, std::mt19937_64 random);

    /// Takes services and upstreams from a document. Rows of upstreams that stay keep their state.
    void applyDocument(const Document &document, TimePoint now);

    /// Takes a report that came with a response or a heartbeat of the home.
    void report(std::string_view upstream, const UpstreamReport &report, TimePoint now);

    /// Takes states of VMs and the marks on their upstreams from membership.
    void applyMembers(const MemberTable &members, TimePoint now);

    /// Runs path judgement and floor. Call it every 100 ms.
    void tick(TimePoint now);

    /// A choice by name, which stays valid across revisions.
    struct Choice
    {
        std::string upstream;
        std::string vm;
        bool insist = false;
    };

    /// Selects an upstream and counts the request as sent to it.
    /// @param vm when not empty, only upstreams of this VM
    /// @param tried names of upstreams that are not selected again
    std::optional<Choice> select(
        std::string_view service, bool repeatable, std::string_view vm, const std::set<std::string> &tried, TimePoint now);

    /// @return the median latency of the service for a route class, for the homes; 0 when not known
    Duration medianLatency(std::string_view service, std::uint32_t routeClass, TimePoint now) const;

    /// @return all upstreams as this ingress sees them
    std::vector<UpstreamStatus> status() const;

private:
    std::optional<Choice> selectOnVm(std::uint32_t service, std::string_view vm, const std::set<std::string> &tried, TimePoint now);
    Choice commitChoice(std::uint32_t row, bool insist);
    void applyMarks(const std::string &vm, std::span<const UpstreamMark> marks, TimePoint now);
    void reportChange(const StateChange &change);

    NodeIdentity identity;
    PathTable &paths;
    Metrics &metrics;
    AuditTrail &audit;
    ReportTable reports;
    PathSystem pathSystem;
    FloorSystem floorSystem;
    UpstreamSelector selector;
    std::map<std::string, std::vector<UpstreamMark>> marksByVm; ///< Marks that were applied last.
    std::vector<std::uint32_t> excluded; ///< Scratch space of select().
};

} // namespace Galenarack
