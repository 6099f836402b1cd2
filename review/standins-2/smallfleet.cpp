#include "smallfleet.h"

#include <cstdlib>
#include <filesystem>
#include <string_view>

#include <unistd.h>

namespace Review {

namespace {

std::string actionText(const Route &route)
{
    std::string target;
    if (route.shares.size() == 1) {
        target = R"("service":")" + route.shares.front().service + R"(")";
    } else {
        for (const Share &share : route.shares) {
            target += (target.empty() ? "" : ",") + std::string(R"({"service":")") + share.service + R"(","weight":)"
                      + std::to_string(share.weight) + "}";
        }
        target = R"("weighted-services":[)" + target + "]";
    }
    return "{" + target + R"(,"timeout-ms":)" + std::to_string(route.timeoutMs) + R"(,"max-attempts":)" + std::to_string(route.maxAttempts)
           + "}";
}

} // namespace

std::string configText(unsigned version, const std::vector<Route> &routes, const std::vector<std::string> &services)
{
    std::string listeners;
    for (const Route &route : routes) {
        listeners += (listeners.empty() ? "" : ",") + std::string(R"({"host":")") + route.host + R"(","rules":[{"name":"r)"
                     + route.host.substr(0, route.host.find('.')) + R"(","kind":")" + route.kind + R"(","target-latency-ms":)"
                     + std::to_string(route.targetMs) + R"(,"priority":)" + std::to_string(route.priority) + R"(,"match":{"prefix":")"
                     + route.prefix + R"("},"action":)" + actionText(route) + "}]}";
    }
    std::string clusters;
    for (const std::string &service : services) {
        clusters += (clusters.empty() ? "" : ",") + std::string(R"({"name":")") + service
                    + R"(","health-path":"/healthz","max-connections":390,"protocol":"h1","tls":false})";
    }
    char digits[16];
    std::snprintf(digits, sizeof(digits), "%08x", version);
    return std::string(R"({"version":")") + digits
           + R"(","limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},)"
             R"("listeners":[)"
           + listeners + R"(],"clusters":[)" + clusters + "]}";
}

SmallFleet::SmallFleet(const std::vector<std::string> &services,
                       unsigned slots,
                       Backend::Behaviour behaviour,
                       Backend::Observer observer,
                       const std::string &logFolder)
    : logFolder(logFolder)
{
    const std::vector<std::string> zones = {"kl-a", "kl-b", "kl-c"};
    const std::string storeIp = "127.0.44.100";
    const std::string relayIp = "127.0.44.101";
    std::vector<std::string> ips = {storeIp, relayIp};
    const std::size_t firstMachine = ips.size();
    for (std::size_t i = 0; i < services.size(); ++i) {
        ips.push_back("127.0.44." + std::to_string(i + 1));
    }
    const Ports ports = findFreePorts(ips);
    this->store = std::make_unique<Store>(Address{storeIp, ports.store});
    this->relay = std::make_unique<Relay>(Address{relayIp, ports.store}, Address{storeIp, ports.store});
    for (std::size_t i = 0; i < services.size(); ++i) {
        NodeSettings machine;
        machine.name = "sidecar-" + std::to_string(i + 1);
        machine.ip = ips[firstMachine + i];
        machine.zone = zones[i % zones.size()];
        machine.service = services[i];
        machine.store = {i == 0 ? relayIp : storeIp, ports.store};
        machine.ports = ports;
        machine.bounds = smallBounds;
        const BackendSettings backend{"i-" + std::to_string(i + 1), services[i], {machine.ip, ports.app}, machine.zone, slots};
        this->backends.push_back(std::make_unique<Backend>(backend, *this->store, behaviour, observer));
        this->machines.push_back(std::move(machine));
    }
}

void SmallFleet::configure(unsigned version, const std::vector<Route> &routes, const std::vector<std::string> &services)
{
    this->store->put("op/config", configText(version, routes, services));
}

bool SmallFleet::start()
{
    for (const NodeSettings &machine : this->machines) {
        this->nodes.push_back(std::make_unique<Node>(machine, this->logFolder + "/" + machine.name + ".log"));
    }
    return waitUntilReady(this->nodes);
}

void SmallFleet::finish(int exitCode)
{
    this->nodes.clear();
    std::filesystem::remove_all(this->logFolder);
    std::_Exit(exitCode);
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

std::string makeTemporaryFolder()
{
    const char *root = std::getenv("TMPDIR");
    std::string folder = std::string(root != nullptr ? root : "/tmp") + "/review-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr) {
        std::_Exit(exitNotRun);
    }
    return folder;
}

} // namespace Review
