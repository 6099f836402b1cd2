#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/fleet/registryposition.h>

#include <algorithm>

namespace Galenarack {

/// Compares the position in the registry's history that this node has applied with the newest one that it has heard of, from probes of
/// the registry and from other nodes. A node that stays behind has lost the reply to its watch, or watches a history that was replaced.
class RevisionTracker
{
public:
    /// Records that the view of this node has all changes up to a position.
    void onApplied(const RegistryPosition &position)
    {
        this->appliedPosition = std::max(this->appliedPosition, position);
    }

    /// Records a complete read of the registry. It is newer than all that was heard before of the same era, so a revision from another
    /// source that the registry does not have is forgotten.
    void onReadAll(const RegistryPosition &position)
    {
        this->onApplied(position);
        if (this->heardPosition.era <= this->appliedPosition.era) {
            this->heardPosition = this->appliedPosition;
        }
    }

    /// Records that the registry has reached a position.
    void onHeard(const RegistryPosition &position, TimePoint now)
    {
        if (!this->isBehind() && position > this->appliedPosition) {
            this->behindSince = now;
        }
        this->heardPosition = std::max(this->heardPosition, position);
    }

    /// @return position up to which the view of this node has all changes, revision 0 before the first read
    const RegistryPosition &applied() const
    {
        return this->appliedPosition;
    }

    /// @return newest position that this node has heard of
    const RegistryPosition &heard() const
    {
        return this->heardPosition;
    }

    /// @return whether the registry has changes that this node has not applied
    bool isBehind() const
    {
        return this->heardPosition > this->appliedPosition;
    }

    /// @return since when isBehind() holds; only valid while it does
    TimePoint since() const
    {
        return this->behindSince;
    }

private:
    RegistryPosition appliedPosition;
    RegistryPosition heardPosition;
    TimePoint behindSince;
};

} // namespace Galenarack
