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

/// Keeps the newest known revision in force on this node. Follows the configuration service, and fetches from a peer any
/// revision that is newer than the one in force, so that a service that does not respond or is outdated does not hold the
/// node back. Also decides when a starting node may serve.
class ConfigFollower
{
public:
    /// Events that the follower reports to the node.
    struct Callbacks
    {
        std::function<void(std::shared_ptr<const Document>)> documentAccepted; ///< A revision was put in force.
        std::function<void(std::vector<VmEntry>)> vmListReceived; ///< A valid VM list arrived.
    };

    /// @param service address and timing of the configuration service
    /// @param seed seed of the random source for jitter
    ConfigFollower(const boost::asio::any_io_executor &executor,
                   NodeIdentity identity,
                   const ServiceSettings &service,
                   PeerClient &peers,
                   AuditTrail &audit,
                   Callbacks callbacks,
                   std::uint64_t seed);

    /// Starts watching the configuration service.
    void start();

    /// Requests the end of the watches; they may end after the call returns.
    void stop();

    /// Sets the VMs whose nodes may hold a document; the VM of this node is ignored.
    void setVms(std::span<const VmEntry> vms);

    /// Records the revision that a peer has in force, and fetches it from the peer when it is newer than the one in force here.
    void recordPeerRevision(const std::string &vm, std::uint64_t revision);

    /// Queries the peers that are due while the node may not serve yet. Call it on each tick.
    void tick(TimePoint now);

    /// @return the document in force, or null
    std::shared_ptr<const Document> document() const
    {
        return this->gate.document();
    }

    /// @return Serve, or what the node waits for
    StartDecision startDecision(TimePoint now) const;

    /// @return the highest revision that this node knows of, see RevisionGate::highestKnownRevision()
    std::uint64_t highestKnownRevision(TimePoint now) const
    {
        return this->gate.highestKnownRevision(now);
    }

    /// @return sections whose latest content is not in force, with the first error of each
    const std::vector<HeldBackSection> &heldBack() const
    {
        return this->heldBackSections;
    }

    /// @return time of the last reply of the configuration service; nothing before the first reply
    std::optional<TimePoint> lastServiceReply() const
    {
        return this->serviceReplyAt;
    }

    /// @return the manifest in force or a cached section value, as a peer requests by `path`; 404 for any other path
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
    std::map<std::string, std::string> failureDomainOfVm; ///< Failure domain of each other VM whose node may hold a document.
    std::map<std::string, TimePoint> lastQueryAt; ///< Start time of the last query to each peer, while this node starts.
    std::set<std::string> fetching; ///< Peers from which a manifest is being fetched.
    std::vector<HeldBackSection> heldBackSections;
    std::optional<TimePoint> serviceReplyAt;
    bool isServing = false; ///< Once true it stays true, whatever revisions the node learns of later.
    Log log;
};

} // namespace Galenarack
