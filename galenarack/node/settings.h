#pragma once

#include <galenarack/core/log.h>
#include <galenarack/home/homenode.h>
#include <platform/bounds.h>

#include <absl/status/statusor.h>
#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// Values of settings that are not given.
inline constexpr int defaultDrainTimeoutSeconds = 30;
inline constexpr int defaultMemoryMb = 256;

/// A node to contact before the VM list is known.
struct PeerSeed
{
    std::string vm;
    std::string address; ///< IP address; the peer port is the same as that of this node.
};

/// Validated settings of a node.
struct Settings
{
    std::string fleet;
    std::string vm;
    std::string failureDomain;
    boost::asio::ip::tcp::endpoint callerAddress;
    boost::asio::ip::tcp::endpoint peerAddress;
    boost::asio::ip::tcp::endpoint peerListenAddress; ///< Bound for other nodes; differs from peerAddress when a relay forwards to it.
    boost::asio::ip::tcp::endpoint operatorsAddress;
    boost::asio::ip::tcp::endpoint configService; ///< Address of the configuration service; unused with a registry.
    std::optional<boost::asio::ip::tcp::endpoint> registry; ///< Store of the configuration and of the upstreams' entries.
    Platform::Bounds bounds; ///< Parameters of the deployment; used only with a registry.
    std::vector<HomeUpstream> homeUpstreams;
    std::vector<PeerSeed> peerSeeds;
    /// Maximum time from SIGTERM to the end of the process; with a registry, the grace time in `bounds` applies.
    Duration drainTimeout = std::chrono::seconds(defaultDrainTimeoutSeconds);
    LogLevel logLevel = LogLevel::Info;
    std::size_t memoryBytes = std::size_t{defaultMemoryMb} * 1024 * 1024; ///< Memory that the process may use; used only with a registry.
    double logLinesPerSecond = 200; ///< Average rate limit of informational log lines.
};

/// Settings as given on the command line or in the environment, before validation.
struct RawSettings
{
    std::string fleet;
    std::string vm;
    std::string failureDomain;
    std::string callerAddress;
    std::string peerAddress;
    std::string peerListenAddress;
    std::string operatorsAddress;
    std::string configService;
    std::string registry;
    std::string bounds;
    std::string homeUpstreams;
    std::string peerSeeds;
    std::string logLevel;
    int logLinesPerSecond = 200;
    std::optional<int> memoryMb; ///< Empty when it is not given.
    std::optional<int> drainTimeoutSeconds; ///< Empty when it is not given.
};

/// Validates all settings.
/// @return SettingInvalid with one line that names the flag, its value and the values allowed
absl::StatusOr<Settings> checkSettings(const RawSettings &raw);

} // namespace Galenarack
