#pragma once

#include <galenarack/execution/attemptmachine.h>
#include <galenarack/execution/executionledger.h>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace ExecutionModel {

using namespace Galenarack;

constexpr std::size_t nodeCount = 4;

/// A protection that the simulation disables, to show that it finds a violation without it.
enum class DisabledProtection {
    None,
    Tombstone, ///< The home answers an outcome query with not run without recording a tombstone.
    HomeExpiry, ///< The home handles each request as if it had just been received.
    IncarnationCheck, ///< The home handles each request as if it were addressed to its current incarnation.
    KeyBinding, ///< Every home and incarnation accepts every key, and an ingress sends it to any home.
    UncertaintyRule, ///< The ingress handles non-repeatable work as repeatable.
    ReceiptOrder, ///< The home does not distinguish requests received before and after a refusal.
    ReceiptBeforePause, ///< After a pause, an ingress takes the time of resumption as the time of receipt.
    Fingerprint, ///< The home does not compare the content of requests with the same key.
};

/// One fault of a list. Each fault starts its gap, plus 10 ms, after the start of the previous one; the list repeats.
struct Fault
{
    enum Kind {
        CutOneWay,
        Isolate,
        Freeze,
        Restart,
        NewRevision,
    };

    Kind kind;
    std::size_t node;
    std::size_t other;
    int gapMs;
    int durationMs;
};

/// Generates a list of random faults.
/// @param maxGapMs limit of the gap between faults; with 300 several faults overlap, 20,000 leaves time to recover from each
std::vector<Fault> randomFaults(std::mt19937_64 &random, std::uint64_t maxGapMs);

struct Counts
{
    std::uint64_t steps = 0;
    std::uint64_t answered = 0;
    std::uint64_t reportedNotRun = 0;
    std::uint64_t uncertain = 0; ///< Requests whose outcome was queried.
    std::uint64_t resolved = 0; ///< Requests whose outcome was queried that were answered with a definite outcome.
    std::uint64_t stillRunning = 0; ///< Requests whose outcome stayed uncertain although a home reported them as running.
    std::uint64_t joinedOrRetained = 0;
    std::uint64_t ledgerFull = 0;

    Counts &operator+=(const Counts &other);
};

/// Simulates nodes that are both ingress and home, upstreams that count runs, callers, and the network, in virtual time.
class Simulation
{
public:
    Simulation(std::uint64_t seed, std::vector<Fault> faults, DisabledProtection disabled);

    /// Processes events until `steps` events are done or a property is violated.
    /// @return the description of the violation, or an empty text
    const std::string &run(std::uint64_t steps);

    Counts counts;

private:
    static constexpr std::size_t noNode = nodeCount;

    struct Reply
    {
        std::optional<ErrorKind> kind;
        std::string body;
    };
    using ReplyTo = std::function<void(const Reply &)>;

