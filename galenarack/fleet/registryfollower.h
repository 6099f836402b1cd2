#pragma once

#include <galenarack/core/log.h>
#include <galenarack/fleet/fleetview.h>
#include <galenarack/fleet/followersettings.h>
#include <platform/registryclient.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace Galenarack {

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
    boost::asio::awaitable<void> follow();
    /// Probes the registry while a watch is open, and ends the watch when the registry does not answer.
    boost::asio::awaitable<void> probe();
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
    boost::asio::steady_timer probeTimer;
    std::uint64_t revision = 0; ///< Registry revision up to which the view is current; 0 requires a complete read.
    bool synchronized = false;
    bool contact = false;
    bool watching = false; ///< Whether a watch is in progress.
    TimePoint lastReply; ///< Time of the last successful call.
    unsigned consecutiveFailures = 0;
    unsigned busyWatchCount = 0; ///< Consecutive watches that found changes waiting.
    TimePoint holdRemovalsUntil; ///< Removals are deferred until this time.
    std::map<std::string, std::uint64_t, std::less<>> heldRemovals; ///< Registry revision of each deferred removal, by upstream.
    Log log{"registry"};
};

} // namespace Galenarack
