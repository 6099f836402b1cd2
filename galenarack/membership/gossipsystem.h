#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/membership/gossipmessage.h>
#include <galenarack/membership/membertable.h>

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// Time limits and counts of GossipSystem.
struct GossipSettings
{
    Duration probePeriod = std::chrono::seconds(1); ///< Time between two probe rounds, and the time limit of a probe.
    Duration directTimeout = std::chrono::milliseconds(300); ///< Time without an acknowledgement after which intermediaries probe.
    Duration pauseLimit = std::chrono::seconds(2); ///< Gap between two ticks above which this process counts as having been paused.
    Duration suspicionBase = std::chrono::seconds(3); ///< Suspicion time of a fleet of one node.
    Duration suspicionPerDoubling = std::chrono::seconds(1); ///< Added for each doubling of the fleet, as spreading takes log2 n rounds.
    unsigned indirectProbes = 3; ///< Number of intermediaries asked to probe when a direct probe is not acknowledged.
    /// Number of nodes probed at once when the marks, the leaving mark or the counter of this node change, at most once a period.
    unsigned announcements = 4;
    unsigned maxUpdates = 6; ///< Maximum number of updates in a message, besides the state of the sender.
    /// Time between two requests of a table transfer. Two replies of 1,200 bytes a second keep the traffic received at a start
    /// below 4 KB/s.
    Duration syncPeriod = std::chrono::milliseconds(500);
    unsigned syncPasses = 12; ///< Maximum number of table transfers after a start or pause, while some members are unknown.
    unsigned fillUpdates = 2; ///< Maximum number of further rows in a message, sent in turn to repair missed updates.
};

/// Gossip message to send, with its receiver.
struct GossipDelivery
{
    std::string address; ///< IP address of the receiver.
    GossipMessage message;
};

/// Membership protocol in the style of SWIM (Das, Gupta, Motivala, 2002) with refutable suspicion. It performs no I/O: time is
/// an argument, and the random generator is passed to the constructor.
///
/// In each probe period a node probes one other node, in a random order that covers all nodes before one is repeated. Without
/// an acknowledgement it asks intermediaries to probe the node, and suspects the node only when these fail too. A node whose
/// suspicion is not refuted within suspicionTime() is declared gone. A second probe in each period goes to a node that this
/// node suspects, or in every fourth period to one that is gone or was never reached, so that both sides of a healed partition
/// find each other. A node that starts or resumes also requests the whole tables of other nodes, one request per syncPeriod.
/// The number of messages per second is bounded whatever the size of the fleet.
class GossipSystem
{
public:
    /// @param table must outlive the system; its row of this node must describe `self`
    /// @param random random generator for probe targets, phase and sequence numbers
    GossipSystem(MemberTable &table, std::string fleet, MemberUpdate self, GossipSettings settings, std::mt19937_64 random);

    /// Starts due probes and ends overdue probes and suspicions. Call it about every 100 ms.
    /// @return the messages to send
    std::vector<GossipDelivery> tick(TimePoint now);

    /// Merges a decoded message.
    /// @return the messages to send in reply
    std::vector<GossipDelivery> receive(const GossipMessage &message, TimePoint now);

    /// Merges a VM list. A node that it newly marks as leaving is notified directly.
    /// @return the messages to send
    std::vector<GossipDelivery> applyVmList(std::span<const ListedVm> list, TimePoint now);

    /// Records a frame received from a node on a connection (MemberTable::recordConnectionFrame()).
    void recordConnectionFrame(std::string_view name, Incarnation incarnation, std::uint64_t revision, TimePoint now);

    /// Sets the document revision in force at this node.
    void setRevision(std::uint64_t revision);

    /// Sets the marks of the upstreams of this node that are ejected or leaving.
    void setMarks(std::vector<UpstreamMark> marks);

    /// Marks this node as leaving, for the rest of its incarnation.
    void setLeaving();

    /// @return whether this node is marked as leaving, by setLeaving() or by an update from another node
    bool isLeaving() const
    {
        return this->self.leaving;
    }

    /// @return whether this node declares no other node gone, because none of its probes was acknowledged since a pause
    bool isResuming() const
    {
        return this->resumedAt.has_value();
    }

    /// @return whether the table transfers after the start or the last pause are complete
    bool isSynchronised() const
    {
        return !this->sync.active;
    }

    /// @return time within which a suspicion must be refuted, depending on the size of the fleet
    Duration suspicionTime() const;

