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

/// Times and counts of GossipSystem; the defaults are those of design.md section 4.7.
struct GossipSettings
{
    Duration probePeriod = std::chrono::seconds(1);
    Duration directTimeout = std::chrono::milliseconds(300); ///< After it, third nodes are asked to probe.
    Duration pauseLimit = std::chrono::seconds(2); ///< A longer gap between ticks is a pause of this process.
    Duration suspicionBase = std::chrono::seconds(3); ///< Suspicion time of a fleet of one.
    Duration suspicionPerDoubling = std::chrono::seconds(1); ///< Added per doubling of the fleet, as spreading takes log2 n rounds.
    unsigned indirectProbes = 3; ///< Third nodes asked when a probe fails.
    unsigned announcements = 4; ///< Nodes told at once when this node's marks or leaving change, at most once a period.
    unsigned maxUpdates = 6; ///< Updates in a message, besides the sender's own row.
    /// Between two requests of a table transfer. Two replies a second of 1,200 bytes keep a start under 4 KB/s received.
    Duration syncPeriod = std::chrono::milliseconds(500);
    unsigned syncPasses = 12; ///< Transfers after a start or pause while some members are unknown.
    unsigned fillUpdates = 2; ///< Updates in a message when there is no news; repairs what was missed.
};

/// A datagram to send.
struct GossipDelivery
{
    std::string address; ///< IP address of the receiver.
    GossipMessage message;
};

/// SWIM-style membership (Das, Gupta, Motivala, 2002) with refutable suspicion. Pure: time and randomness are arguments.
///
/// Each probe period a node probes one other node, in a random order that covers all before one repeats. Without an
/// acknowledgement it asks third nodes to probe, and only then suspects. A suspicion that is not refuted within
/// suspicionTime() makes the node gone. A second probe each period goes to a node that this node suspects, or every
/// fourth period to one that is gone or was never reached, so that both sides of a healed partition find each other.
/// A node that starts or resumes also reads the whole table of others, one request a syncPeriod. Messages a second are
/// bounded whatever the fleet size.
class GossipSystem
{
public:
    /// @param table outlives the system; its self row must describe `self`
    /// @param random source for targets and phases
    GossipSystem(MemberTable &table, std::string fleet, MemberUpdate self, GossipSettings settings, std::mt19937_64 random);

    /// Sends due probes and ends overdue ones. Call every 100 ms or so.
    std::vector<GossipDelivery> tick(TimePoint now);

    /// Merges one decoded message and answers it.
    std::vector<GossipDelivery> receive(const GossipMessage &message, TimePoint now);

    /// Merges a VM list; a node that it newly marks as leaving is told directly.
    std::vector<GossipDelivery> applyVmList(std::span<const ListedVm> list, TimePoint now);

    /// Notes a frame from a node on a connection (MemberTable::recordConnectionFrame).
    void recordConnectionFrame(std::string_view name, Incarnation incarnation, std::uint64_t revision, TimePoint now);

    /// Revision in force at this node.
    void setRevision(std::uint64_t revision);

    /// Upstreams of this node that are ejected or leaving.
    void setMarks(std::vector<UpstreamMark> marks);

    /// This node leaves; the mark holds for its incarnation.
    void setLeaving();

    /// @return whether this node leaves, by setLeaving() or because another node said so
    bool isLeaving() const
    {
        return this->self.leaving;
    }

    /// @return whether the node declares no other gone, because it has not received an acknowledgement since a pause
    bool isResuming() const
    {
        return this->resumedAt.has_value();
    }

    /// @return whether a full pass over the members of another node was received since the start or the last pause
    bool isSynchronised() const
    {
        return !this->sync.active;
    }

    /// @return how long a suspicion waits for its refutation
    Duration suspicionTime() const;

    /// @return this node as it describes itself
    const MemberUpdate &selfUpdate() const
    {
        return this->self;
    }

private:
    /// A probe that waits for its acknowledgement.
    struct PendingProbe
    {
        std::string target;
        TimePoint sentAt;
        bool indirect = false; ///< Third nodes were asked.
    };

    /// A probe made for another node.
    struct Relay
    {
        std::string origin; ///< Address of the node that asked.
        std::uint32_t originSequence = 0;
        std::string target;
        TimePoint expiry;
    };

    /// Transfer of another node's whole table.
    struct Sync
    {
        bool active = true;
        std::string after; ///< Last name received.
        std::uint32_t sequence = 0; ///< Sequence of the request in flight.
        TimePoint nextRequest;
        unsigned attempts = 0; ///< Requests without an answer since the last one.
        unsigned passes = 0; ///< Whole passes received.
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
    bool announcementPending = false; ///< This node's marks or leaving changed since the last announcement.
    std::uint64_t period = 0; ///< Probe periods since the start.
    std::uint32_t sequence = 0;
    std::map<std::uint32_t, PendingProbe> pending;
    std::map<std::uint32_t, Relay> relays;
    std::vector<std::string> probeOrder; ///< Names still to probe in this pass.
    std::map<std::string, unsigned, std::less<>> pendingUpdates; ///< Name and how often its row is still sent.
    std::set<std::string, std::less<>> ownSuspicions; ///< Suspected because a probe of this node failed.
    std::set<std::string, std::less<>> unreached; ///< Never heard, and a probe failed; probed rarely.
    std::string fillAfter; ///< Name of the last row sent as fill.
    Sync sync;
};

} // namespace Galenarack
