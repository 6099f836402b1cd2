#pragma once

#include <galenarack/core/log.h>
#include <galenarack/fleet/fleetview.h>
#include <platform/registryclient.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace Galenarack {

/// Intervals and time-outs of a RegistryFollower.
struct FollowerSettings
{
    Duration watchWait = std::chrono::seconds(25); ///< Longest time a watch is held open; the registry allows at most 30 s.
    /// Pause between a change and the next watch, so that one call collects changes that arrive together. The fleet has to
    /// apply a change within 2 s.
    Duration batchPause = std::chrono::milliseconds(300);
    /// Upper limit of the pause. Each consecutive watch that finds changes waiting lengthens the pause by `batchPause`, so that
    /// frequent changes cost about one call per second.
    Duration batchPauseMax = std::chrono::milliseconds(900);
    Duration retryMin = std::chrono::milliseconds(250); ///< Back-off after the first failed call; doubles with each consecutive failure.
    Duration retryMax = std::chrono::seconds(1); ///< Upper limit of the back-off.
    /// How long removals are deferred after contact with the registry is restored. Entries that expired while the registry was
    /// unavailable are written again within about two seconds of its return.
    Duration removalHoldTime = std::chrono::milliseconds(2500);
    /// Time since the last contact after which the configuration in force can no longer be assumed to be the newest.
    Duration contactTimeout = std::chrono::seconds(27);
};

/// Keeps a FleetView up to date with the registry: reads it completely, then watches for changes. It reads the registry
/// completely again after a failed watch and after a gap in the registry's history.
class RegistryFollower
{
public:
    RegistryFollower(const boost::asio::any_io_executor &executor,
                     Platform::RegistryClient &client,
                     FleetView &view,
                     FollowerSettings settings,
                     std::mt19937_64 random);

    /// Reads and watches the registry until the event loop ends.
    boost::asio::awaitable<void> run();

    /// @return whether a complete read has been applied to the view
    bool isSynchronized() const
    {
        return this->synchronized;
    }

    /// @return whether the last call to the registry succeeded
    bool inContact() const
    {
        return this->contact;
    }

private:
    boost::asio::awaitable<bool> readAll();
    boost::asio::awaitable<bool> watchOnce();
    boost::asio::awaitable<void> pause(Duration time);
    boost::asio::awaitable<void> backOff();
    void applyChanges(const Platform::RegistryRead &read);
    void applyHeldRemovals(TimePoint now);
    void onCallFailed(std::string_view reason);
    void onCallSucceeded();

    Platform::RegistryClient &client;
    FleetView &view;
    FollowerSettings settings;
    std::mt19937_64 random;
    boost::asio::steady_timer timer;
    std::uint64_t revision = 0; ///< Registry revision up to which the view is current; 0 requires a complete read.
    bool synchronized = false;
    bool contact = false;
    unsigned consecutiveFailures = 0;
    unsigned busyWatchCount = 0; ///< Consecutive watches that found changes waiting.
    TimePoint holdRemovalsUntil; ///< Removals are deferred until this time.
    std::map<std::string, std::uint64_t, std::less<>> heldRemovals; ///< Registry revision of each deferred removal, by upstream.
    Log log{"registry"};
};

} // namespace Galenarack
