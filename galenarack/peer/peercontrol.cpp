#include <galenarack/peer/peercontrol.h>

#include <galenarack/core/errorkind.h>

#include <nlohmann/json.hpp>

namespace Galenarack {

namespace {

nlohmann::json toJson(const UpstreamReport &report)
{
    return {{"name", report.upstream},
            {"state", report.state},
            {"severity", report.severity},
            {"in_flight", report.inFlight},
            {"queued", report.queued},
            {"slots", report.slots},
            {"latency_us", report.latencyUs}};
}

UpstreamReport upstreamFromJson(const nlohmann::json &json)
{
    UpstreamReport report;
    json.at("name").get_to(report.upstream);
    json.at("state").get_to(report.state);
    json.at("severity").get_to(report.severity);
    json.at("in_flight").get_to(report.inFlight);
    json.at("queued").get_to(report.queued);
    json.at("slots").get_to(report.slots);
    json.at("latency_us").get_to(report.latencyUs);
    return report;
}

} // namespace

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
    for (const UpstreamReport &report : this->upstreams) {
        rows.push_back(toJson(report));
    }
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

absl::StatusOr<NodeReport> NodeReport::decode(std::string_view bytes)
{
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
