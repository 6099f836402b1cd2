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

/// A node that is known without the VM list.
struct PeerSeed
{
    std::string vm;
    std::string address; ///< IP address; the peer port is that of this node.
};

/// Checked settings of a node.
struct Settings
{
    std::string fleet;
    std::string vm;
    std::string failureDomain;
    boost::asio::ip::tcp::endpoint callerAddress;
    boost::asio::ip::tcp::endpoint peerAddress;
    boost::asio::ip::tcp::endpoint peerListenAddress; ///< Bound for other nodes; differs from peerAddress behind a relay.
    boost::asio::ip::tcp::endpoint operatorsAddress;
    boost::asio::ip::tcp::endpoint configService; ///< Unused with a registry.
    std::optional<boost::asio::ip::tcp::endpoint> registry; ///< Store with the configuration and the entries of the upstreams.
    Platform::Bounds bounds; ///< With a registry.
    std::vector<HomeUpstream> homeUpstreams;
    std::vector<PeerSeed> peerSeeds;
    Duration drainTimeout = std::chrono::seconds(30); ///< After SIGTERM the process ends by then at the latest.
    LogLevel logLevel = LogLevel::Info;
    double logLinesPerSecond = 200; ///< Informational lines, over time.
};

/// Unchecked settings as they stand on the command line or in the environment.
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
    int drainTimeoutSeconds = 0;
};

/// Checks all settings.
/// @return SettingInvalid with one line that names the flag, the value and what is allowed
absl::StatusOr<Settings> checkSettings(const RawSettings &raw);

} // namespace Galenarack
