#pragma once

#include <galenarack/config/revisiongate.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Galenarack {

/// Whether a starting node may serve, or the reason why it has to wait.
enum class StartDecision : std::uint8_t {
    Serve,
    WaitForService, ///< The query to the service has neither been answered nor failed yet.
    WaitForFailureDomain, ///< In some failure domain no peer has replied and not all queries have failed.
    WaitForPeer, ///< No peer has replied, and the node is not known to be the only live one.
    WaitForDocument, ///< No document is in force.
    WaitForRevision, ///< A higher revision than the one in force is known.
};

/// @return a short description for the operators' port
std::string_view startDecisionText(StartDecision decision);

/// Decides when a starting node may serve, from the results of its queries to the service and to peers in every failure domain.
/// The reply of a peer that is starting itself counts too, so that a whole fleet can start at once.
class StartRule
{
public:
    /// Records whether the service replied, with or without a manifest, or the query failed. A later result replaces an earlier one.
    void serviceReplied(bool replied);

    /// Records that the VM list is known.
    /// @param otherLiveVms number of live VMs in the list besides the VM of this node
    void setOtherLiveVms(std::size_t otherLiveVms);

    /// Records that a query to a peer has started.
    void peerQueried(std::string_view peer, std::string_view failureDomain);

    /// Record that the peer replied, or that the query failed or timed out. A later result replaces an earlier one. Before a reply is
    /// recorded, RevisionGate::recordPeerRevision() must be called with the peer's revision, so that the node waits for it.
    void peerReplied(std::string_view peer);
    void peerFailed(std::string_view peer);

    /// @return Serve, or the first reason to wait
    StartDecision decide(const RevisionGate &gate, TimePoint now) const;

private:
    enum class Reply : std::uint8_t {
        Waiting,
        Replied,
        Failed,
    };
    struct Peer
    {
        std::string failureDomain;
        Reply reply = Reply::Waiting;
    };

    bool hasPeerReply() const;
    bool areFailureDomainsSettled() const;

    Reply service = Reply::Waiting;
    bool isVmListKnown = false;
    std::size_t otherLiveVms = 0;
    std::map<std::string, Peer, std::less<>> peers;
};

} // namespace Galenarack
