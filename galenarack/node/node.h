#pragma once

#include <galenarack/core/log.h>
#include <galenarack/home/homenode.h>
#include <galenarack/ingress/ingressserver.h>
#include <galenarack/ingress/requestforwarder.h>
#include <galenarack/ingress/upstreamdirectory.h>
#include <galenarack/membership/gossipsystem.h>
#include <galenarack/membership/gossiptransport.h>
#include <galenarack/membership/membertable.h>
#include <galenarack/node/configfollower.h>
#include <galenarack/node/settings.h>
#include <galenarack/operators/audittrail.h>
#include <galenarack/operators/metrics.h>
#include <galenarack/operators/operatorserver.h>
#include <galenarack/peer/peerclient.h>
#include <galenarack/peer/peerserver.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <random>

namespace Galenarack {

/// Node of a fleet that is configured by the configuration service. Owns all components of the node, connects them and runs
/// their ticks.
class Node
{
public:
    Node(boost::asio::io_context &context, const Settings &settings, std::mt19937_64 random);

    /// Binds all ports and starts the node.
    /// @return SettingInvalid when an address cannot be bound
    absl::Status start();

    /// Leaves the fleet: accepts no new work, lets work in progress end, then stops the event loop.
    /// @param signal what requested it, for the audit trail
    void drain(std::string_view signal);

private:
    /// Steps of the drain, in order.
    enum class DrainStep : std::uint8_t {
        Serving,
        Announcing, ///< The node reports itself as not ready and notifies its peers; callers are still served.
        Finishing, ///< New connections are not accepted; work in progress ends.
    };

    boost::asio::awaitable<void> tickLoop();
    void tick(TimePoint now);
    void tickDrain(TimePoint now);
    void tickSlow(TimePoint now);
    boost::asio::awaitable<PeerResponse> answerPeer(std::shared_ptr<PeerCall> call);
    void applyReport(const NodeReport &report);
    void applyDocument(const std::shared_ptr<const Document> &document);
    void applyVmList(const std::vector<VmEntry> &vms);
    void processMembershipChanges(TimePoint now);
    void applySeeds();
    NodeReport ownReport(bool withUpstreams) const;
    std::shared_ptr<const Document> servingDocument() const;
    Readiness readiness() const;
    OperatorSources operatorSources();
    OperatorReply outcomeReply(RequestId id) const;
    NodeStatus status() const;
    std::vector<UpstreamStatus> upstreamStatus() const;
    bool isIdle() const;

    boost::asio::io_context &context;
    Settings settings;
    std::mt19937_64 random;
    NodeIdentity identity;
    AuditTrail audit;
    Metrics metrics;
    PathTable paths;
    PeerClient peers;
    HomeNode home;
    UpstreamDirectory directory;
    RequestForwarder forwarder;
    IngressServer ingress;
    PeerServer peerServer;
    ConfigFollower config;
    MemberTable members;
    GossipSystem gossip;
    std::unique_ptr<GossipTransport> gossipTransport;
    std::unique_ptr<OperatorServer> operatorServer;
    boost::asio::steady_timer timer;
    TimePoint lastSlowTick; ///< Time of the last call of tickSlow().
    DrainStep drainStep = DrainStep::Serving;
    TimePoint drainStarted;
    TimePoint startedAt;
    Log log;
};

} // namespace Galenarack
