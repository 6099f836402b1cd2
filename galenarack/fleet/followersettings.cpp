#include <galenarack/fleet/followersettings.h>

#include <algorithm>

namespace Galenarack {

namespace {

/// Time for the complete read after a failed watch, with the back-off before it.
constexpr Duration rereadTime = std::chrono::milliseconds(300);

/// Share of the time to apply a change for which a node waits after a change, before it asks for the next ones.
constexpr double batchPauseShare = 0.15;

/// Longest such wait, in multiples of the first one, while changes follow each other.
constexpr int maxBatchPauses = 3;

/// Number of probes in the time in which a lost reply to a watch would be noticed too late without them.
constexpr int youngProbeCount = 4;

/// Share of the time to apply a change that is left for delays of the probe and of the replies.
constexpr double probeSlackShare = 0.1;

/// Longest time between two probes. An entry of a running upstream expires after three check-ins were missed, so an outage that no probe
/// has noticed is too short for that.
constexpr Duration longestProbeInterval = std::chrono::seconds(2);

/// Shortest time that a watch is held, so that narrow bounds of a deployment do not lead to a call without a pause.
constexpr Duration minWatchWait = std::chrono::milliseconds(500);

/// Share of the time until the bounds hold again that is left for applying deferred removals.
constexpr double removalSlackShare = 0.05;

/// Time between two probes in an outage, as a share of the same time.
constexpr double outageProbeShare = 0.1;

constexpr Duration minOutageProbeInterval = std::chrono::milliseconds(200);
constexpr Duration maxOutageProbeInterval = std::chrono::seconds(1);

/// Longest time that the registry holds a watch.
constexpr Duration longestWatchWait = std::chrono::seconds(30);

} // namespace

FollowerSettings FollowerSettings::forBounds(const RegistryBounds &bounds, Duration replyTimeout)
{
    FollowerSettings settings;
    // Worst case: the registry returns just after a watch was lost, and a change follows as soon as the bounds hold again. The watch
    // has to fail, and the complete read after it to end, before that change must be in force.
    const Duration available = bounds.settleTime + bounds.applyTime() - rereadTime - replyTimeout;
    settings.watchWait = std::clamp(available, minWatchWait, longestWatchWait);
    // A watch fails `settleTime + applyTime` after it was opened at the latest, so one that is older than `applyTime` at the end of a
    // fault fails before the bounds hold again. Until then only probes show that its reply was lost.
    settings.youngWatchTime = bounds.applyTime();
    settings.youngProbeInterval = std::min<Duration>(bounds.applyTime() / youngProbeCount, longestProbeInterval);
    // Worst case: a change follows just after a probe, and the watch does not return it. The next probe shows the newer revision, and
    // after `watchLag` all is read again.
    const auto slack = std::chrono::duration_cast<Duration>(bounds.applyTime() * probeSlackShare);
    const Duration afterProbe = settings.watchLag + rereadTime + slack;
    settings.probeInterval = std::clamp(bounds.applyTime() - afterProbe, settings.youngProbeInterval, longestProbeInterval);
    settings.batchPause = std::chrono::duration_cast<Duration>(bounds.applyTime() * batchPauseShare);
    settings.batchPauseMax = settings.batchPause * maxBatchPauses;
    settings.removalHoldLimit = std::chrono::duration_cast<Duration>(bounds.settleTime * (1.0 - removalSlackShare));
    const auto interval = std::chrono::duration_cast<Duration>(bounds.settleTime * outageProbeShare);
    settings.outageProbeInterval = std::clamp(interval, minOutageProbeInterval, maxOutageProbeInterval);
    return settings;
}

} // namespace Galenarack
