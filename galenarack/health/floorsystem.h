#pragma once

#include <galenarack/health/pathtable.h>
#include <galenarack/health/reporttable.h>

#include <cstdint>
#include <span>
#include <vector>

namespace Galenarack {

/// One upstream in the ejection decision for a service. Only upstreams that are reachable and not leaving take part.
struct FloorEntry
{
    std::uint32_t failureDomain = 0;
    bool unhealthy = false; ///< Whether the upstream's home or a rule requests its ejection.
    float severity = 0.0F; ///< Rank of the upstream; larger values are ejected first.
    bool ejected = false; ///< Result of the decision.
};

/// Ejects unhealthy entries in the order of severity while the number of kept entries stays at or above the floor, in total and
/// per failure domain. Because failure domains do not overlap, this greedy choice ejects the largest possible number.
/// @return the minimum number of kept entries in total
std::uint32_t applyFloor(std::span<FloorEntry> entries, const FloorRule &rule);

/// A change of an upstream's state at an ingress, reported for the audit trail.
struct UpstreamStateChange
{
    std::uint32_t row; ///< Index into ReportTable::rows.
    UpstreamState from;
    UpstreamState to;
    HealthCause cause;
    bool insist; ///< Whether the upstream is kept only for the floor.
};

/// Decides at the ingress which upstreams are ejected, from the health states reported by homes, the rules of the document,
/// membership and the state of this ingress's paths, within the floor of each service.
class FloorSystem
{
public:
    /// @param table, paths must outlive the system
    FloorSystem(ReportTable &table, const PathTable &paths);

    /// Updates the states of upstreams; called once per tick of 100 ms and after a report that changes a health state.
    /// @return the changes, valid until the next call
    std::span<const UpstreamStateChange> tick(TimePoint now);

private:
    bool updatePathStates();
    void decide(ServiceReports &service, TimePoint now);
    bool isReachable(const ReportRow &row) const;
    bool isCommonSlowdown(const ServiceReports &service) const;
    bool isSlowerThanPeers(const ReportRow &row, TimePoint now) const;
    FloorEntry makeEntry(const ReportRow &row, bool commonSlowdown, TimePoint now) const;
    void apply(std::uint32_t index, UpstreamState state, bool insist, TimePoint now);
    void count(ServiceReports &service, std::uint32_t floor);

    ReportTable &table;
    const PathTable &paths;
    std::vector<PathState> lastPathStates; ///< States of the paths at the last tick.
    std::vector<FloorEntry> entries;
    std::vector<std::uint32_t> entryRows;
    std::vector<UpstreamStateChange> changes;
};

} // namespace Galenarack
