#include <galenarack/node/settings.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/execution/idempotencykey.h>
#include <galenarack/membership/gossipmessage.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <utility>

namespace Galenarack {

namespace asio = boost::asio;

namespace {

absl::Status invalid(std::string_view flag, std::string_view value, std::string_view allowed)
{
    return makeError(ErrorKind::SettingInvalid, "--" + std::string(flag) + "=" + std::string(value) + ": expected " + std::string(allowed));
}

std::vector<std::string_view> splitList(std::string_view text)
{
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const std::size_t end = text.find(',');
        parts.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return parts;
}

std::optional<asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']')) {
        host = host.substr(1, host.size() - 2);
    }
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, portError] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    boost::system::error_code hostError;
    const auto address = asio::ip::make_address(std::string(host), hostError);
    if (hostError || portError != std::errc() || end != portText.data() + portText.size() || port == 0) {
        return std::nullopt;
    }
    return asio::ip::tcp::endpoint(address, port);
}

/// @return the parts of "name=value"; nothing when the name or the equals sign is missing
std::optional<std::pair<std::string, std::string_view>> splitNamed(std::string_view text)
{
    const std::size_t equals = text.find('=');
    if (equals == 0 || equals == std::string_view::npos) {
        return std::nullopt;
    }
    return std::pair(std::string(text.substr(0, equals)), text.substr(equals + 1));
}

absl::Status checkEndpoint(std::string_view flag, std::string_view value, asio::ip::tcp::endpoint &target)
{
    const auto endpoint = parseEndpoint(value);
    if (!endpoint) {
        return invalid(flag, value, "IP:PORT with an IP address and a port from 1 to 65535");
    }
    target = *endpoint;
    return absl::OkStatus();
}

absl::Status checkName(std::string_view flag, std::string_view value)
{
    return isGossipName(value) ? absl::OkStatus()
                               : invalid(flag, value, "a name of 1 to 63 printable characters without space, quote or backslash");
}

absl::Status checkHomeUpstreams(std::string_view value, std::vector<HomeUpstream> &upstreams)
{
    constexpr std::string_view allowed = "NAME=IP:PORT,... with each name and address once";
    for (const std::string_view part : splitList(value)) {
        const auto named = splitNamed(part);
        const auto endpoint = named ? parseEndpoint(named->second) : std::nullopt;
        // Two upstreams with the same address would each be given all of its slots, and overload it.
        if (!endpoint || !isGossipName(named->first) || std::ranges::find(upstreams, named->first, &HomeUpstream::name) != upstreams.end()
            || std::ranges::find(upstreams, *endpoint, &HomeUpstream::address) != upstreams.end()) {
            return invalid("home_upstreams", part, allowed);
        }
        upstreams.push_back({named->first, *endpoint});
    }
    return absl::OkStatus();
}

absl::Status checkPeerSeeds(std::string_view value, std::vector<PeerSeed> &seeds)
{
    for (const std::string_view part : splitList(value)) {
        const auto named = splitNamed(part);
        if (!named || !isKeyVmName(named->first) || !isGossipAddress(named->second)
            || std::ranges::find(seeds, named->first, &PeerSeed::vm) != seeds.end()) {
            return invalid("peer_seeds", part, "VM=IP,... with each VM once");
        }
        seeds.push_back({named->first, std::string(named->second)});
    }
    return absl::OkStatus();
}

absl::Status checkLogLevel(std::string_view value, LogLevel &level)
{
    constexpr std::array<std::pair<std::string_view, LogLevel>, 4> levels
        = {{{"debug", LogLevel::Debug}, {"info", LogLevel::Info}, {"warn", LogLevel::Warn}, {"error", LogLevel::Error}}};
    for (const auto &[name, candidate] : levels) {
        if (name == value) {
            level = candidate;
            return absl::OkStatus();
        }
    }
    return invalid("log_level", value, "debug, info, warn or error");
}

/// @return whether the endpoints conflict: both cannot be bound at the same time, or a connection to one reaches the other
bool overlap(const asio::ip::tcp::endpoint &a, const asio::ip::tcp::endpoint &b)
{
    const bool isAnyAddress = a.address().is_unspecified() || b.address().is_unspecified();
    return a.port() == b.port() && (isAnyAddress || a.address() == b.address());
}

/// Checks that no two ports of the node conflict, and that neither the configuration service nor an upstream uses one of them.
/// The error names the flag that an operator can change on this node alone: the peer port is the same on all nodes.
absl::Status checkOverlaps(const RawSettings &raw, const Settings &settings)
{
    constexpr std::string_view allowed = "an address that no other port of the node uses";
    if (overlap(settings.callerAddress, settings.peerAddress)) {
        return invalid("caller_address", raw.callerAddress, allowed);
    }
    if (overlap(settings.operatorsAddress, settings.callerAddress) || overlap(settings.operatorsAddress, settings.peerAddress)) {
        return invalid("operators_address", raw.operatorsAddress, allowed);
    }
    if (overlap(settings.callerAddress, settings.peerListenAddress) || overlap(settings.operatorsAddress, settings.peerListenAddress)) {
        return invalid("peer_listen_address", raw.peerListenAddress, allowed);
    }
    const auto isOwn = [&settings](const asio::ip::tcp::endpoint &address) {
        return overlap(address, settings.callerAddress) || overlap(address, settings.peerAddress)
               || overlap(address, settings.operatorsAddress);
    };
    if (!settings.registry && isOwn(settings.configService)) {
        return invalid("config_service", raw.configService, allowed);
    }
    for (const HomeUpstream &upstream : settings.homeUpstreams) {
        if (isOwn(upstream.address)) {
            return invalid("home_upstreams", raw.homeUpstreams, "an address that no port of the node uses");
        }
    }
    return absl::OkStatus();
}

