#pragma once

#include <galenarack/core/clock.h>

#include <algorithm>
#include <cstdint>

namespace Galenarack {

/// Compares the registry revision that this node has applied with the newest one that it has heard of, from probes of the registry
/// and from other nodes. A node that stays behind has lost the reply to its watch.
class RevisionTracker
{
public:
    /// Records that the view of this node has all changes up to a revision.
    void onApplied(std::uint64_t revision)
    {
        this->appliedRevision = std::max(this->appliedRevision, revision);
    }

    /// Records a complete read of the registry. It is newer than all that was heard before, so a revision from another source that the
    /// registry does not have is forgotten.
    void onReadAll(std::uint64_t revision)
    {
        this->onApplied(revision);
        this->heardRevision = this->appliedRevision;
    }

    /// Records that the registry has reached a revision.
    void onHeard(std::uint64_t revision, TimePoint now)
    {
        if (!this->isBehind() && revision > this->appliedRevision) {
            this->behindSince = now;
        }
        this->heardRevision = std::max(this->heardRevision, revision);
    }

    /// @return revision up to which the view of this node has all changes, 0 before the first read
    std::uint64_t applied() const
    {
        return this->appliedRevision;
    }

    /// @return whether the registry has changes that this node has not applied
    bool isBehind() const
    {
        return this->heardRevision > this->appliedRevision;
    }

    /// @return since when isBehind() holds; only valid while it does
    TimePoint since() const
    {
        return this->behindSince;
    }

private:
    std::uint64_t appliedRevision = 0;
    std::uint64_t heardRevision = 0;
    TimePoint behindSince;
};

} // namespace Galenarack
