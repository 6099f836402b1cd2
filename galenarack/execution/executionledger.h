#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/core/errorkind.h>
#include <galenarack/core/ids.h>
#include <galenarack/execution/expirywheel.h>
#include <galenarack/execution/idempotencykey.h>
#include <galenarack/execution/indexlists.h>
#include <galenarack/execution/tombstonefilter.h>
#include <galenarack/execution/workid.h>

#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Galenarack {

/// Digest of a request's content. All requests with the same key must have the same fingerprint.
struct RequestFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const RequestFingerprint &) const = default;

    /// Computes the fingerprint of a request.
    /// @param target path and query
    static RequestFingerprint of(std::string_view method, std::string_view target, std::string_view body);
};

/// A response that a home retains, to answer repeated requests and outcome queries.
struct RetainedResponse
{
    struct Header
    {
        std::string name;
        std::string value;
    };

    unsigned status = 0;
    std::vector<Header> headers;
    std::string body;

    /// @return memory held, in bytes
    std::size_t byteCount() const;
};

/// Size limits and retention times of an ExecutionLedger.
struct LedgerLimits
{
    std::size_t maxEntries = 60'000; ///< Maximum number of entries; new work beyond it is refused with LedgerFull.
    std::size_t maxResponseBytes = std::size_t(8) << 20; ///< Maximum size of all retained responses together, in bytes.
    Duration retryHorizon = std::chrono::seconds(300); ///< Age from which on a key is refused.
    Duration responseRetention = std::chrono::seconds(60); ///< Time after the end of the work for which its response is kept.
    /// Longest time from the receipt of a request at the ingress to its expiry. The ingress has to respect this limit.
    Duration maxRequestLifetime = std::chrono::seconds(60);
    /// Time after its expiry for which the outcome of a request without a key can still be queried.
    Duration outcomeMargin = std::chrono::seconds(5);
};

/// Properties of a non-repeatable request as received by the home. All times are in the home's clock.
struct LedgerRequest
{
    RequestId id;
    Incarnation addressedTo; ///< Incarnation of the home that the ingress sent the request to.
    /// Time at which the ingress received the request, by its estimate of the home's clock, which must not be ahead of that
    /// clock. After a pause of the ingress process it must be a time before the pause, since the bytes may have been in its
    /// socket since then.
    TimePoint received;
    TimePoint expiry; ///< The request must not be dispatched at or after this time.
    RequestFingerprint fingerprint;
    std::optional<IdempotencyKey> key;
};

/// Decisions of the ledger about a request.
namespace LedgerDecision {

/// The caller of admit() has to run the work and end it with finish() or abandon().
struct Run
{
    WorkId work;
};
/// The work is already running; the caller has to wait for its end.
struct Join
{
    WorkId work;
};
/// The work ended with this response.
struct Retained
{
    std::shared_ptr<const RetainedResponse> response;
};
/// The request did not run and will not run later.
struct Tombstoned
{
};
/// Any other refusal. The row of the kind in errorTable() states whether the work ran.
struct Refuse
{
    ErrorKind kind;
};

using Admission = std::variant<Run, Join, Retained, Tombstoned, Refuse>;
using Outcome = std::variant<Join, Retained, Tombstoned, Refuse>;

} // namespace LedgerDecision

/// The home's record of non-repeatable work. It ensures that the work runs at most once and answers outcome queries.
///
/// Work is identified by the request id or, if there is one, by the idempotency key. An entry is kept for as long as a
/// request for the same work could be accepted or its outcome queried: until the key's retry horizon, or the request's
/// expiry plus a margin. It is never evicted earlier; when the ledger is full, new work is refused.
///
/// A refusal as not run is final: a copy of the request that arrives later does not run either. For a key, this
/// applies to all requests that any ingress received before the refusal; a request received afterwards may run.
/// Therefore the home has to admit each non-repeatable request before it may refuse it, and to call abandon() for the
/// work that it then refuses, whatever the reason.
class ExecutionLedger
{
public:
    /// @param incarnation incarnation of this process; must not be 0
    /// @param now current time, at which the expiry of entries starts
    ExecutionLedger(Incarnation incarnation, const LedgerLimits &limits, TimePoint now);

    /// Not copyable: the index holds pointers to the table.
    ExecutionLedger(const ExecutionLedger &) = delete;
    ExecutionLedger &operator=(const ExecutionLedger &) = delete;

    /// Decides about a request that has arrived. Refuses with StaleIncarnation, KeyHomeRestarted, KeyExpired,
    /// KeyNotIssued, KeyConflict, DeadlinePassed, LedgerFull, AnswerNotKept, the kind that the work ended with, or
    /// Internal for an expiry later than maxRequestLifetime after the receipt or a receipt in the future.
    LedgerDecision::Admission admit(const LedgerRequest &request, TimePoint now);

    /// Records that the work is dispatched. Must be called immediately before the first byte is sent to the upstream.
    /// @param work id from LedgerDecision::Run
    /// @return nothing when the work may be dispatched; DeadlinePassed when it has expired and must be abandoned
    [[nodiscard]] std::optional<ErrorKind> markDispatched(const WorkId &work, TimePoint now);

