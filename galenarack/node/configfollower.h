#pragma once

#include <galenarack/config/configreader.h>
#include <galenarack/config/revisiongate.h>
#include <galenarack/config/sectioncache.h>
#include <galenarack/config/startrule.h>
#include <galenarack/config/vmlistreader.h>
#include <galenarack/core/log.h>
#include <galenarack/core/nodeidentity.h>
#include <galenarack/operators/audittrail.h>
#include <galenarack/operators/nodestatus.h>
#include <galenarack/peer/peerclient.h>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Galenarack {

/// Keeps the newest revision in force on this node: follows the configuration service and, when that is away or behind,
/// the peers. Also decides when a starting node may serve.
class ConfigFollower
{
public:
    /// What the follower tells the node.
    struct Callbacks
    {
        std::function<void(std::shared_ptr<const Document>)> documentAccepted;
        std::function<void(std::vector<VmEntry>)> vmListReceived;
    };

    /// @param service address and times of the configuration service
    /// @param seed of the random source for jitter
    ConfigFollower(const boost::asio::any_io_executor &executor,
                   NodeIdentity identity,
                   const ServiceSettings &service,
                   PeerClient &peers,
                   AuditTrail &audit,
                   Callbacks callbacks,
                   std::uint64_t seed);

    /// Starts to watch the service.
    void start();

    /// Ends the watches soon.
    void stop();

    /// Takes the VMs besides this one that could hold a document.
    void setVms(std::span<const VmEntry> vms);

    /// A peer stated its revision; a newer one is fetched from it.
    void recordPeerRevision(const std::string &vm, std::uint64_t revision);

    /// Asks peers that were not asked yet while the node may not serve. Call it on each tick.
    void tick(TimePoint now);

    /// @return the document in force, or null
    std::shared_ptr<const Document> document() const
    {
        return this->gate.document();
    }

    /// @return whether the node may serve, or what it waits for
    StartDecision startDecision(TimePoint now) const;

    /// @return the highest revision heard of
    std::uint64_t highestHeard(TimePoint now) const
    {
        return this->gate.highestHeard(now);
    }

    /// @return sections whose latest content is not in force, with the first error of each
    const std::vector<HeldBackSection> &heldBack() const
    {
        return this->heldBackSections;
    }

    /// @return time of the last reply of the service, if any
    std::optional<TimePoint> lastServiceReply() const
    {
        return this->serviceReplyAt;
    }

    /// Answers a peer that fetches the manifest or a section in force.
    PeerResponse answerPeer(std::string_view path) const;

private:
    void applyManifest(std::string_view source, std::string_view manifestJson);
    void reportResult(std::string_view source, const GateResult &result);
    boost::asio::awaitable<void> queryPeer(std::string vm);
    boost::asio::awaitable<void> fetchFromPeer(std::string vm);
    boost::asio::awaitable<absl::StatusOr<std::string>> fetchValue(std::string vm, std::string path);

    boost::asio::any_io_executor executor;
    NodeIdentity identity;
    PeerClient &peers;
    AuditTrail &audit;
    Callbacks callbacks;
    SectionCache cache;
    RevisionGate gate;
    StartRule startRule;
    std::shared_ptr<ConfigReader> reader;
    std::shared_ptr<VmListReader> vmListReader;
    std::map<std::string, std::string> failureDomainOfVm; ///< Other VMs that could hold a document.
    std::map<std::string, TimePoint> lastQueryAt; ///< Start of the last query of a peer at start.
    std::set<std::string> fetching; ///< Peers from which a manifest is being fetched.
    std::vector<HeldBackSection> heldBackSections;
    std::optional<TimePoint> serviceReplyAt;
    bool isServing = false; ///< Once a node serves it goes on, whatever it hears later.
    Log log;
};

} // namespace Galenarack
