#include <galenarack/core/allocator.h>
#include <galenarack/core/errorkind.h>
#include <galenarack/core/log.h>
#include <galenarack/node/node.h>
#include <galenarack/node/settings.h>
#include <galenarack/proxy/proxynode.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <unistd.h>

DEFINE_string(fleet, "", "Identity: name of the fleet; nodes of another fleet are refused, but not with --registry");
DEFINE_string(vm, "", "Identity: name of this VM, unique in the fleet: 1 to 63 letters, digits or '-'");
DEFINE_string(failure_domain, "", "Identity: failure domain of this VM");
DEFINE_string(caller_address, "", "Addresses: IP:PORT for callers (HTTP/1.1)");
DEFINE_string(peer_listen_address,
              "",
              "Addresses: with --registry, IP:PORT that is bound for other nodes when they reach --peer_address through a relay");
DEFINE_string(peer_address, "", "Addresses: IP:PORT for other nodes (HTTP/2 and UDP); the port is the same on all nodes of a fleet");
DEFINE_string(operators_address, "", "Addresses: IP:PORT for operators (HTTP/1.1)");
DEFINE_string(home_upstreams, "", "Addresses: upstreams on this VM, NAME=IP:PORT,...");
DEFINE_string(config_service, "", "Platform: IP:PORT of the configuration service");
DEFINE_string(registry,
              "",
              "Platform: IP:PORT of the registry that holds the configuration and the upstreams' entries, instead of --config_service");
DEFINE_string(bounds,
              "",
              "Platform: bounds of the deployment, required with --registry: NAME=VALUE,..., a JSON list of such texts or a JSON object");
DEFINE_string(peer_seeds,
              "",
              "Platform: VM=IP,... nodes to query at start, for when the configuration service is unreachable; without --registry");
DEFINE_int32(memory_mb,
             Galenarack::defaultMemoryMb,
             "Behaviour: with --registry, memory that the process may use, in MB; limits the bodies in transit");
DEFINE_int32(drain_timeout_s,
             Galenarack::defaultDrainTimeoutSeconds,
             "Behaviour: after SIGTERM the process ends within this many seconds; without --registry");
DEFINE_string(log_level, "info", "Behaviour: lowest level that is logged: debug, info, warn or error");

DEFINE_int32(log_lines_per_s,
             200,
             "Behaviour: average limit of informational log lines per second; lines above it are dropped and counted");

namespace {

using namespace Galenarack;

constexpr int exitUsage = 2;
constexpr std::string_view environmentPrefix = "GALENARACK_";

/// Sets each flag of this program from its environment variable, if that is set: GALENARACK_ and the flag name in capitals.
/// Ends the process when a value has the wrong type.
/// @return names of the environment variables with this prefix that set no flag
std::vector<std::string> applyEnvironment()
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    std::set<std::string, std::less<>> known;
    for (const gflags::CommandLineFlagInfo &flag : flags) {
        std::string variable(environmentPrefix);
        for (const char c : flag.name) {
            variable.push_back(static_cast<char>(std::toupper(static_cast<unsigned char>(c))));
        }
        known.insert(variable);
        const char *value = std::getenv(variable.c_str());
        if (value != nullptr && gflags::SetCommandLineOption(flag.name.c_str(), value).empty()) {
            std::cerr << "galenarackd: " << variable << "=" << value << ": expected a value of type " << flag.type << '\n';
            std::exit(exitUsage);
        }
    }
    std::vector<std::string> unused;
    for (const char *const *entry = environ; *entry != nullptr; ++entry) {
        const std::string_view variable(*entry);
        const std::string_view name = variable.substr(0, variable.find('='));
        if (name.starts_with(environmentPrefix) && !known.contains(name)) {
            unused.emplace_back(name);
        }
    }
    return unused;
}

/// @return the value of a flag that was given on the command line or in the environment, or nothing
std::optional<int> givenValue(const char *flag, int value)
{
    return gflags::GetCommandLineFlagInfoOrDie(flag).is_default ? std::nullopt : std::optional(value);
}

