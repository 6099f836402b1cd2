#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/membership/gossipmessage.h>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// Membership state of a node.
enum class MemberState : std::uint8_t {
    Unknown, ///< In the VM list, but without evidence of a running node yet.
    Live,
    Leaving, ///< Running, but accepts no new requests.
    Gone, ///< Not running or unreachable: a suspicion was not refuted, or another node declared it gone.
};

/// @return "unknown", "live", "leaving" or "gone"
std::string_view memberStateName(MemberState state);

/// Entry of the VM list, which lags behind the actual set of VMs.
struct ListedVm
{
    std::string name;
    std::string address;
    std::string failureDomain;
    bool leaving = false;
};

/// One VM and the status of its node.
struct MemberRow
{
    std::string name;
    std::string address;
    std::string failureDomain;
    MemberState state = MemberState::Unknown;
    Incarnation incarnation; ///< Zero until evidence of a running node was received.
    std::uint32_t counter = 0; ///< Highest gossip counter received for this name.
    std::uint64_t revision = 0; ///< Highest document revision received for this incarnation.
    std::vector<UpstreamMark> marks; ///< Upstreams of the node that are ejected or leaving.
    std::optional<TimePoint> lastReceived; ///< Time of the last gossip message or connection frame from the node itself.
    std::optional<TimePoint> suspectedSince; ///< Start of the current suspicion; set while the node is suspected.
    std::optional<TimePoint> goneSince; ///< Time at which the node was declared gone; set while it is gone.
    bool listed = false; ///< Whether the latest VM list names the VM.
    bool listLeaving = false; ///< Whether the latest VM list that names the VM marks it as leaving.
    bool gossipLeaving = false; ///< Whether gossip marks this incarnation as leaving.
};

/// Change of a member's state, for the audit trail.
struct MemberChange
{
    std::string name;
    MemberState before = MemberState::Unknown;
    MemberState after = MemberState::Unknown;
    std::string evidence; ///< Cause of the change, e.g. "vm list", "connection", "suspicion not refuted".
};

/// Result of merging one update.
struct MergeResult
{
    bool hasUpdate = false; ///< Whether the row changed in a way that other nodes should receive.
    bool stale = false; ///< Whether the update is older than the row, so that its sender should receive the row.
};

/// Table of the fleet's members with one row per VM, merged from the VM list, gossip and connections.
///
/// Rules of precedence:
/// 1. A higher counter for a name replaces state, incarnation, address and marks. Only the node itself raises its
///    counter, and a restarted node raises it above the value received for its earlier incarnation.
/// 2. At an equal counter, gone takes precedence over suspect and suspect over live. At an equal counter and another
///    incarnation, the row keeps the incarnation received from the node itself, otherwise the larger one.
/// 3. Leaving is never withdrawn for an incarnation, whatever the counter, and takes precedence over live. A leaving
///    mark of the VM list is in effect until a list names the VM without it. Gone takes precedence over leaving.
/// 4. The VM list adds rows and leaving marks, and sets the address of nodes without a known incarnation and of nodes that
///    are gone. It never makes a node live or gone, because it lags. A VM that is missing from the list stays in the table
///    while gossip reports it as live.
/// 5. A message or frame from the node itself turns gone into suspected, and this node does not declare a suspected node
///    gone from which it has received a message since. Gossip that declares a node gone is treated as a suspicion when a
///    message was received from the node within recentMessageWindow. The suspicion remains until the node raises its
///    counter, because other nodes may suspect it as well.
/// 6. A lost or unresponsive connection is evidence about the network path and does not affect this table.
/// 7. The revision of an incarnation never decreases.
/// 8. Rows of nodes that are gone and not in the VM list are removed after goneRetention. An update that declares an unknown
///    node gone adds no row, so that removed rows do not return.
class MemberTable
{
public:
    /// @param self state of the node of this process; its row is always live or leaving
    explicit MemberTable(const MemberUpdate &self);

    /// Merges a VM list. An empty list is ignored: a fleet without VMs has no node that could read it.
    void applyVmList(std::span<const ListedVm> list, TimePoint now);

    /// Merges a gossip update about another node.
    /// @param firstHand whether the update was received from the node that it describes
    MergeResult applyUpdate(const MemberUpdate &update, bool firstHand, TimePoint now);

    /// Records a frame (hello, heartbeat, response) received from a node on a connection.
    /// @return whether the row changed in a way that other nodes should receive
    bool recordConnectionFrame(std::string_view name, Incarnation incarnation, std::uint64_t revision, TimePoint now);

    /// Starts a suspicion of a node that is live or leaving.
    /// @return whether a suspicion was started; false when the node is already suspected, gone or unknown
    bool suspect(std::string_view name, TimePoint now);

    /// Declares nodes gone whose suspicion is at least as old as `limit`. When a message was received from the node since its
    /// suspicion began, the suspicion is restarted instead.
    /// @return names of the nodes declared gone
    std::vector<std::string> expireSuspicions(Duration limit, TimePoint now);

    /// Restarts the time limit of all suspicions.
    void restartSuspicions(TimePoint now);

    /// Replaces the row of this node.
    void setSelf(const MemberUpdate &update);

    /// Removes rows that are not in the VM list, when they are gone for longer than goneRetention or without an incarnation.
    void removeExpired(TimePoint now);

    /// @return the row, or null when there is none; valid until the next call that changes the table
    const MemberRow *find(std::string_view name) const;

    /// @return all rows by name, including this node
    const std::map<std::string, MemberRow, std::less<>> &all() const
    {
        return this->rows;
    }

    /// @return the name of this node
    const std::string &selfName() const
    {
        return this->ownName;
    }

    /// @return the highest document revision of all members that are not gone
    std::uint64_t highestRevision() const;

    /// Removes the recorded state changes; at most maxChanges are kept.
    /// @return the state changes since the last call, oldest first
    std::vector<MemberChange> popChanges();

    /// @return the row as a gossip update
    static MemberUpdate toUpdate(const MemberRow &row);

    /// Time after a message from a node during which it counts as running although gossip declares it gone. The declaring
    /// node has received nothing from it for at least several seconds, so the message is the newer evidence.
    static constexpr Duration recentMessageWindow = std::chrono::seconds(2);
    static constexpr Duration goneRetention = std::chrono::minutes(10); ///< Time before a row that is gone can be removed.
    static constexpr std::size_t maxChanges = 4096; ///< Maximum number of changes kept for popChanges().
    static constexpr std::size_t maxRows = 4096; ///< Limit against forged names: six times the target fleet size of 660.

private:
    MemberRow *findOrAdd(std::string_view name);
    MemberRow *findMutable(std::string_view name);
    void setState(MemberRow &row, std::string_view evidence);
    void recordReceived(MemberRow &row, TimePoint now);
    void replace(MemberRow &row, const MemberUpdate &update, TimePoint now);
    bool applyLiveness(MemberRow &row, const MemberUpdate &update, TimePoint now);
    static bool hasRecentMessage(const MemberRow &row, TimePoint now);
    static bool isGoneFor(const MemberRow &row, Duration time, TimePoint now);

    std::string ownName;
    std::map<std::string, MemberRow, std::less<>> rows;
    std::vector<MemberChange> changes;
};

} // namespace Galenarack
