#include <galenarack/execution/executionledger.h>

#include <galenarack/core/digest.h>

#include <absl/hash/hash.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace Galenarack {

namespace {

/// How far a time estimated by an ingress may be ahead of the home's clock. Allows for the drift of the ingress's clock
/// since the last heartbeat and limits the lifetime of the entry of a forged key.
constexpr Duration clockTolerance = std::chrono::seconds(1);

/// Bytes of allocator overhead and control block for one retained response.
constexpr std::size_t responseOverhead = 64;

/// Returns the longest time after its admission for which the expiry of an entry is scheduled, in any state.
Duration maxLifetime(const LedgerLimits &limits)
{
    return std::max(limits.retryHorizon + clockTolerance, limits.maxRequestLifetime + limits.outcomeMargin);
}

} // namespace

RequestFingerprint RequestFingerprint::of(std::string_view method, std::string_view target, std::string_view body)
{
    // The body is included as a digest, so that its content cannot imitate the separators.
    std::string text(method);
    text += ' ';
    text += target;
    text += ' ';
    text += sha256Hex(body);
    const std::string digest = sha256Hex(text);
    constexpr std::size_t hexDigits = 16;
    return {*fromHex(std::string_view(digest).substr(0, hexDigits)), *fromHex(std::string_view(digest).substr(hexDigits, hexDigits))};
}

std::size_t RetainedResponse::byteCount() const
{
    std::size_t bytes = sizeof(RetainedResponse) + responseOverhead + this->body.capacity();
    for (const Header &header : this->headers) {
        bytes += sizeof(Header) + header.name.capacity() + header.value.capacity();
    }
    return bytes;
}

std::size_t ExecutionLedger::SlotHash::operator()(const WorkId &work) const
{
    return absl::Hash<WorkId>()(work);
}

std::size_t ExecutionLedger::SlotHash::operator()(Slot slot) const
{
    return absl::Hash<WorkId>()((*this->entries)[slot].work);
}

bool ExecutionLedger::SlotEqual::operator()(Slot a, Slot b) const
{
    return a == b;
}

bool ExecutionLedger::SlotEqual::operator()(Slot slot, const WorkId &work) const
{
    return (*this->entries)[slot].work == work;
}

bool ExecutionLedger::SlotEqual::operator()(const WorkId &work, Slot slot) const
{
    return (*this->entries)[slot].work == work;
}

ExecutionLedger::ExecutionLedger(Incarnation incarnation, const LedgerLimits &limits, TimePoint now)
    : incarnation(incarnation)
    , limits(limits)
    , index(0, SlotHash{&this->entries}, SlotEqual{&this->entries})
    , wheel(maxLifetime(limits), now)
    , responseOrder(1)
{
    assert(incarnation.value != 0);
}

LedgerDecision::Admission ExecutionLedger::admit(const LedgerRequest &request, TimePoint now)
{
    this->expire(now);
    if (request.key) {
        if (const auto fault = this->checkKey(*request.key, now)) {
            return LedgerDecision::Refuse{*fault};
        }
    } else if (request.addressedTo != this->incarnation) {
        return LedgerDecision::Refuse{ErrorKind::StaleIncarnation};
    }
    const WorkId work = request.key ? WorkId::of(*request.key) : WorkId::of(request.id);
    const std::optional<Slot> slot = this->find(work);
    if (slot) {
        if (auto decision = this->decideByEntry(*slot, request, now)) {
            return std::visit(
                [](auto &specific) -> LedgerDecision::Admission {
                    return std::move(specific);
                },
                *decision);
        }
    }
    return this->admitNew(work, slot, request, now);
}

LedgerDecision::Admission ExecutionLedger::admitNew(const WorkId &work,
                                                    std::optional<Slot> slot,
                                                    const LedgerRequest &request,
                                                    TimePoint now)
{
    if (request.expiry > request.received + this->limits.maxRequestLifetime || request.received > now + clockTolerance) {
        // Only a faulty ingress sends such a request. The kind does not mean not run, because a later copy could be accepted.
        return LedgerDecision::Refuse{ErrorKind::Internal};
    }
    const auto refuse = [&](ErrorKind kind) -> LedgerDecision::Admission {
        this->writeTombstone(work, slot, request.expiry, now);
        return LedgerDecision::Refuse{kind};
    };
    if (request.addressedTo != this->incarnation) {
        return refuse(ErrorKind::StaleIncarnation);
    }
    if (request.key && request.key->issued > now + clockTolerance) {
        return refuse(ErrorKind::KeyNotIssued);
    }
    if (request.expiry <= now) {
        return refuse(ErrorKind::DeadlinePassed);
    }
    if (!slot && this->overflow.mayContain(work, now)) {
        this->writeTombstone(work, slot, request.expiry, now);
        return LedgerDecision::Tombstoned();
    }
    if (!slot && this->entryCount() >= this->limits.maxEntries) {
        return refuse(ErrorKind::LedgerFull);
    }
    const Slot run = slot ? *slot : this->insert(work);
    Entry &entry = this->entries[run];
    entry.state = State::Accepted;
    entry.fingerprint = request.fingerprint;
    entry.time = request.expiry;
    this->expireAt(run, request.key ? request.key->issued + this->limits.retryHorizon : request.expiry + this->limits.outcomeMargin);
    return LedgerDecision::Run{work};
}

