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

/// Whether a node takes part in the fleet.
enum class MemberState : std::uint8_t {
    Unknown, ///< Listed, but no evidence of a running node yet.
    Live,
    Leaving, ///< Runs, takes no new work.
    Gone, ///< Suspected without refutation, or declared gone by another node.
};

/// @return "unknown", "live", "leaving" or "gone"
std::string_view memberStateName(MemberState state);

/// One VM of the lagging VM list.
struct ListedVm
{
    std::string name;
    std::string address;
    std::string failureDomain;
    bool leaving = false;
};

/// One VM and what is known about its node.
struct MemberRow
{
    std::string name;
    std::string address;
    std::string failureDomain;
    MemberState state = MemberState::Unknown;
    Incarnation incarnation; ///< Zero until the node was heard of.
    std::uint32_t counter = 0; ///< Highest gossip counter heard for the name.
    std::uint64_t revision = 0; ///< Highest document revision heard for the incarnation.
    std::vector<UpstreamMark> marks; ///< Its upstreams that are ejected or leaving.
    std::optional<TimePoint> lastReceived; ///< Last message or frame from the node itself.
    std::optional<TimePoint> suspectedSince; ///< Set while suspected.
    std::optional<TimePoint> goneSince; ///< Set while gone.
    bool listed = false; ///< In the latest VM list.
    bool listLeaving = false; ///< Leaving in the latest VM list that names it.
    bool gossipLeaving = false; ///< Marked leaving by gossip, for this incarnation.
};

/// A change of a member's state, for the audit trail.
struct MemberChange
{
    std::string name;
    MemberState before = MemberState::Unknown;
    MemberState after = MemberState::Unknown;
    std::string evidence; ///< What caused it, e.g. "vm list", "gossip", "suspicion not refuted".
};

/// Result of merging one update.
struct MergeResult
{
    bool hasUpdate = false; ///< The table changed in a way that is worth passing on.
    bool stale = false; ///< The update is older than the table; the sender should be told.
};

/// One row per VM, merged from the VM list, gossip and connections.
///
/// Rules of precedence:
/// 1. A higher counter for a name replaces state, incarnation, address and marks. Only the node itself raises its
///    counter, and a restarted node raises it above what it hears about its earlier incarnation.
/// 2. At an equal counter, gone goes before suspect and suspect before live. At an equal counter and another
///    incarnation, the row keeps the incarnation that was heard from the node itself, otherwise the larger one.
/// 3. Leaving is never withdrawn for an incarnation, whatever the counter, and goes before live. A leaving mark of the
///    VM list counts until a list names the VM as live again. Gone goes before leaving.
/// 4. The VM list adds rows, addresses of nodes never heard and leaving marks. It never makes a node live or gone,
///    because it lags. A VM that is missing from the list stays while gossip has it as live.
/// 5. A message or frame from the node itself turns gone into suspected, and a suspected node that was heard is not
///    declared gone by this node. Gossip that declares a node gone which was heard within recentMessageWindow counts as
///    suspicion. The suspicion stays until the node raises its counter, because other nodes may hold it as well.
/// 6. A lost or silent connection is evidence about the path and changes nothing here.
/// 7. The revision of an incarnation only grows.
/// 8. Rows that are gone and not listed are removed after goneRetention. An update that declares an unknown name gone
///    adds no row, so that removed rows don't return.
class MemberTable
{
public:
    /// @param self the node of this process; its row is always live or leaving
    explicit MemberTable(const MemberUpdate &self);

    /// Merges a VM list. An empty list is ignored: a fleet without VMs has no node to read it.
    void applyVmList(std::span<const ListedVm> list, TimePoint now);

    /// Merges a gossip update about another node.
    /// @param firstHand the update comes from the node it is about
    MergeResult applyUpdate(const MemberUpdate &update, bool firstHand, TimePoint now);

    /// Notes a frame (hello, heartbeat, response) from a node on a connection.
    /// @return whether the row changed in a way that is worth passing on
    bool recordConnectionFrame(std::string_view name, Incarnation incarnation, std::uint64_t revision, TimePoint now);

    /// Starts a suspicion of a node that is live or leaving.
    /// @return false when it is already suspected, gone or unknown
    bool suspect(std::string_view name, TimePoint now);

    /// Declares nodes gone whose suspicion is older than `limit`, except those heard since it began: their suspicion
    /// starts anew.
    /// @return names of the nodes declared gone
    std::vector<std::string> expireSuspicions(Duration limit, TimePoint now);

    /// Restarts the timers of all suspicions.
    void restartSuspicions(TimePoint now);

    /// Replaces the row of this node.
    void setSelf(const MemberUpdate &update);

    /// Removes rows that are gone and not listed for longer than goneRetention.
    void removeExpired(TimePoint now);

    /// @return the row, or null; valid until the next call that changes the table
    const MemberRow *find(std::string_view name) const;

    /// @return all rows by name, this node included
    const std::map<std::string, MemberRow, std::less<>> &all() const
    {
        return this->rows;
    }

    /// @return the name of this node
    const std::string &selfName() const
    {
        return this->ownName;
    }

    /// @return the highest revision heard of any member that is not gone
    std::uint64_t highestRevision() const;

    /// @return state changes since the last call, oldest first; at most maxChanges are kept
    std::vector<MemberChange> popChanges();

    /// @return the row in the form that gossip sends
    static MemberUpdate toUpdate(const MemberRow &row);

    /// A node is declared gone at the earliest several seconds after it was last heard by the declaring node, so one
    /// heard within this time is alive.
    static constexpr Duration recentMessageWindow = std::chrono::seconds(2);
    static constexpr Duration goneRetention = std::chrono::minutes(10);
    static constexpr std::size_t maxChanges = 4096; ///< Bound of the list kept for popChanges().
    static constexpr std::size_t maxRows = 4096; ///< Bound against forged names; six times the target of 660 nodes.

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
