#pragma once

#include <galenarack/health/pathtable.h>

#include <span>
#include <vector>

namespace Galenarack {

/// A change of the state of a path, reported for the audit trail.
struct PathChange
{
    std::uint32_t row; ///< Index into PathTable::rows.
    PathState from;
    PathState to;
};

/// Evaluates the health of the paths from this ingress to its peers. If the paths to more than half of the peers are degraded or
/// silent at the same time, the ingress suspects a fault of its own node, the common element. Such paths then count as
/// good. Cut and Frozen are observed rather than inferred and stay in effect.
class PathSystem
{
public:
    /// @param table must outlive the system
    explicit PathSystem(PathTable &table);

    /// Evaluates all paths; called once per tick of 100 ms. @return the changes, valid until the next call
    std::span<const PathChange> tick(TimePoint now);

    /// @return whether this ingress suspects that its own node degrades the paths
    bool suspectsLocalFault() const
    {
        return this->localFaultSuspected;
    }

private:
    void adjustForPause(TimePoint now);
    PathState evaluate(const PathRow &path, TimePoint now) const;
    void updateLocalFaultSuspicion(std::span<const PathState> states, TimePoint now);

    PathTable &table;
    std::vector<PathState> states;
    std::vector<PathChange> changes;
    TimePoint lastTick;
    TimePoint lastMajorityDegraded;
    bool ticked = false;
    bool localFaultSuspected = false;
};

} // namespace Galenarack