    /// Unit of work from the callers' point of view: one request, or all requests with one key.
    struct Work
    {
        unsigned runs = 0;
        int runOrdinal = 0; ///< Ordinal of the request that caused the run.
        int lastNotRunOrdinal = 0; ///< Highest ordinal of a request that was reported to the caller as not run.
    };
    struct CallerRequest
    {
        std::size_t caller = 0;
        std::uint64_t serial = 0; ///< Identifies the request among all requests of all callers.
        std::size_t work = 0;
        int ordinal = 0; ///< Position among the requests for this work, from 1.
        WorkKind kind = WorkKind::Repeatable;
        std::optional<IdempotencyKey> key;
        std::string body;
        Duration deadline{};
    };
    struct Execution
    {
        CallerRequest request;
        TimePoint expiry;
        std::vector<ReplyTo> waiting;
    };
    struct PeerView
    {
        Incarnation incarnation;
        TimePoint homeClock;
        TimePoint receivedAt;
    };
    struct Node
    {
        Incarnation incarnation;
        Duration clockOffset{};
        TimePoint frozenSince;
        TimePoint frozenUntil;
        std::unique_ptr<ExecutionLedger> ledger;
        absl::flat_hash_map<WorkId, Execution> running;
        absl::flat_hash_set<WorkId> seen; ///< Work received by this incarnation; for DisabledProtection::Tombstone.
        std::array<PeerView, nodeCount> peers;
        RetryBudget budget;
        std::uint64_t nextSequence = 1;
        std::size_t revision = 0;
    };
    /// A request that an ingress is working on.
    struct Task
    {
        std::size_t node;
        CallerRequest request;
        TimePoint received; ///< Time of receipt in the simulation's clock; before the pause if the ingress was frozen.
        AttemptMachine machine;
        std::size_t home = noNode;
        LedgerRequest sent;
        unsigned stream = 0; ///< Number of the current stream; replies on earlier streams are dropped.
        bool queried = false;
        bool foundRunning = false; ///< Whether a home reported the work as running in reply to a query.
    };
    using TaskPtr = std::shared_ptr<Task>;
    struct Event
    {
        TimePoint time;
        std::uint64_t order;
        std::size_t node;
        Incarnation incarnation; ///< The event is dropped unless the node has this incarnation; zero matches any.
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(this->time, this->order) > std::tie(other.time, other.order);
        }
    };

    std::uint64_t randomBelow(std::uint64_t count);
    bool withProbability(double share);
    Duration randomDuration(int minMs, int maxMs);
    void schedule(TimePoint time, std::size_t node, Incarnation incarnation, std::function<void()> action);
    void startTimer(std::size_t node, Duration delay, std::function<void()> action);
    void sendMessage(std::size_t from, std::size_t to, const std::function<void(bool isCopy)> &action, bool duplicate);

    void startNode(std::size_t node);
    void heartbeat(std::size_t node);
    void applyFault(std::size_t number);
    TimePoint clockOf(std::size_t node) const;
    TimePoint estimate(std::size_t node, std::size_t home, TimePoint localTime) const;

    void newWork(std::size_t caller);
    void send(CallerRequest request);
    void resend(CallerRequest request);
    void handleCallerTimeout(const CallerRequest &request);
    void replyToCaller(const CallerRequest &request, const Reply &reply);

    void startTask(std::size_t node, const CallerRequest &request, TimePoint received);
    void handleEvent(const TaskPtr &task, const AttemptEvent::Any &event, const Reply &reply = {});
    void perform(const TaskPtr &task, const AttemptAction::Send &action);
    void perform(const TaskPtr &task, const AttemptAction::QueryOutcome &action);
    void endTask(const TaskPtr &task, const Reply &reply);
    std::size_t selectHome(const Task &task);
    /// @return the function with which a home replies on the current stream of `task`, relayed by `via` unless it is noNode
    ReplyTo replyTo(const TaskPtr &task, std::size_t home, std::size_t via, bool isQuery);

    void receive(std::size_t home, const LedgerRequest &request, const CallerRequest &content, const ReplyTo &reply);
    void receiveRepeatable(std::size_t home, const LedgerRequest &request, const CallerRequest &content, const ReplyTo &reply);
    /// Handles an outcome query at its home.
    /// @return whether the work is running
    bool receiveQuery(std::size_t home, const LedgerRequest &request, const ReplyTo &reply);
    void dispatch(std::size_t home, const WorkId &work);
    void complete(std::size_t home, const WorkId &work);
    void endExecution(std::size_t home, const WorkId &work, const Reply &reply);
    void countRun(const CallerRequest &request);
    LedgerRequest withoutDisabledProtection(std::size_t home, LedgerRequest request) const;
    void check(bool holds, const char *property, const CallerRequest &request);

    std::mt19937_64 random;
    std::vector<Fault> faults;
    DisabledProtection disabled;
    LedgerLimits limits;
    TimePoint now = TimePoint(std::chrono::hours(1));
    std::uint64_t eventOrder = 0;
    std::priority_queue<Event> events;
    std::array<Node, nodeCount> nodes;
    std::array<std::array<TimePoint, nodeCount>, nodeCount> cutUntil{};
    std::size_t revision = 0;
    std::vector<Work> works;
    std::vector<std::uint64_t> waitingFor; ///< Serial of the request that each caller waits for; 0 for none.
    std::uint64_t nextSerial = 1;
    KeyGenerator keyGenerator;
    std::string violation;
};

} // namespace ExecutionModel
