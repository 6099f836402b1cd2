#include <galenarack/peer/peercontrol.h>

#include <galenarack/core/errorkind.h>

#include <nlohmann/json.hpp>

#include <charconv>

namespace Galenarack {

namespace {

/// Encodes a report as an array in this order: field names would make up most of the size of a heartbeat.
nlohmann::json toJson(const NamedUpstreamReport &named)
{
    const UpstreamReport &report = named.report;
    return nlohmann::json::array({named.upstream,
                                  static_cast<unsigned>(report.healthState),
                                  static_cast<unsigned>(report.cause),
                                  report.severity,
                                  report.weight,
                                  report.inFlight,
                                  report.queued,
                                  report.slots,
                                  report.routeClass,
                                  report.latency.count()});
}

NamedUpstreamReport upstreamFromJson(const nlohmann::json &json)
{
    NamedUpstreamReport named;
    UpstreamReport &report = named.report;
    json.at(0).get_to(named.upstream);
    const auto healthState = json.at(1).get<unsigned>();
    const auto cause = json.at(2).get<unsigned>();
    // An unknown value is read as healthy, so that a faulty node cannot make others treat an upstream as ejected.
    report.healthState
        = healthState <= static_cast<unsigned>(HealthState::Leaving) ? static_cast<HealthState>(healthState) : HealthState::Serving;
    report.cause = cause <= static_cast<unsigned>(HealthCause::Rule) ? static_cast<HealthCause>(cause) : HealthCause::None;
    json.at(3).get_to(report.severity);
    json.at(4).get_to(report.weight);
    json.at(5).get_to(report.inFlight);
    json.at(6).get_to(report.queued);
    json.at(7).get_to(report.slots);
    json.at(8).get_to(report.routeClass);
    report.latency = Duration(json.at(9).get<std::int64_t>());
    return named;
}

/// Splits a comma-separated list into its fields.
std::vector<std::string_view> splitFields(std::string_view text)
{
    std::vector<std::string_view> parts;
    for (std::size_t end = 0; end != std::string_view::npos;) {
        end = text.find(',');
        parts.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return parts;
}

/// Stores the number that `text` consists of in `number`.
/// @return whether the whole text is a number in range
template<typename Number>
bool parseNumber(std::string_view text, Number &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc() && end == text.data() + text.size();
}

/// Checks the structure of CBOR data (RFC 8949 section 3) without recursion. The JSON library decodes nested items and chunked
/// strings recursively, so that a body of 1 MB could exhaust the stack.
/// @return whether the data starts with a complete item of definite length that is nested no deeper than a report
bool isShallowCbor(std::string_view bytes)
{
    constexpr std::size_t maxDepth = 4;
    constexpr unsigned oneByteArgumentCode = 24;
    constexpr unsigned maxArgumentCode = 27;
    std::vector<std::uint64_t> remainingItems = {1}; // Number of items still expected at each nesting level.
    std::size_t position = 0;
    while (!remainingItems.empty()) {
        if (remainingItems.back() == 0) {
            remainingItems.pop_back();
            continue;
        }
        --remainingItems.back();
        if (position == bytes.size()) {
            return false;
        }
        const auto head = static_cast<std::uint8_t>(bytes[position++]);
        const unsigned major = head >> 5U;
        std::uint64_t argument = head & 31U;
        if (argument > maxArgumentCode) {
            return false;
        }
        if (argument >= oneByteArgumentCode) {
            const std::size_t length = std::size_t{1} << (argument - oneByteArgumentCode);
            if (bytes.size() - position < length) {
                return false;
            }
            argument = 0;
            for (const char c : bytes.substr(position, length)) {
                argument = argument << 8U | static_cast<std::uint8_t>(c);
            }
            position += length;
        }
        const bool isString = major == 2 || major == 3;
        const bool isContainer = major == 4 || major == 5;
        if ((isString || isContainer) && argument > bytes.size() - position) {
            return false;
        }
        if (isString) {
            position += argument;
        } else if (isContainer) {
            remainingItems.push_back(major == 5 ? 2 * argument : argument);
        }
        if (major == 6 || remainingItems.size() > maxDepth) {
            return false;
        }
    }
    return true;
}

} // namespace

void appendReport(const UpstreamReport &report, HeaderList &headers)
{
    headers.add(PeerHeader::load,
                std::to_string(report.inFlight) + "," + std::to_string(report.queued) + "," + std::to_string(report.slots));
    headers.add(PeerHeader::state,
                std::string(healthStateName(report.healthState)) + "," + std::string(causeName(report.cause)) + ","
                    + std::to_string(report.severity) + "," + std::to_string(report.weight));
    headers.add(PeerHeader::latencyUs, std::to_string(report.latency.count()) + "," + std::to_string(report.routeClass));
}

std::optional<UpstreamReport> reportFromHeaders(const HeaderList &headers)
{
    const auto load = splitFields(headers.find(PeerHeader::load).value_or(""));
    const auto state = splitFields(headers.find(PeerHeader::state).value_or(""));
    const auto latency = splitFields(headers.find(PeerHeader::latencyUs).value_or(""));
    if (load.size() != 3 || state.size() != 4 || latency.size() != 2) {
        return std::nullopt;
    }
    UpstreamReport report;
    const auto healthState = healthStateFromName(state[0]);
    const auto cause = causeFromName(state[1]);
    Duration::rep latencyUs = 0;
    const bool parsed = healthState && cause && parseNumber(load[0], report.inFlight) && parseNumber(load[1], report.queued)
                        && parseNumber(load[2], report.slots) && parseNumber(state[2], report.severity)
                        && parseNumber(state[3], report.weight) && parseNumber(latency[0], latencyUs)
                        && parseNumber(latency[1], report.routeClass);
    if (!parsed) {
        return std::nullopt;
    }
    report.healthState = *healthState;
    report.cause = *cause;
    report.latency = Duration(latencyUs);
    return report;
}

std::string NodeReport::encode() const
{
    nlohmann::json json = {{"version", this->version},
                           {"fleet", this->fleet},
                           {"vm", this->vm},
                           {"incarnation", this->incarnation.value},
                           {"clock_ms", this->clockMs},
                           {"revision", this->revision},
                           {"leaving", this->leaving}};
    auto &rows = json["upstreams"] = nlohmann::json::array();
    for (const NamedUpstreamReport &report : this->upstreams) {
        rows.push_back(toJson(report));
    }
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

absl::StatusOr<NodeReport> NodeReport::decode(std::string_view bytes)
{
    if (!isShallowCbor(bytes)) {
        return makeError(ErrorKind::InvalidRequest, "node report is truncated, nested too deeply or not well-formed CBOR");
    }
    try {
        const nlohmann::json json = nlohmann::json::from_cbor(bytes);
        NodeReport report;
        json.at("version").get_to(report.version);
        json.at("fleet").get_to(report.fleet);
        json.at("vm").get_to(report.vm);
        json.at("incarnation").get_to(report.incarnation.value);
        json.at("clock_ms").get_to(report.clockMs);
        json.at("revision").get_to(report.revision);
        json.at("leaving").get_to(report.leaving);
        for (const auto &row : json.at("upstreams")) {
            report.upstreams.push_back(upstreamFromJson(row));
        }
        return report;
    } catch (const nlohmann::json::exception &error) {
        return makeError(ErrorKind::InvalidRequest, error.what());
    }
}

} // namespace Galenarack