/// Validates the settings that are used only with a registry.
absl::Status checkRegistry(const RawSettings &raw, Settings &settings)
{
    if (!raw.configService.empty()) {
        return invalid("registry", raw.registry, "no value beside --config_service");
    }
    asio::ip::tcp::endpoint registry;
    if (absl::Status status = checkEndpoint("registry", raw.registry, registry); !status.ok()) {
        return status;
    }
    settings.registry = registry;
    if (raw.bounds.empty()) {
        return invalid("bounds", raw.bounds, "the bounds of the deployment, which are required with --registry");
    }
    auto bounds = Platform::decodeBounds(raw.bounds);
    if (!bounds.ok()) {
        return bounds.status();
    }
    settings.bounds = *bounds;
    return absl::OkStatus();
}

/// Rejects settings that are given and that the node would not use, with a registry or without one.
absl::Status checkMode(const RawSettings &raw)
{
    struct ModeSetting
    {
        std::string_view flag;
        std::string value; ///< Empty when the setting is not given.
        bool usedWithRegistry;
    };
    const ModeSetting settings[] = {
        {"bounds", raw.bounds, true},
        {"peer_listen_address", raw.peerListenAddress, true},
        {"memory_mb", raw.memoryMb ? std::to_string(*raw.memoryMb) : "", true},
        {"peer_seeds", raw.peerSeeds, false},
        {"drain_timeout_s", raw.drainTimeoutSeconds ? std::to_string(*raw.drainTimeoutSeconds) : "", false},
    };
    const bool hasRegistry = !raw.registry.empty();
    for (const ModeSetting &setting : settings) {
        if (!setting.value.empty() && setting.usedWithRegistry != hasRegistry) {
            return invalid(setting.flag, setting.value, hasRegistry ? "no value with --registry" : "no value without --registry");
        }
    }
    return absl::OkStatus();
}

/// Checks that a node with a registry is the home of exactly one upstream, which has the name of its service.
absl::Status checkOneHomeUpstream(const RawSettings &raw, const Settings &settings)
{
    return settings.registry && settings.homeUpstreams.size() != 1
               ? invalid("home_upstreams", raw.homeUpstreams, "SERVICE=IP:PORT, one upstream, with --registry")
               : absl::OkStatus();
}

} // namespace

absl::StatusOr<Settings> checkSettings(const RawSettings &raw)
{
    constexpr int maxDrainSeconds = 3600;
    Settings settings;
    settings.fleet = raw.fleet;
    settings.vm = raw.vm;
    settings.failureDomain = raw.failureDomain;
    absl::Status status;
    status.Update(checkName("fleet", raw.fleet));
    status.Update(isKeyVmName(raw.vm) ? absl::OkStatus() : invalid("vm", raw.vm, "1 to 63 letters, digits or '-'"));
    status.Update(checkName("failure_domain", raw.failureDomain));
    status.Update(checkEndpoint("caller_address", raw.callerAddress, settings.callerAddress));
    status.Update(checkEndpoint("peer_address", raw.peerAddress, settings.peerAddress));
    settings.peerListenAddress = settings.peerAddress;
    if (!raw.peerListenAddress.empty()) {
        status.Update(checkEndpoint("peer_listen_address", raw.peerListenAddress, settings.peerListenAddress));
    }
    status.Update(checkEndpoint("operators_address", raw.operatorsAddress, settings.operatorsAddress));
    status.Update(raw.registry.empty() ? checkEndpoint("config_service", raw.configService, settings.configService)
                                       : checkRegistry(raw, settings));
    status.Update(checkHomeUpstreams(raw.homeUpstreams, settings.homeUpstreams));
    status.Update(checkPeerSeeds(raw.peerSeeds, settings.peerSeeds));
    status.Update(checkLogLevel(raw.logLevel, settings.logLevel));
    const int drainTimeoutSeconds = raw.drainTimeoutSeconds.value_or(defaultDrainTimeoutSeconds);
    if (drainTimeoutSeconds < 1 || drainTimeoutSeconds > maxDrainSeconds) {
        status.Update(invalid("drain_timeout_s", std::to_string(drainTimeoutSeconds), "1 to 3600 seconds"));
    }
    constexpr int maxLogLines = 100'000;
    if (raw.logLinesPerSecond < 1 || raw.logLinesPerSecond > maxLogLines) {
        status.Update(invalid("log_lines_per_s", std::to_string(raw.logLinesPerSecond), "1 to 100000"));
    }
    constexpr int minMemoryMb = 32;
    constexpr int maxMemoryMb = 1'048'576;
    constexpr std::size_t megabyte = 1024 * 1024;
    const int memoryMb = raw.memoryMb.value_or(defaultMemoryMb);
    if (memoryMb < minMemoryMb || memoryMb > maxMemoryMb) {
        status.Update(invalid("memory_mb", std::to_string(memoryMb), "32 to 1048576 MB"));
    }
    settings.memoryBytes = static_cast<std::size_t>(std::max(memoryMb, 0)) * megabyte;
    settings.logLinesPerSecond = raw.logLinesPerSecond;
    settings.drainTimeout = std::chrono::seconds(drainTimeoutSeconds);
    if (settings.peerAddress.address().is_unspecified()) {
        status.Update(invalid("peer_address", raw.peerAddress, "the address by which other nodes reach this one"));
    }
    status.Update(checkMode(raw));
    if (status.ok()) {
        status = checkOneHomeUpstream(raw, settings);
    }
    if (status.ok()) {
        status = checkOverlaps(raw, settings);
    }
    if (!status.ok()) {
        return status;
    }
    return settings;
}

} // namespace Galenarack
