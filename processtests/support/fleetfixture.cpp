#include "fleetfixture.h"

#include <galenarack/core/digest.h>

#include <cstdlib>
#include <stdexcept>

namespace Galenarack {

namespace {

constexpr unsigned callerPort = 21001;
constexpr unsigned peerPort = 21002;
constexpr unsigned operatorsPort = 21003;
constexpr unsigned firstUpstreamPort = 21010;
constexpr unsigned defaultFirstOctet = 11;
constexpr auto readyTimeout = std::chrono::milliseconds(10000);
constexpr const char *services[] = {"lookups", "lodging", "single"};

std::string joinAddress(const std::string &ip, unsigned port)
{
    return ip + ":" + std::to_string(port);
}

std::string sectionHeader(const std::string &name)
{
    return "section: " + name + "\nowner: test team\npurpose: process tests\ncontact: test@example\n";
}

std::string vmName(unsigned node)
{
    return "vm-" + std::to_string(node);
}

std::string relayName(unsigned from, unsigned to)
{
    return std::to_string(from) + "to" + std::to_string(to);
}

TestRequest withAccount(TestRequest request)
{
    request.headers.emplace_back("galenarack-account", "charity");
    return request;
}

} // namespace

FleetFixture::FleetFixture(const FleetOptions &options)
    : settings(options)
    , firstOctet(defaultFirstOctet)
    , nodes(options.nodes)
    , vmStates(options.nodes, "live")
{
    std::string listen;
    for (unsigned i = 0; i < options.nodes; ++i) {
        listen += (i == 0 ? "127.0.0.1:0" : ",127.0.0.1:0");
    }
    this->configProcess = std::make_unique<StandInProcess>(
        "standin-configservice", std::vector<std::string>{"--listen=" + listen}, this->logFile("configservice"));
    this->startUpstreams();
    if (options.relayPeers) {
        this->startRelays();
    }
    std::string serviceRows;
    for (unsigned i = 0; i < options.nodes; ++i) {
        serviceRows += "  - {name: single-" + std::to_string(i) + ", floor: {count: 1}}\n";
    }
    this->sections["services"] = sectionHeader("services")
                                 + "services:\n  - {name: lookups, floor: {count: 1}}\n  - {name: lodging, floor: {count: 1}}\n"
                                 + serviceRows;
    this->sections["upstreams"] = this->upstreamsSection();
    this->sections["routes"] = this->routesSection();
    this->sections["accounts"] = sectionHeader("accounts") + "accounts:\n  - {name: charity}\n  - {name: greedy}\n";
    this->sections["timings"] = sectionHeader("timings") + "timings: {max_retire_share: 1}\n";
    this->publishVmLists();
    this->publish();
    for (unsigned i = 0; i < options.nodes; ++i) {
        this->startNode(i);
    }
    for (unsigned i = 0; i < options.nodes; ++i) {
        if (!this->waitUntilReady(i, readyTimeout)) {
            throw std::runtime_error(vmName(i) + " is not ready: " + this->status(i).dump());
        }
    }
}

FleetFixture::~FleetFixture() = default;

void FleetFixture::startUpstreams()
{
    std::string list;
    for (unsigned i = 0; i < this->settings.nodes; ++i) {
        unsigned port = firstUpstreamPort;
        for (const char *service : services) {
            list += std::string(service) + "-" + std::to_string(i) + "=" + joinAddress(this->address(i), port++) + ",";
        }
    }
    this->upstreamProcess
        = std::make_unique<StandInProcess>("standin-upstream",
                                           std::vector<std::string>{"--upstreams=" + list, "--settings=" + this->settings.upstreamSettings},
                                           this->logFile("upstream"));
}

void FleetFixture::startRelays()
{
    std::string list;
    unsigned nextOctet = this->firstOctet + this->settings.nodes;
    for (unsigned from = 0; from < this->settings.nodes; ++from) {
        for (unsigned to = 0; to < this->settings.nodes; ++to) {
            if (from != to) {
                list += relayName(from, to) + "=" + joinAddress(ownLoopbackAddress(nextOctet++), peerPort) + "="
                        + joinAddress(this->address(to), peerPort) + ",";
            }
        }
    }
    this->relayProcess = std::make_unique<StandInProcess>(
        "standin-relay", std::vector<std::string>{"--datagrams", "--relays=" + list}, this->logFile("relay"));
}

void FleetFixture::startNode(unsigned node)
{
    std::string upstreams;
    unsigned port = firstUpstreamPort;
    for (const char *service : services) {
        const std::string name = std::string(service) + "-" + std::to_string(node);
        const auto provided = this->settings.upstreamAddresses.find(name);
        const std::string standIn = joinAddress(this->address(node), port++);
        upstreams += (upstreams.empty() ? "" : ",") + name + "=";
        upstreams += provided == this->settings.upstreamAddresses.end() ? standIn : provided->second;
    }
    const std::vector<std::string> flags = {
        "--fleet=test",
        "--vm=" + vmName(node),
        "--failure_domain=fd-" + std::to_string(node % this->settings.failureDomains),
        "--caller_address=" + this->callerAddress(node),
        "--peer_address=" + joinAddress(this->address(node), peerPort),
        "--operators_address=" + this->operatorsAddress(node),
        "--home_upstreams=" + upstreams,
        "--drain_timeout_s=" + std::to_string(this->settings.drainTimeoutSeconds),
        "--config_service=" + this->configProcess->addresses()["listen"][node].get<std::string>(),
    };
    this->nodes[node].reset();
    // The previous process has to be gone, or the new one may find its addresses in use.
    this->nodes[node].reset();
    this->nodes[node] = std::make_unique<ChildProcess>(programPath("galenarackd"), flags, this->logFile(vmName(node)));
}

bool FleetFixture::waitUntilReady(unsigned node, std::chrono::milliseconds timeout) const
{
    return waitFor(timeout, [this, node] {
        TestRequest request;
        request.target = "/readyz";
        return sendRequest(this->operatorsAddress(node), request).status == 200;
    });
}

std::string FleetFixture::address(unsigned node) const
{
    return ownLoopbackAddress(this->firstOctet + node);
}

std::string FleetFixture::callerAddress(unsigned node) const
{
    return joinAddress(this->address(node), callerPort);
}

std::string FleetFixture::operatorsAddress(unsigned node) const
{
    return joinAddress(this->address(node), operatorsPort);
}

std::string FleetFixture::callerAddresses() const
{
    std::string list;
    for (unsigned i = 0; i < this->settings.nodes; ++i) {
        list += (i == 0 ? "" : ",") + this->callerAddress(i);
    }
    return list;
}

TestReply FleetFixture::call(unsigned node, const TestRequest &request) const
{
    return sendRequest(this->callerAddress(node), withAccount(request));
}

std::future<TestReply> FleetFixture::callAsync(unsigned node, const TestRequest &request) const
{
    return sendAsync(this->callerAddress(node), withAccount(request));
}

std::string FleetFixture::issueKey(unsigned node, const std::string &path) const
{
    TestRequest request;
    request.method = "POST";
    request.target = "/.galenarack/keys?path=" + path + "&method=POST";
    const TestReply reply = this->call(node, request);
    std::string key = StandIns::jsonStringMember(reply.body, "key");
    if (key.empty()) {
        throw std::runtime_error("no key was issued: " + reply.describe());
    }
    return key;
}

void FleetFixture::setSection(const std::string &name, const std::string &yaml)
{
    this->sections[name] = sectionHeader(name) + yaml;
}

std::uint64_t FleetFixture::publish()
{
    nlohmann::json manifest = {{"fleet", "test"}, {"revision", ++this->lastRevision}, {"sections", nlohmann::json::array()}};
    for (const auto &[name, yaml] : this->sections) {
        const std::string digest = sha256Hex(yaml);
        this->configProcess->control("PUT", "/values/section/" + digest, yaml);
        manifest["sections"].push_back({{"name", name}, {"digest", digest}, {"previous", this->publishedDigests[name]}});
        this->publishedDigests[name] = digest;
    }
    this->manifests[this->lastRevision] = manifest.dump();
    this->publishManifest(this->lastRevision);
    return this->lastRevision;
}

void FleetFixture::publishManifest(std::uint64_t revision)
{
    this->configProcess->control("PUT", "/values/manifest", this->manifests.at(revision));
}

void FleetFixture::setVmState(unsigned node, const std::string &state)
{
    this->vmStates.at(node) = state;
    this->publishVmLists();
}

void FleetFixture::publishVmLists()
{
    for (unsigned reader = 0; reader < this->settings.nodes; ++reader) {
        this->configProcess->control("PUT", "/views/" + std::to_string(reader) + "/vms", this->vmList(reader));
    }
}

std::string FleetFixture::vmList(unsigned reader) const
{
    nlohmann::json list = nlohmann::json::array();
    for (unsigned i = 0; i < this->settings.nodes; ++i) {
        std::string ip = this->address(i);
        if (this->relayProcess && i != reader) {
            const std::string relay = this->relayProcess->addresses()["relays"][relayName(reader, i)];
            ip = relay.substr(0, relay.find(':'));
        }
        list.push_back({
            {"name", vmName(i)},
            {"address", ip},
            {"failure_domain", "fd-" + std::to_string(i % this->settings.failureDomains)},
            {"state", this->vmStates[i]},
        });
    }
    return list.dump();
}

std::string FleetFixture::upstreamsSection() const
{
    std::string yaml = sectionHeader("upstreams") + "upstreams:\n";
    for (unsigned i = 0; i < this->settings.nodes; ++i) {
        const std::string number = std::to_string(i);
        std::string placement = ", vm: " + vmName(i);
        placement += ", failure_domain: fd-" + std::to_string(i % this->settings.failureDomains);
        placement += ", slots: " + std::to_string(this->settings.slots) + "}\n";
        yaml.append("  - {name: lookups-").append(number).append(", service: lookups").append(placement);
        yaml.append("  - {name: lodging-").append(number).append(", service: lodging").append(placement);
        yaml.append("  - {name: single-").append(number).append(", service: single-").append(number).append(placement);
    }
    return yaml;
}

std::string FleetFixture::routesSection() const
{
    const std::string deadline = ", deadline_ms: " + std::to_string(this->settings.deadlineMs) + "}\n";
    std::string yaml = sectionHeader("routes") + "routes:\n";
    yaml += "  - {prefix: /lookups, methods: [GET], service: lookups" + deadline;
    yaml += "  - {prefix: /lodging, methods: [POST], service: lodging, repeatable: false" + deadline;
    for (unsigned i = 0; i < this->settings.nodes; ++i) {
        const std::string name = "single-" + std::to_string(i);
        yaml += "  - {prefix: /" + name;
        yaml += ", methods: [GET, POST], service: ";
        yaml.append(name).append(deadline);
    }
    return yaml;
}

void FleetFixture::setConfigServiceMode(unsigned node, const std::string &mode)
{
    this->configProcess->control("POST", "/mode/" + mode + "?port=" + std::to_string(node));
}

void FleetFixture::setConfigServiceMode(const std::string &mode)
{
    this->configProcess->control("POST", "/mode/" + mode);
}

void FleetFixture::configureUpstream(const std::string &name, const std::string &settings)
{
    this->upstreamProcess->control("POST", "/upstreams/" + name, settings);
}

void FleetFixture::setPathFault(unsigned from, unsigned to, const std::string &fault)
{
    this->relayProcess->control("POST", "/relays/" + relayName(from, to), fault);
}

nlohmann::json FleetFixture::status(unsigned node) const
{
    TestRequest request;
    request.target = "/status";
    request.timeout = std::chrono::milliseconds(500);
    return sendRequest(this->operatorsAddress(node), request).json();
}

std::uint64_t FleetFixture::revision(unsigned node) const
{
    const nlohmann::json status = this->status(node);
    return status.is_object() ? status.value("revision", std::uint64_t(0)) : 0;
}

nlohmann::json FleetFixture::runs() const
{
    return this->upstreamProcess->control("GET", "/runs");
}

unsigned FleetFixture::nodeOf(const std::string &keyOrUpstream)
{
    const std::string marker = keyOrUpstream.starts_with("gk1.") ? "vm-" : "-";
    return static_cast<unsigned>(std::stoul(keyOrUpstream.substr(keyOrUpstream.find(marker) + marker.size())));
}

std::filesystem::path FleetFixture::logFile(const std::string &name) const
{
    // With GALENARACK_TEST_LOGS, the logs are written to that folder and kept after the test.
    const char *logFolder = std::getenv("GALENARACK_TEST_LOGS"); // NOLINT(concurrency-mt-unsafe): nothing changes the environment
    return (logFolder != nullptr ? std::filesystem::path(logFolder) : this->folder.path()) / (name + ".log");
}

} // namespace Galenarack