std::optional<ErrorKind> ExecutionLedger::markDispatched(const WorkId &work, TimePoint now)
{
    const Slot slot = this->findInState(work, State::Accepted, State::Accepted);
    Entry &entry = this->entries[slot];
    if (entry.time <= now) {
        return ErrorKind::DeadlinePassed;
    }
    entry.state = State::Dispatched;
    return std::nullopt;
}

void ExecutionLedger::finish(const WorkId &work, std::shared_ptr<const RetainedResponse> response, TimePoint now)
{
    assert(response);
    const Slot slot = this->findInState(work, State::Dispatched, State::Dispatched);
    const std::size_t bytes = response->byteCount();
    if (bytes <= this->limits.maxResponseBytes) {
        this->entries[slot].response = std::move(response);
        this->responseBytes += bytes;
        this->responseOrder.append(0, slot);
        // The oldest response is dropped first, since its caller is the least likely to request it again.
        while (this->responseBytes > this->limits.maxResponseBytes) {
            this->dropResponse(*this->responseOrder.front(0));
        }
    }
    this->recordEnd(slot, ErrorKind::AnswerNotKept, now);
}

void ExecutionLedger::finish(const WorkId &work, ErrorKind kind, TimePoint now)
{
    assert(errorRow(kind).execution != Execution::NotRun);
    this->recordEnd(this->findInState(work, State::Dispatched, State::Dispatched), kind, now);
}

void ExecutionLedger::abandon(const WorkId &work, TimePoint now)
{
    const Slot slot = this->findInState(work, State::Accepted, State::Dispatched);
    this->writeTombstone(slot, this->entries[slot].time, now);
}

LedgerDecision::Outcome ExecutionLedger::queryOutcome(const LedgerRequest &request, TimePoint now)
{
    this->expire(now);
    const bool isOutdated = request.key ? this->checkKey(*request.key, now).has_value()
                                        : request.addressedTo != this->incarnation || request.expiry + this->limits.outcomeMargin <= now;
    const WorkId work = request.key ? WorkId::of(*request.key) : WorkId::of(request.id);
    const std::optional<Slot> slot = this->find(work);
    if (slot && (!request.key || !isOutdated)) {
        if (auto decision = this->decideByEntry(*slot, request, now)) {
            return *decision;
        }
    } else if (isOutdated) {
        // The entry may have been dropped already, or belongs to another incarnation of this node.
        return LedgerDecision::Refuse{ErrorKind::OutcomeUnknown};
    }
    this->writeTombstone(work, slot, request.expiry, now);
    return LedgerDecision::Tombstoned();
}

std::optional<ExecutionLedger::Inspection> ExecutionLedger::inspect(const WorkId &work) const
{
    const auto slot = this->find(work);
    if (!slot) {
        return std::nullopt;
    }
    const Entry &entry = this->entries[*slot];
    switch (entry.state) {
    case State::Accepted:
        return Inspection{"accepted", Execution::MayHaveRun};
    case State::Dispatched:
        return Inspection{"dispatched", Execution::MayHaveRun};
    case State::Finished:
        return Inspection{"finished", entry.response ? Execution::Ran : errorRow(entry.failure).execution};
    case State::Tombstone:
        return Inspection{"tombstone", Execution::NotRun};
    }
    return std::nullopt;
}

void ExecutionLedger::expire(TimePoint now)
{
    while (const auto slot = this->wheel.popDue(now)) {
        const State state = this->entries[*slot].state;
        // Running work keeps its entry until recordEnd() drops it.
        if (state != State::Accepted && state != State::Dispatched) {
            this->erase(*slot);
        }
    }
    for (auto slot = this->responseOrder.front(0); slot; slot = this->responseOrder.front(0)) {
        if (this->entries[*slot].time + this->limits.responseRetention > now) {
            break;
        }
        this->dropResponse(*slot);
    }
}

