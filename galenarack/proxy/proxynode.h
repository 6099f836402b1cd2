#pragma once

#include <galenarack/fleet/fleetview.h>
#include <galenarack/fleet/registryfollower.h>
#include <galenarack/node/settings.h>
#include <galenarack/operators/metrics.h>
#include <galenarack/operators/operatorserver.h>
#include <galenarack/policy/drainschedule.h>
#include <galenarack/proxy/callerserver.h>
#include <galenarack/proxy/homeservice.h>
#include <galenarack/proxy/peerlinks.h>
#include <galenarack/proxy/requestrouter.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <random>

namespace Galenarack {

/// Node of a fleet whose configuration and upstreams are published in a registry. Owns all components of the node, connects
/// them and runs their ticks.
class ProxyNode
{
public:
    ProxyNode(boost::asio::io_context &context, const Settings &settings, std::mt19937_64 random);

    /// Binds all ports and starts the node.
    /// @return SettingInvalid when an address cannot be bound
    absl::Status start();

    /// Leaves the fleet: declines new offers of other nodes, lets work in progress end, then stops the event loop.
    /// @param signal name of the signal that requested it, for the log
    void drain(std::string_view signal);

private:
    boost::asio::awaitable<void> tickLoop();
    void logBounds() const;
    void updateMetrics();
    void tickDrain(TimePoint now);
    Readiness readiness() const;
    OperatorSources operatorSources();
    CallerLimits callerLimits() const;

    boost::asio::io_context &context;
    Settings settings;
    std::mt19937_64 random;
    Dialect dialect;
    FleetView view;
    RevisionTracker revisions;
    Platform::RegistryClient registryClient;
    RegistryFollower follower;
    Metrics metrics;
    HomeService home;
    PeerLinks links;
    RequestRouter router;
    CallerServer callers;
    std::unique_ptr<OperatorServer> operatorServer;
    boost::asio::steady_timer timer;
    std::optional<DrainSchedule> drainSchedule; ///< Set while the node is leaving.
    bool callersStopped = false; ///< No further connections of callers are accepted; the remaining ones are served to their end.
    Log log{"node"};
};

} // namespace Galenarack
