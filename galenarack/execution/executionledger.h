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

/// Identifies the content of a request: two requests with one key must have the same.
struct RequestFingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    bool operator==(const RequestFingerprint &) const = default;

    /// @param target path and query
    static RequestFingerprint of(std::string_view method, std::string_view target, std::string_view body);
};

/// A response that a home keeps for callers that ask again.
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

    /// Memory held, in bytes.
    std::size_t byteCount() const;
};

/// Bounds and times of an ExecutionLedger.
struct LedgerLimits
{
    std::size_t maxEntries = 60'000;
    std::size_t maxResponseBytes = std::size_t(8) << 20; ///< Over all retained responses.
    Duration retryHorizon = std::chrono::seconds(300); ///< A key older than this is refused.
    Duration responseRetention = std::chrono::seconds(60); ///< A response is dropped this long after the work ended.
    /// Longest time from receipt of a request at the ingress to its expiry. The ingress must keep to it.
    Duration maxRequestLifetime = std::chrono::seconds(60);
    /// How long after its expiry a request without a key can still be asked about.
    Duration outcomeMargin = std::chrono::seconds(5);
};

/// What the home knows of a non-repeatable request, from its message. All times are in the home's clock.
struct LedgerRequest
{
    RequestId id;
    Incarnation addressedTo; ///< Run of the home that the ingress meant.
    /// When the ingress received the request, by its estimate of the home's clock, which must not lead. For an
    /// ingress that was paused it must be from before the pause, since the bytes may have waited that long.
    TimePoint received;
    TimePoint expiry; ///< It must not be dispatched at or after this time.
    RequestFingerprint fingerprint;
    std::optional<IdempotencyKey> key;
};

/// Answers of the ledger.
namespace LedgerDecision {

/// The caller of the class runs the work and ends it with finish() or abandon().
struct Run
{
    WorkId work;
};
/// The work is running; wait for its end.
struct Join
{
    WorkId work;
};
/// The work ended with this response.
struct Retained
{
    std::shared_ptr<const RetainedResponse> response;
};
/// The request did not run and never will.
struct Tombstoned
{
};
/// Any other refusal; the row of the kind in errorTable() says whether the work ran.
struct Refuse
{
    ErrorKind kind;
};

using Admission = std::variant<Run, Join, Retained, Tombstoned, Refuse>;
using Outcome = std::variant<Join, Retained, Tombstoned, Refuse>;

} // namespace LedgerDecision

/// The home's memory of non-repeatable work, by which it runs at most once and its outcome can be asked for.
///
/// Work is identified by the request id or, if there is one, by the idempotency key. An entry lives for as long
/// as a request for the same work could be accepted or asked about: until the key's retry horizon, or the
/// request's expiry plus a margin. It is never evicted earlier; new work is refused instead.
///
/// Every refusal as not run stays true: a copy of the request that arrives later does not run. For a key, this
/// covers all requests that any ingress received before the refusal; a request received afterwards may run.
/// So each refusal of non-repeatable work by the home, for whatever reason, has to pass through abandon().
class ExecutionLedger
{
public:
    /// @param incarnation of this process
    /// @param now fixes the start of time for expiry
    ExecutionLedger(Incarnation incarnation, const LedgerLimits &limits, TimePoint now);

    /// The index refers to the table.
    ExecutionLedger(const ExecutionLedger &) = delete;
    ExecutionLedger &operator=(const ExecutionLedger &) = delete;

    /// A request arrived. Refuses with StaleIncarnation, KeyHomeRestarted, KeyExpired, KeyNotIssued, KeyConflict,
    /// DeadlinePassed, LedgerFull, AnswerNotKept, the kind that the work ended with, or Internal for an expiry
    /// beyond maxRequestLifetime after its receipt.
    LedgerDecision::Admission admit(const LedgerRequest &request, TimePoint now);

    /// Call immediately before the first byte goes to the upstream.
    /// @param work from LedgerDecision::Run
    /// @return nothing when the work may be dispatched; DeadlinePassed when it expired and is to be abandoned
    [[nodiscard]] std::optional<ErrorKind> markDispatched(const WorkId &work, TimePoint now);

    /// The work ended with a complete response.
    void finish(const WorkId &work, std::shared_ptr<const RetainedResponse> response, TimePoint now);

    /// The work ended without a complete response.
    /// @param kind what is known, e.g. UpstreamAnswerCut; must not mean not run
    void finish(const WorkId &work, ErrorKind kind, TimePoint now);

    /// The work did not run: it was given up before dispatch, or the upstream refused it without running it.
    /// Those that joined it were not run either.
    void abandon(const WorkId &work, TimePoint now);

    /// An ingress asks what became of a request. When it was not seen, it will never run from now on.
    /// Refuses with OutcomeUnknown, KeyConflict, AnswerNotKept or the kind that the work ended with.
    LedgerDecision::Outcome queryOutcome(const LedgerRequest &request, TimePoint now);

    /// What an operator may know of an entry.
    struct Inspection
    {
        std::string_view state; ///< "accepted", "dispatched", "finished" or "tombstone".
        Execution execution; ///< What is certain so far.
    };

    /// Looks at an entry and changes nothing, unlike queryOutcome().
    /// @return nothing when there is no entry
    std::optional<Inspection> inspect(const WorkId &work) const;

    /// Drops what has outlived its time; call on each tick. Costs a step per entry dropped and per 10 ms passed.
    void expire(TimePoint now);

    std::size_t entryCount() const
    {
        return this->index.size();
    }

    /// Bytes of all retained responses.
    std::size_t responseByteCount() const
    {
        return this->responseBytes;
    }

    /// Bytes of the ledger's own tables, without responses.
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
        TimePoint time; ///< Accepted, Dispatched: expiry. Finished: end. Tombstone: requests received later may run.
        TimePoint expireAt; ///< The entry is dropped then, or when the work has ended, whichever is later.
        std::shared_ptr<const RetainedResponse> response;
        State state = State::Accepted;
        ErrorKind failure = ErrorKind::AnswerNotKept; ///< Finished without a response at hand.
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

    /// @return what is wrong with the key by itself
    std::optional<ErrorKind> checkKey(const IdempotencyKey &key, TimePoint now) const;
    /// @return how the request is answered by an entry for the same work; nothing when it may run
    std::optional<LedgerDecision::Outcome> decideByEntry(Slot slot, const LedgerRequest &request, TimePoint now);
    /// Admission of work that has no entry, or a tombstone from before the request was received.
    LedgerDecision::Admission admitNew(const WorkId &work, std::optional<Slot> slot, const LedgerRequest &request, TimePoint now);

    std::optional<Slot> find(const WorkId &work) const;
    Slot findInState(const WorkId &work, State earliest, State latest) const;
    /// Precondition: entryCount() < maxEntries.
    Slot insert(const WorkId &work);
    void erase(Slot slot);
    void expireAt(Slot slot, TimePoint time);
    /// Ensures that no request for `work` received up to now runs.
    /// @param expiry of the request; no later copy of it is accepted after that
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
    IndexLists responseOrder; ///< Slots with a response, oldest end first.
    std::size_t responseBytes = 0;
    TombstoneFilter overflow; ///< Tombstones for which there was no entry.
};

} // namespace Galenarack