RawSettings settingsFromFlags()
{
    RawSettings raw;
    raw.fleet = FLAGS_fleet;
    raw.vm = FLAGS_vm;
    raw.failureDomain = FLAGS_failure_domain;
    raw.callerAddress = FLAGS_caller_address;
    raw.peerAddress = FLAGS_peer_address;
    raw.peerListenAddress = FLAGS_peer_listen_address;
    raw.operatorsAddress = FLAGS_operators_address;
    raw.configService = FLAGS_config_service;
    raw.registry = FLAGS_registry;
    raw.bounds = FLAGS_bounds;
    raw.homeUpstreams = FLAGS_home_upstreams;
    raw.peerSeeds = FLAGS_peer_seeds;
    raw.logLevel = FLAGS_log_level;
    raw.logLinesPerSecond = FLAGS_log_lines_per_s;
    raw.memoryMb = givenValue("memory_mb", FLAGS_memory_mb);
    raw.drainTimeoutSeconds = givenValue("drain_timeout_s", FLAGS_drain_timeout_s);
    return raw;
}

std::mt19937_64 seededRandom()
{
    std::random_device device;
    std::seed_seq seed{device(), device(), device(), device()};
    return std::mt19937_64(seed);
}

/// Logs each SIGHUP.
boost::asio::awaitable<void> logReloadRequests()
{
    boost::asio::signal_set signals(co_await boost::asio::this_coro::executor, SIGHUP);
    const Log log("node");
    for (;;) {
        const auto [error, signal] = co_await signals.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
        if (error) {
            co_return;
        }
        log.info("settings not read again",
                 {{"signal", "SIGHUP"}, {"detail", "settings are read at the start; a restart applies changes"}});
    }
}

/// Runs a node until it has left the fleet.
/// @return false when the node could not start
template<typename NodeType>
bool run(boost::asio::io_context &context, const Settings &settings)
{
    // Never destroyed, as detached coroutines hold references to its components.
    NodeType &node = *new NodeType(context, settings, seededRandom());
    if (const absl::Status status = node.start(); !status.ok()) {
        std::cerr << "galenarackd: " << messageOf(status) << '\n';
        return false;
    }
    boost::asio::co_spawn(context, logReloadRequests(), boost::asio::detached);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&node](const boost::system::error_code &error, int) {
        if (!error) {
            node.drain("SIGTERM");
        }
    });
    context.run();
    flushLogs();
    return true;
}

} // namespace

int main(int argc, char **argv)
{
    Galenarack::returnLargeBlocks();
    std::signal(SIGPIPE, SIG_IGN);
    // SIGHUP must not end the process before it is handled.
    std::signal(SIGHUP, SIG_IGN);
    gflags::SetUsageMessage("One node of a galenarack fleet.\n"
                            "Each flag can also be set by an environment variable: GALENARACK_ and the flag name in capitals;\n"
                            "the command line takes precedence.");
    gflags::SetVersionString("0.1.0");
    const nlohmann::ordered_json unusedVariables = applyEnvironment();
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1) {
        std::cerr << "galenarackd: " << argv[1] << ": unexpected argument, only flags are accepted; see --help\n";
        return exitUsage;
    }
    const auto settings = checkSettings(settingsFromFlags());
    if (!settings.ok()) {
        std::cerr << "galenarackd: " << messageOf(settings.status()) << '\n';
        return exitUsage;
    }
    configureLogging(settings->logLevel, settings->logLinesPerSecond);
    if (!unusedVariables.empty()) {
        Log("node").info("environment variables not used", {{"names", &unusedVariables}});
    }

    boost::asio::io_context context(1);
    const bool isStarted = settings->registry ? run<ProxyNode>(context, *settings) : run<Node>(context, *settings);
    if (!isStarted) {
        return exitUsage;
    }
    // The process exits without destroying the components, as detached coroutines hold references to them.
    std::cerr.flush();
    std::_Exit(EXIT_SUCCESS);
}