std::size_t ExecutionLedger::tableByteCount() const
{
    const std::size_t indexBytes = this->index.capacity() * (sizeof(Slot) + 1);
    return this->entries.capacity() * sizeof(Entry) + this->freeSlots.capacity() * sizeof(Slot) + indexBytes + this->wheel.byteCount()
           + this->responseOrder.byteCount() + this->overflow.byteCount();
}

std::optional<ErrorKind> ExecutionLedger::checkKey(const IdempotencyKey &key, TimePoint now) const
{
    if (key.home != this->incarnation) {
        return ErrorKind::KeyHomeRestarted;
    }
    if (key.issued + this->limits.retryHorizon <= now) {
        return ErrorKind::KeyExpired;
    }
    return std::nullopt;
}

std::optional<LedgerDecision::Outcome> ExecutionLedger::decideByEntry(Slot slot, const LedgerRequest &request, TimePoint now)
{
    const Entry &entry = this->entries[slot];
    if (entry.state == State::Tombstone) {
        if (request.key && request.received > entry.time) {
            return std::nullopt;
        }
        this->writeTombstone(slot, request.expiry, now);
        return LedgerDecision::Tombstoned();
    }
    if (entry.fingerprint != request.fingerprint) {
        return LedgerDecision::Refuse{request.key ? ErrorKind::KeyConflict : ErrorKind::Internal};
    }
    if (entry.state != State::Finished) {
        return LedgerDecision::Join{entry.work};
    }
    if (entry.response) {
        return LedgerDecision::Retained{entry.response};
    }
    return LedgerDecision::Refuse{entry.failure};
}

std::optional<ExecutionLedger::Slot> ExecutionLedger::find(const WorkId &work) const
{
    const auto position = this->index.find(work);
    if (position == this->index.end()) {
        return std::nullopt;
    }
    return *position;
}

ExecutionLedger::Slot ExecutionLedger::findInState(const WorkId &work, State earliest, State latest) const
{
    const auto slot = this->find(work);
    assert(slot && this->entries[*slot].state >= earliest && this->entries[*slot].state <= latest);
    return *slot;
}

ExecutionLedger::Slot ExecutionLedger::insert(const WorkId &work)
{
    assert(this->entryCount() < this->limits.maxEntries);
    Slot slot = 0;
    if (this->freeSlots.empty()) {
        slot = static_cast<Slot>(this->entries.size());
        if (this->entries.capacity() == 0) {
            // Reserving the whole table costs only address space until entries are used, and avoids copies on growth.
            this->entries.reserve(this->limits.maxEntries);
        }
        this->entries.emplace_back();
        this->wheel.grow(slot + 1);
        this->responseOrder.grow(slot + 1);
    } else {
        slot = this->freeSlots.back();
        this->freeSlots.pop_back();
    }
    this->entries[slot].work = work;
    this->index.insert(slot);
    return slot;
}

void ExecutionLedger::erase(Slot slot)
{
    this->dropResponse(slot);
    this->wheel.cancel(slot);
    this->index.erase(slot);
    this->entries[slot] = Entry();
    this->freeSlots.push_back(slot);
}

void ExecutionLedger::expireAt(Slot slot, TimePoint time)
{
    this->entries[slot].expireAt = time;
    this->wheel.schedule(slot, time);
}

void ExecutionLedger::writeTombstone(const WorkId &work, std::optional<Slot> slot, TimePoint expiry, TimePoint now)
{
    if (!slot && this->entryCount() >= this->limits.maxEntries) {
        this->overflow.add(work, now + this->limits.maxRequestLifetime, now);
        return;
    }
    this->writeTombstone(slot ? *slot : this->insert(work), expiry, now);
}

void ExecutionLedger::writeTombstone(Slot slot, TimePoint expiry, TimePoint now)
{
    Entry &entry = this->entries[slot];
    entry.state = State::Tombstone;
    entry.time = now;
    // Other requests with the same key may have been received before now and expire later than this one.
    const TimePoint end = now + this->limits.maxRequestLifetime;
    this->expireAt(slot, entry.work.keyed ? end : std::min(expiry, end));
}

void ExecutionLedger::recordEnd(Slot slot, ErrorKind kind, TimePoint now)
{
    Entry &entry = this->entries[slot];
    entry.state = State::Finished;
    entry.failure = kind;
    entry.time = now;
    if (entry.expireAt <= now) {
        this->erase(slot);
    }
}

void ExecutionLedger::dropResponse(Slot slot)
{
    Entry &entry = this->entries[slot];
    if (!entry.response) {
        return;
    }
    this->responseBytes -= entry.response->byteCount();
    this->responseOrder.remove(slot);
    entry.response.reset();
}

} // namespace Galenarack