    /// @return the state of this node, as it sends it
    const MemberUpdate &selfUpdate() const
    {
        return this->self;
    }

private:
    /// Probe that waits for its acknowledgement.
    struct PendingProbe
    {
        std::string target;
        TimePoint sentAt;
        bool indirect = false; ///< Whether intermediaries were asked to probe.
    };

    /// Probe made for another node.
    struct Relay
    {
        std::string origin; ///< Address of the requesting node.
        std::uint32_t originSequence = 0;
        std::string target;
        TimePoint expiry;
    };

    /// Transfer of the whole table of another node.
    struct Sync
    {
        bool active = true;
        std::string after; ///< Last name received in this pass.
        std::uint32_t sequence = 0; ///< Sequence number of the request in flight.
        TimePoint nextRequest;
        unsigned attempts = 0; ///< Number of requests since the last answer.
        unsigned passes = 0; ///< Number of complete passes received.
    };

    void detectPause(TimePoint now);
    void expirePendingProbes(TimePoint now, std::vector<GossipDelivery> &out);
    void expireSuspicions(TimePoint now);
    void endResumption(TimePoint now);
    void startProbes(TimePoint now, std::vector<GossipDelivery> &out);
    void announce(TimePoint now, std::vector<GossipDelivery> &out);
    void requestSync(TimePoint now, std::vector<GossipDelivery> &out);
    void sendProbe(const MemberRow &target, TimePoint now, std::vector<GossipDelivery> &out);
    void sendIndirect(std::uint32_t sequence, const PendingProbe &probe, std::vector<GossipDelivery> &out);

    void answerProbe(const GossipMessage &message, bool isStale, std::vector<GossipDelivery> &out);
    void answerIndirectProbe(const GossipMessage &message, TimePoint now, std::vector<GossipDelivery> &out);
    void handleAcknowledgement(const GossipMessage &message, TimePoint now, std::vector<GossipDelivery> &out);

    bool merge(const MemberUpdate &update, bool firstHand, TimePoint now);
    void refute(const MemberUpdate &update);
    void updateSelfRow();
    void enqueue(const std::string &name);

    GossipMessage makeMessage(GossipKind kind, std::uint32_t sequence) const;
    GossipDelivery makeDelivery(GossipMessage message, const std::string &address);
    bool append(GossipMessage &message, const MemberRow &row, std::size_t &bytes) const;
    void appendReceiverStatus(GossipMessage &message, const MemberRow &receiver) const;
    void appendPendingUpdates(GossipMessage &message, std::size_t &bytes);
    void appendFill(GossipMessage &message, std::size_t &bytes);
    void appendSync(GossipMessage &message, const std::string &after) const;

    const MemberRow *nextProbeTarget();
    const MemberRow *nextRecoveryTarget();
    std::vector<const MemberRow *> pickRandom(std::vector<const MemberRow *> rows, std::size_t count);
    std::vector<const MemberRow *> reachableRows() const;
    const MemberRow *pickRow(const std::vector<const MemberRow *> &rows);
    bool isProbeCandidate(const MemberRow &row) const;
    std::uint32_t nextSequence();
    std::size_t presentMemberCount() const;

    MemberTable &table;
    std::string fleet;
    MemberUpdate self;
    GossipSettings settings;
    std::mt19937_64 random;

    std::optional<TimePoint> lastTick;
    std::optional<TimePoint> resumedAt;
    TimePoint nextProbe;
    TimePoint nextAnnouncement;
    bool announcementPending = false; ///< A change of marks, leaving mark or counter is not yet announced.
    std::uint64_t period = 0; ///< Number of probe periods since the start.
    std::uint32_t sequence = 0;
    std::map<std::uint32_t, PendingProbe> pending;
    std::map<std::uint32_t, Relay> relays;
    std::vector<std::string> probeOrder; ///< Names still to be probed in this pass, in reverse order.
    std::map<std::string, unsigned, std::less<>> pendingUpdates; ///< Changed rows by name, with the number of sends left.
    std::set<std::string, std::less<>> ownSuspicions; ///< Nodes suspected because a probe by this node failed.
    std::set<std::string, std::less<>> unreached; ///< Nodes without any message so far whose probe failed; probed rarely.
    std::string fillAfter; ///< Name of the last row sent by appendFill().
    Sync sync;
};

} // namespace Galenarack
