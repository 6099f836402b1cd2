#pragma once

#include <galenarack/health/pathtable.h>
#include <galenarack/health/reporttable.h>

#include <cstdint>
#include <span>
#include <vector>

namespace Galenarack {

/// One upstream in the decision about a service's floor. Only upstreams that can be kept take part: reachable and not leaving.
struct FloorEntry
{
    std::uint32_t failureDomain = 0;
    bool unhealthy = false; ///< Its home or a rule asks for ejection.
    float severity = 0.0F; ///< Larger values are ejected first.
    bool ejected = false; ///< Result.
};

/// Ejects unhealthy entries, worst first, while the number kept stays at or above the floor, in total and per failure domain.
/// Because domains do not overlap, taking the worst first ejects the largest possible number.
/// @return the floor in total for these entries
std::uint32_t applyFloor(std::span<FloorEntry> entries, const FloorRule &rule);

/// A change of an ingress's decision, for the audit trail.
struct UpstreamStateChange
{
    std::uint32_t row;
    UpstreamState from;
    UpstreamState to;
    HealthCause cause;
    bool insist; ///< Kept only for the floor.
};

/// Decides at the ingress which upstreams are ejected: the homes' verdicts, the document's rules, membership and this ingress's
/// paths, within the floor.
class FloorSystem
{
public:
    /// @param table, paths outlive the system
    FloorSystem(ReportTable &table, const PathTable &paths);

    /// Runs once per tick of 100 ms, and after a report that changes a verdict.
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
    std::vector<PathState> lastPathStates; ///< As of the last tick.
    std::vector<FloorEntry> entries;
    std::vector<std::uint32_t> entryRows;
    std::vector<UpstreamStateChange> changes;
};

} // namespace Galenarack
