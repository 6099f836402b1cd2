#pragma once

#include "standinprocess.h"
#include "temporaryfolder.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Galenarack {

/// What a test fleet looks like.
struct FleetOptions
{
    unsigned nodes = 3;
    unsigned slots = 8; ///< Of each upstream.
    unsigned deadlineMs = 5000; ///< Of each route.
    unsigned failureDomains = 1; ///< Nodes are spread over so many in turn; with one, every ingress uses every upstream.
    std::string upstreamSettings = R"({"base_delay_ms": 5, "slots": 8})"; ///< See standins/upstream.
    bool relayPeers = false; ///< The path between each two nodes goes through a relay of its own in each direction.
};

/// A fleet of real processes: configuration service, upstreams and nodes.
///
/// Node i (from 0) is the VM "vm-i" and the home of the upstreams "lookups-i", "lodging-i" and "single-i".
/// Routes: /lookups (GET) and /lodging (POST, not repeatable) with an upstream on each node, /single-i (GET, and POST not
/// repeatable) with the one on node i. Account: "charity".
class FleetFixture
{
public:
    /// Starts everything and publishes revision 1.
    /// @throws std::runtime_error when a node is not ready within 10 s
    explicit FleetFixture(const FleetOptions &options = {});
    ~FleetFixture();
    FleetFixture(const FleetFixture &) = delete;
    FleetFixture &operator=(const FleetFixture &) = delete;

    /// Starts the process of a node that is not running; it has a new incarnation.
    void startNode(unsigned node);

    /// @return whether `/readyz` of the node reports ready within `timeout`
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

    std::string callerAddress(unsigned node) const;
    std::string operatorsAddress(unsigned node) const;

    /// Addresses of all callers' ports, separated by commas.
    std::string callerAddresses() const;

    /// Sends a request of the account "charity" to a node.
    TestReply call(unsigned node, const TestRequest &request) const;
    std::future<TestReply> callAsync(unsigned node, const TestRequest &request) const;

    /// @return an idempotency key for a POST to `path`
    /// @throws std::runtime_error when none is issued
    std::string issueKey(unsigned node, const std::string &path) const;

    /// Replaces a section of the next revision.
    void setSection(const std::string &name, const std::string &yaml);

    /// Publishes the sections as the next revision.
    /// @return its number
    std::uint64_t publish();

    /// Publishes the manifest of a revision that was published before, as a stale service would.
    void publishManifest(std::uint64_t revision);

    /// Sets the state of a VM, "live" or "leaving", and publishes the VM list.
    void setVmState(unsigned node, const std::string &state);

    /// Sets the mode of the configuration service as one node sees it.
    void setConfigServiceMode(unsigned node, const std::string &mode);
    void setConfigServiceMode(const std::string &mode);

    /// Changes the settings of the upstream `name`, or of "all".
    void configureUpstream(const std::string &name, const std::string &settings);

    /// Applies a fault to the path from node `from` to node `to`, see standins/relay; needs FleetOptions::relayPeers.
    void setPathFault(unsigned from, unsigned to, const std::string &fault);

    /// @return `/status` of the node, or null when it does not reply
    nlohmann::json status(unsigned node) const;

    /// @return revision in force at the node, 0 when it does not reply
    std::uint64_t revision(unsigned node) const;

    /// @return GET /runs of the upstreams
    nlohmann::json runs() const;

    const FleetOptions &options() const
    {
        return this->settings;
    }

    /// Number of the VM in an idempotency key "gk1.vm-N.…" or an upstream name "lookups-N".
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
    unsigned firstOctet;
    TemporaryFolder folder;
    std::unique_ptr<StandInProcess> configProcess;
    std::unique_ptr<StandInProcess> upstreamProcess;
    std::unique_ptr<StandInProcess> relayProcess;
    std::vector<std::unique_ptr<ChildProcess>> nodes;
    std::vector<std::string> vmStates;
    std::map<std::string, std::string> sections;
    std::map<std::string, std::string> publishedDigests;
    std::map<std::uint64_t, std::string> manifests;
    std::uint64_t lastRevision = 0;
};

} // namespace Galenarack
