#pragma once

#include <galenarack/core/log.h>
#include <galenarack/fleet/fleetview.h>
#include <galenarack/fleet/followersettings.h>
#include <galenarack/fleet/revisiontracker.h>
#include <platform/registryclient.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>

namespace Galenarack {

/// Keeps a FleetView up to date with the registry: reads it completely, then watches for changes. It reads the registry
/// completely again after a failed watch and after a gap in the registry's history.
///
/// After an outage of the registry, removals are deferred, since entries of running upstreams may have expired meanwhile. A node that was
/// cut off alone can't tell this from an outage, and the entries of other upstreams that were cut off have expired then as well. The
/// deferral ends a fixed time after the earliest moment at which the outage may have ended, which is before the bounds of the deployment
/// hold again. A watch that is cut or not answered is no outage when probes were answered and the next call succeeds.
class RegistryFollower
{
public:
    RegistryFollower(const boost::asio::any_io_executor &executor,
                     Platform::RegistryClient &client,
                     FleetView &view,
                     RevisionTracker &revisions,
                     FollowerSettings settings,
                     std::mt19937_64 random);

    /// Reads and watches the registry until the event loop ends.
    boost::asio::awaitable<void> run();

    /// @return whether a complete read has been applied to the view
    bool isSynchronized() const
    {
        return this->synchronized;
    }

    /// @return whether the last call to the registry succeeded and this node knows of no change that it has not applied
    bool isCurrent() const
    {
        return this->contact && !this->revisions.isBehind();
    }

    /// Ends a watch whose reply must have been lost: the registry has changes, and the watch does not return them. Call it every
    /// 100 ms.
    void tick(TimePoint now);

private:
    boost::asio::awaitable<void> follow();
    /// Probes the registry while a watch is open, and ends the watch when the registry does not answer.
    boost::asio::awaitable<void> probeWhileWatching();
    /// Probes the registry until it answers. The probes overlap, since one whose packets were lost fails late.
    boost::asio::awaitable<void> awaitRegistry();
    /// @return OK when the registry answers
    boost::asio::awaitable<absl::Status> probe();
    /// @return when the registry is to be probed next while a watch is open
    TimePoint nextProbe() const;
    boost::asio::awaitable<bool> readAll();
    /// Handles a watch that can't continue from the position of the view.
    /// @return whether all is read again at once
    bool onHistoryLost(const RegistryPosition &read);
    /// Handles a complete read of another era than the last one.
    void onEraChanged(const RegistryPosition &read);
    boost::asio::awaitable<bool> watchOnce();
    boost::asio::awaitable<void> pause(Duration time);
    boost::asio::awaitable<void> backOff();
    void applyChanges(const Platform::RegistryRead &read);
    void applyHeldRemovals(TimePoint now);
    /// Records a removal, to be applied with the changes of the same reply or, after an outage, later.
    void recordRemoval(std::string_view id, const RegistryPosition &position);
    /// @return time until the next deferred removal is due, `longest` at most; a wait until the next reply must end by then
    Duration untilRemovalDue(Duration longest, TimePoint now) const;
    /// @param isWatch whether the failed call is a watch
    void onCallFailed(const absl::Status &error, bool isWatch);
    void onCallSucceeded();

    /// Removal of an upstream that has been read from the registry, but not applied to the view yet.
    struct HeldRemoval
    {
        RegistryPosition position; ///< Position of the removal in the registry's history.
        TimePoint due; ///< When it is applied, unless the entry has been written again.
    };

    Platform::RegistryClient &client;
    FleetView &view;
    RevisionTracker &revisions;
    FollowerSettings settings;
    std::mt19937_64 random;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer probeTimer;
    RegistryPosition position; ///< Position up to which the view is current; revision 0 requires a complete read.
    bool synchronized = false;
    bool contact = false;
    bool watching = false; ///< Whether a watch is in progress.
    bool watchBehind = false; ///< Whether the last watch was ended because it did not return known changes.
    TimePoint watchStarted; ///< Start of the last watch.
    std::multiset<TimePoint> openProbes; ///< Start of each probe in progress.
    bool awaiting = false; ///< Whether awaitRegistry() is in progress and no probe has been answered yet.
    bool outage = false; ///< Whether the registry has been unavailable since the last successful call.
    TimePoint lastReply; ///< Time of the last successful call.
    TimePoint lastFailedProbe; ///< Start of the last probe that failed, or that was answered later than one after it.
    unsigned consecutiveFailures = 0;
    unsigned lostHistories = 0; ///< Consecutive watches whose changes were no longer in the history.
    unsigned busyWatchCount = 0; ///< Consecutive watches that found changes waiting.
    TimePoint holdRemovalsUntil; ///< Removals that are read before this time are deferred until then.
    std::map<std::string, HeldRemoval, std::less<>> heldRemovals; ///< Deferred removals by upstream.
    Log log{"registry"};
};

} // namespace Galenarack
