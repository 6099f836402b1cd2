#pragma once

#include <galenarack/core/clock.h>

#include <algorithm>

namespace Galenarack {

/// Bounds of a deployment within which its nodes must follow the registry.
struct RegistryBounds
{
    Duration drainTime{}; ///< Longest time from the registry's acknowledgement that an upstream leaves until it gets no new work.
    Duration configTime{}; ///< Longest time from the registry's acknowledgement of a configuration until it is in force.
    Duration settleTime{}; ///< Time after the end of a fault of the registry from which the other bounds hold again.

    /// @return longest time until any change must be in force
    Duration applyTime() const
    {
        return std::min(this->drainTime, this->configTime);
    }
};

/// Intervals and time-outs of a RegistryFollower.
struct FollowerSettings
{
    /// Derives the settings from the bounds of a deployment.
    /// @param replyTimeout time without a reply after which a call fails, beyond the time that a watch is held
    static FollowerSettings forBounds(const RegistryBounds &bounds, Duration replyTimeout);

    /// Longest time a watch is held open. A watch that the registry never answers, because it or its reply was lost, can't be told
    /// from one without a change. It fails after this time and the reply time-out, and blocks all changes until then.
    Duration watchWait = std::chrono::milliseconds(3950);
    /// Time without a reply after which a probe checks whether the registry answers, and whether it has changes that the watch has not
    /// returned.
    Duration probeInterval = std::chrono::milliseconds(1100);
    Duration youngProbeInterval = std::chrono::milliseconds(500); ///< The same while a watch is younger than `youngWatchTime`.
    /// A watch that was opened in a fault, at most this long before the end of the fault, would fail too late by itself.
    Duration youngWatchTime = std::chrono::seconds(2);
    /// Time for which a watch may be open without returning a change that the node has heard of elsewhere.
    Duration watchLag = std::chrono::milliseconds(400);
    /// Pause between a change and the next watch, so that one call collects changes that arrive together.
    Duration batchPause = std::chrono::milliseconds(300);
    /// Upper limit of the pause. Each consecutive watch that finds changes waiting lengthens the pause by `batchPause`, so that
    /// frequent changes cost about one call per second.
    Duration batchPauseMax = std::chrono::milliseconds(900);
    Duration retryMin = std::chrono::milliseconds(250); ///< Back-off after the first failed call; doubles with each consecutive failure.
    Duration retryMax = std::chrono::seconds(1); ///< Upper limit of the back-off.
    /// Time between two probes in an outage. The time of its end is known to within about this.
    Duration outageProbeInterval = std::chrono::milliseconds(300);
    /// How long removals are deferred after this node has reached the registry again. Entries that expired while it was unavailable are
    /// written again within about two seconds of its return.
    Duration removalHoldTime = std::chrono::milliseconds(2200);
    /// Longest time from the end of an outage until deferred removals are applied. It ends before the bounds hold again, also for an
    /// upstream that left before or in the outage.
    Duration removalHoldLimit = std::chrono::milliseconds(2850);
};

} // namespace Galenarack