    /// Records that the work ended with a complete response.
    void finish(const WorkId &work, std::shared_ptr<const RetainedResponse> response, TimePoint now);

    /// Records that the work ended without a complete response.
    /// @param kind error kind of the end, e.g. UpstreamAnswerCut; must not mean not run
    void finish(const WorkId &work, ErrorKind kind, TimePoint now);

    /// Records that the work did not run, because it was abandoned before dispatch or the upstream rejected it without
    /// running it. The requests that joined it did not run either.
    void abandon(const WorkId &work, TimePoint now);

    /// Answers an ingress's query for the outcome of a request. A request that has not arrived yet gets a tombstone, so that
    /// it cannot run later. Refuses with OutcomeUnknown, KeyConflict, AnswerNotKept or the kind that the work ended with.
    LedgerDecision::Outcome queryOutcome(const LedgerRequest &request, TimePoint now);

    /// State of an entry for operators.
    struct Inspection
    {
        std::string_view state; ///< "accepted", "dispatched", "finished" or "tombstone".
        Execution execution; ///< Whether the work ran, as far as is certain.
    };

    /// Returns the state of an entry. Unlike queryOutcome(), it changes nothing.
    /// @return nothing when there is no entry for the work
    std::optional<Inspection> inspect(const WorkId &work) const;

    /// Drops expired entries and responses. Must be called on each tick. The cost is proportional to the number of entries
    /// and responses dropped and to the elapsed time in steps of 10 ms.
    void expire(TimePoint now);

    std::size_t entryCount() const
    {
        return this->index.size();
    }

    /// @return size of all retained responses, in bytes
    std::size_t responseByteCount() const
    {
        return this->responseBytes;
    }

    /// @return memory held by the ledger's tables, without the responses, in bytes
    std::size_t tableByteCount() const;

private:
    using Slot = std::uint32_t;

    enum class State : std::uint8_t {
        Accepted,
        Dispatched,
        Finished,
        Tombstone,
    };

    struct Entry
    {
        WorkId work;
        RequestFingerprint fingerprint;
        /// Accepted, Dispatched: expiry. Finished: end of the work. Tombstone: time of the refusal; only requests for a key
        /// that were received later may run.
        TimePoint time;
        TimePoint expireAt; ///< The entry is dropped at this time or at the end of the work, whichever is later.
        std::shared_ptr<const RetainedResponse> response;
        State state = State::Accepted;
        ErrorKind failure = ErrorKind::AnswerNotKept; ///< Finished: the reply when there is no retained response.
    };

    struct SlotHash
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming): required by the container
        const std::vector<Entry> *entries;
        std::size_t operator()(const WorkId &work) const;
        std::size_t operator()(Slot slot) const;
    };

    struct SlotEqual
    {
        using is_transparent = void; // NOLINT(readability-identifier-naming): required by the container
        const std::vector<Entry> *entries;
        bool operator()(Slot a, Slot b) const;
        bool operator()(Slot slot, const WorkId &work) const;
        bool operator()(const WorkId &work, Slot slot) const;
    };

    /// Checks a key without regard to any entry.
    /// @return the error kind, or nothing when the key is valid
    std::optional<ErrorKind> checkKey(const IdempotencyKey &key, TimePoint now) const;
    /// Decides about a request whose work has an entry.
    /// @return the decision, or nothing when the request may run
    std::optional<LedgerDecision::Outcome> decideByEntry(Slot slot, const LedgerRequest &request, TimePoint now);
    /// Decides about a request whose work has no entry, or only a tombstone from before the receipt of the request.
    LedgerDecision::Admission admitNew(const WorkId &work, std::optional<Slot> slot, const LedgerRequest &request, TimePoint now);

    std::optional<Slot> find(const WorkId &work) const;
    /// Precondition: the work has an entry in a state from `earliest` to `latest`.
    Slot findInState(const WorkId &work, State earliest, State latest) const;
    /// Precondition: entryCount() < maxEntries.
    Slot insert(const WorkId &work);
    void erase(Slot slot);
    void expireAt(Slot slot, TimePoint time);
    /// Ensures that no request for `work` received up to now runs.
    /// @param expiry expiry of the request, after which no copy of it is accepted
    void writeTombstone(const WorkId &work, std::optional<Slot> slot, TimePoint expiry, TimePoint now);
    void writeTombstone(Slot slot, TimePoint expiry, TimePoint now);
    void recordEnd(Slot slot, ErrorKind kind, TimePoint now);
    void dropResponse(Slot slot);

    Incarnation incarnation;
    LedgerLimits limits;
    std::vector<Entry> entries;
    std::vector<Slot> freeSlots;
    absl::flat_hash_set<Slot, SlotHash, SlotEqual> index;
    ExpiryWheel wheel;
    IndexLists responseOrder; ///< Slots with a retained response, in the order in which their work ended.
    std::size_t responseBytes = 0;
    TombstoneFilter overflow; ///< Tombstones that did not fit into the table.
};

} // namespace Galenarack
