#pragma once

#include "standinprocess.h"
#include "temporaryfolder.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Galenarack {

/// Size and settings of a test fleet.
struct FleetOptions
{
    unsigned nodes = 3; ///< Number of nodes.
    unsigned slots = 8; ///< Slots of each upstream.
    unsigned deadlineMs = 5000; ///< Deadline of each route, in milliseconds.
    unsigned drainTimeoutSeconds = 30; ///< Longest time that a node takes to leave, in seconds.
    unsigned failureDomains = 1; ///< Node i is in domain i modulo this number. With one domain, every ingress uses every upstream.
    std::string upstreamSettings = R"({"base_delay_ms": 5, "slots": 8})"; ///< Settings of all upstreams, see standins/upstream.
    /// Addresses of upstreams that a test provides, "IPv4:port" by upstream name, in place of those of standins/upstream.
    std::map<std::string, std::string> upstreamAddresses{};
    bool relayPeers = false; ///< Whether each node reaches each other node through a separate relay.
};

/// A fleet of real processes: stand-ins for the configuration service and the upstreams, and galenarackd nodes.
///
/// Node i (counted from 0) runs on the VM "vm-i" and is the home of the upstreams "lookups-i", "lodging-i" and "single-i".
/// Routes: /lookups (GET) and /lodging (POST, not repeatable) with an upstream on each node, /single-i (GET, and POST not
/// repeatable) with the one on node i. Account: "charity".
class FleetFixture
{
public:
    /// Starts all processes, publishes revision 1 and waits until all nodes are ready.
    /// @throws std::runtime_error when a node is not ready within 10 s
    explicit FleetFixture(const FleetOptions &options = {});
    ~FleetFixture();
    FleetFixture(const FleetFixture &) = delete;
    FleetFixture &operator=(const FleetFixture &) = delete;

    /// Starts the process of a node with a new incarnation. A process of the node that still runs is killed first.
    void startNode(unsigned node);

    /// Waits until `/readyz` of the node reports ready.
    /// @return false on time-out
    bool waitUntilReady(unsigned node, std::chrono::milliseconds timeout) const;

    ChildProcess &node(unsigned node)
    {
        return *this->nodes.at(node);
    }
    StandInProcess &upstreams()
    {
        return *this->upstreamProcess;
    }
    StandInProcess &configService()
    {
        return *this->configProcess;
    }

    /// @return "IPv4:port" where the node accepts callers
    std::string callerAddress(unsigned node) const;

    /// @return "IPv4:port" where the node accepts operators
    std::string operatorsAddress(unsigned node) const;

    /// @return caller addresses of all nodes, separated by commas
    std::string callerAddresses() const;

    /// Sends a request of the account "charity" to a node and waits for the response.
    TestReply call(unsigned node, const TestRequest &request) const;

    /// Sends a request of the account "charity" to a node without blocking.
    std::future<TestReply> callAsync(unsigned node, const TestRequest &request) const;

    /// Requests an idempotency key from a node for a POST to `path`.
    /// @throws std::runtime_error when no key is issued
    std::string issueKey(unsigned node, const std::string &path) const;

    /// Sets the contents of a section for the next revision.
    void setSection(const std::string &name, const std::string &yaml);

    /// Publishes all sections as the next revision.
    /// @return number of the new revision
    std::uint64_t publish();

    /// Makes the configuration service serve the manifest of `revision`. With an earlier revision, simulates a stale service.
    void publishManifest(std::uint64_t revision);

    /// Sets the state of a VM, "live" or "leaving", and publishes the VM lists.
    void setVmState(unsigned node, const std::string &state);

    /// Sets the mode of the configuration service for one node, see standins/configservice.
    void setConfigServiceMode(unsigned node, const std::string &mode);

    /// Sets the mode of the configuration service for all nodes.
    void setConfigServiceMode(const std::string &mode);

    /// Changes the settings of the upstream `name`, or of all upstreams when `name` is "all"; see standins/upstream.
    void configureUpstream(const std::string &name, const std::string &settings);

    /// Applies a fault to the path from node `from` to node `to`, see standins/relay. Requires FleetOptions::relayPeers.
    void setPathFault(unsigned from, unsigned to, const std::string &fault);

    /// @return response of the node to `/status`, or null when there is none within 500 ms
    nlohmann::json status(unsigned node) const;

    /// @return revision in force at the node, or 0 when the node does not respond
    std::uint64_t revision(unsigned node) const;

    /// @return runs of all upstreams, as the upstream stand-in reports them on GET /runs
    nlohmann::json runs() const;

    const FleetOptions &options() const
    {
        return this->settings;
    }

    /// @return N of an idempotency key "gk1.vm-N.…" or of an upstream name such as "lookups-N"
    static unsigned nodeOf(const std::string &keyOrUpstream);

private:
    std::string address(unsigned node) const;
    void startUpstreams();
    void startRelays();
    void publishVmLists();
    std::string vmList(unsigned reader) const;
    std::string upstreamsSection() const;
    std::string routesSection() const;
    std::filesystem::path logFile(const std::string &name) const;

    FleetOptions settings;
    unsigned firstOctet; ///< Last octet of the loopback address of node 0; those of the other nodes follow.
    TemporaryFolder folder;
    std::unique_ptr<StandInProcess> configProcess;
    std::unique_ptr<StandInProcess> upstreamProcess;
    std::unique_ptr<StandInProcess> relayProcess;
    std::vector<std::unique_ptr<ChildProcess>> nodes;
    std::vector<std::string> vmStates; ///< State of each VM in the VM list, by node.
    std::map<std::string, std::string> sections; ///< YAML of the next revision, by section name.
    std::map<std::string, std::string> publishedDigests; ///< SHA-256 of the last published YAML, by section name.
    std::map<std::uint64_t, std::string> manifests; ///< All published manifests, by revision.
    std::uint64_t lastRevision = 0;
};

} // namespace Galenarack
