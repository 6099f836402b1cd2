#include <galenarack/config/startrule.h>

#include <algorithm>

namespace Galenarack {

std::string_view startDecisionText(StartDecision decision)
{
    switch (decision) {
    case StartDecision::Serve:
        return "may serve";
    case StartDecision::WaitForService:
        return "waits for a reply from the configuration service";
    case StartDecision::WaitForFailureDomain:
        return "waits for replies from the peers of a failure domain";
    case StartDecision::WaitForPeer:
        return "waits for a reply from a peer";
    case StartDecision::WaitForDocument:
        return "has no document in force";
    case StartDecision::WaitForRevision:
        return "waits for a higher revision that is known to exist";
    }
    return {};
}

void StartRule::serviceReplied(bool replied)
{
    this->service = replied ? Reply::Replied : Reply::Failed;
}

void StartRule::setOtherLiveVms(std::size_t otherLiveVms)
{
    this->isVmListKnown = true;
    this->otherLiveVms = otherLiveVms;
}

void StartRule::peerQueried(std::string_view peer, std::string_view failureDomain)
{
    this->peers.try_emplace(std::string(peer), Peer{std::string(failureDomain), Reply::Waiting});
}

void StartRule::peerReplied(std::string_view peer)
{
    this->peers[std::string(peer)].reply = Reply::Replied;
}

void StartRule::peerFailed(std::string_view peer)
{
    this->peers[std::string(peer)].reply = Reply::Failed;
}

bool StartRule::hasPeerReply() const
{
    return std::ranges::any_of(this->peers, [](const auto &entry) {
        return entry.second.reply == Reply::Replied;
    });
}

bool StartRule::areFailureDomainsSettled() const
{
    // A failure domain is settled when one of its peers has replied or the queries to all of them have failed.
    std::map<std::string_view, bool> hasReplied;
    std::map<std::string_view, bool> hasPending;
    for (const auto &[name, peer] : this->peers) {
        hasReplied[peer.failureDomain] |= peer.reply == Reply::Replied;
        hasPending[peer.failureDomain] |= peer.reply == Reply::Waiting;
    }
    return std::ranges::all_of(hasPending, [&hasReplied](const auto &entry) {
        return !entry.second || hasReplied[entry.first];
    });
}

StartDecision StartRule::decide(const RevisionGate &gate, TimePoint now) const
{
    if (this->service == Reply::Waiting) {
        return StartDecision::WaitForService;
    }
    if (!this->areFailureDomainsSettled()) {
        return StartDecision::WaitForFailureDomain;
    }
    const bool isOnlyLiveVm = this->service == Reply::Replied && this->isVmListKnown && this->otherLiveVms == 0;
    if (!isOnlyLiveVm && !this->hasPeerReply()) {
        return StartDecision::WaitForPeer;
    }
    if (gate.document() == nullptr) {
        return StartDecision::WaitForDocument;
    }
    return gate.revision() < gate.highestKnownRevision(now) ? StartDecision::WaitForRevision : StartDecision::Serve;
}

} // namespace Galenarack
