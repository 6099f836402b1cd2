#include "configservice.h"

#include <nlohmann/json.hpp>

#include <array>
#include <stdexcept>
#include <string>

namespace Galenarack::StandIns {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view valuePrefix = "/values/";
constexpr std::string_view viewPrefix = "/views/";
constexpr std::string_view modePrefix = "/mode/";

constexpr std::array<std::pair<std::string_view, ServiceMode>, 5> modeNames = {{
    {"normal", ServiceMode::Normal},
    {"frozen", ServiceMode::Frozen},
    {"silent", ServiceMode::Silent},
    {"down", ServiceMode::Down},
    {"stale", ServiceMode::Stale},
}};

ServiceMode modeFromName(std::string_view name)
{
    for (const auto &[known, mode] : modeNames) {
        if (known == name) {
            return mode;
        }
    }
    throw std::invalid_argument("mode is not one of normal, frozen, silent, down and stale: " + std::string(name));
}

[[noreturn]] void throwValueTooLong()
{
    throw std::length_error("value exceeds the limit of 1 MiB");
}

} // namespace

ConfigService::ConfigService(asio::io_context &context, const Settings &settings)
    : counter(settings.maxCallsPerSecond)
    , control(context, settings.control, [this](const HttpRequest &request) -> asio::awaitable<HttpResponse> {
        return answerAsJson(request, [this](const HttpRequest &command) {
            return this->handleControlRequest(command);
        });
    })
{
    for (const Tcp::endpoint &endpoint : settings.listen) {
        this->ports.emplace_back(context, endpoint, this->values, this->counter);
    }
}

void ConfigService::start()
{
    for (ReaderPort &port : this->ports) {
        port.open();
    }
    this->control.open();
}

nlohmann::json ConfigService::handleControlRequest(const HttpRequest &request)
{
    const Target target(request.target());
    if (target.path.starts_with(valuePrefix)) {
        this->changeValue(request, target.path.substr(valuePrefix.size()));
    } else if (target.path.starts_with(viewPrefix)) {
        this->changeView(request, std::string_view(target.path).substr(viewPrefix.size()));
    } else if (target.path.starts_with(modePrefix)) {
        this->changeMode(target);
    } else if (target.path != "/calls") {
        throw std::invalid_argument("unknown control path: " + target.path);
    }
    return this->callCounts();
}

void ConfigService::changeValue(const HttpRequest &request, const std::string &key)
{
    if (request.method() == http::verb::delete_) {
        this->values.remove(key);
    } else if (request.method() != http::verb::put) {
        throw std::invalid_argument("/values/KEY accepts only PUT and DELETE");
    } else if (!this->values.put(key, request.body())) {
        throwValueTooLong();
    }
    for (ReaderPort &port : this->ports) {
        port.wakeWaiters();
    }
}

void ConfigService::changeView(const HttpRequest &request, std::string_view indexAndKey)
{
    const auto [index, key] = splitOnce(indexAndKey, '/');
    if (!this->ports.at(std::stoul(std::string(index))).override(std::string(key), request.body())) {
        throwValueTooLong();
    }
}

void ConfigService::changeMode(const Target &target)
{
    const ServiceMode mode = modeFromName(std::string_view(target.path).substr(modePrefix.size()));
    const std::string portFilter = target.parameter("port");
    for (std::size_t i = 0; i < this->ports.size(); ++i) {
        if (portFilter.empty() || portFilter == std::to_string(i)) {
            this->ports[i].setMode(mode);
        }
    }
}

nlohmann::json ConfigService::callCounts() const
{
    std::size_t waiting = 0;
    for (const ReaderPort &port : this->ports) {
        waiting += port.waiting();
    }
    return {
        {"total", this->counter.calls},
        {"refused", this->counter.refused},
        {"waiting", waiting},
        {"keys", this->counter.callsByKey},
    };
}

} // namespace Galenarack::StandIns
