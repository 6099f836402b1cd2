#pragma once

#include <galenarack/config/revisiongate.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Galenarack {

/// Whether a starting node may serve, and if not, what it waits for.
enum class StartDecision : std::uint8_t {
    Serve,
    WaitForService, ///< The service has neither replied nor failed yet.
    WaitForFailureDomain, ///< In some failure domain no peer has replied and not all have failed.
    WaitForPeer, ///< Needs the reply of a peer.
    WaitForDocument, ///< Nothing is in force.
    WaitForRevision, ///< A higher revision than the one in force was heard of.
};

/// @return a short text for the operators' port
std::string_view startDecisionText(StartDecision decision);

/// Decides when a node may begin to serve. It follows the queries that the node makes at start: to the service, and to peers
/// in every failure domain. A peer that is itself starting counts as a reply, so a whole fleet can start at once.
class StartRule
{
public:
    /// The service replied (also when it has no manifest), or the query failed. May change until the node serves.
    void serviceReplied(bool replied);

    /// The VM list is known.
    /// @param otherLiveVms number of live VMs in it besides this one
    void setOtherLiveVms(std::size_t otherLiveVms);

    /// A peer is being queried.
    void peerQueried(std::string_view peer, std::string_view failureDomain);

    /// The peer replied, or the query failed or timed out. A later reply replaces a failure. Tell the gate the peer's revision first
    /// (RevisionGate::hear()), so that the node waits for it.
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
