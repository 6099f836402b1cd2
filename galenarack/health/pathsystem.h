#pragma once

#include <galenarack/health/pathtable.h>

#include <span>
#include <vector>

namespace Galenarack {

/// A change of the state of a path, for the audit trail.
struct PathChange
{
    std::uint32_t row;
    PathState from;
    PathState to;
};

/// Judges each path of this ingress. An ingress whose paths to more than half of its peers degrade within a few seconds suspects
/// itself; then slow and silent paths count as good, since the common element is this node. A path on which no connection
/// can be opened is a fact and not a judgement, so Cut and Frozen stand.
class PathSystem
{
public:
    /// @param table outlives the system
    explicit PathSystem(PathTable &table);

    /// Runs once per tick of 100 ms. @return the changes, valid until the next call
    std::span<const PathChange> tick(TimePoint now);

    /// @return whether this ingress suspects itself
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
