#include <galenarack/home/homenode.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/scopeguard.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>

namespace Galenarack {

namespace asio = boost::asio;

namespace {

constexpr std::string_view deadlineField = "galenarack-deadline-unix-ms";
constexpr std::string_view drainField = "galenarack-drain";
constexpr std::string_view idempotencyKeyField = "idempotency-key";
constexpr std::string_view retryAfterField = "retry-after";

/// Interval between polls of an upstream's drain endpoint. An upstream that responded to a request within this time is not
/// polled, since the response carried its drain signal.
constexpr Duration drainPollInterval = std::chrono::seconds(1);
constexpr Duration pollTimeout = std::chrono::milliseconds(800);

/// Time after which a probe counts as failed; successful ones take about 25 ms.
constexpr Duration probeTimeout = std::chrono::seconds(1);

constexpr std::string_view drainPath = "/drain";
constexpr std::string_view healthPath = "/health";
constexpr unsigned serviceUnavailable = 503;
constexpr unsigned firstServerError = 500;

/// Slots and queue limit of an upstream until the first revision that names it.
constexpr std::uint32_t initialSlots = 1;
constexpr std::size_t initialQueueLimit = 64;

PeerResponse errorResponse(const absl::Status &status)
{
    const ErrorRow &row = errorRow(errorKindOf(status));
    PeerResponse response;
    response.status = row.httpStatus;
    response.headers.add(PeerHeader::error, row.name);
    response.body = messageOf(status);
    return response;
}

/// @return the request to send to the upstream: without the fields used between nodes, with the request's id, idempotency key
///         and absolute deadline. The wall clock is valid for the deadline because the upstream is on the same VM.
PeerRequest toUpstreamRequest(const PeerRequest &request, const ForwardMeta &meta, TimePoint now, TimePoint deadline)
{
    PeerRequest forwarded;
    forwarded.method = request.method;
    forwarded.path = request.path;
    forwarded.body = request.body;
    for (const HeaderField &field : request.headers.all()) {
        if (!field.name.starts_with(PeerHeader::prefix)) {
            forwarded.headers.add(field.name, field.value);
        }
    }
    const auto wallDeadline = std::chrono::system_clock::now() + (deadline - now);
    const auto deadlineMs = std::chrono::duration_cast<std::chrono::milliseconds>(wallDeadline.time_since_epoch()).count();
    forwarded.headers.add(PeerHeader::requestId, meta.id.toString());
    forwarded.headers.add(deadlineField, std::to_string(deadlineMs));
    if (meta.key) {
        forwarded.headers.add(idempotencyKeyField, meta.key->toString());
    }
    return forwarded;
}

std::shared_ptr<const RetainedResponse> toRetained(const PeerResponse &response)
{
    const auto retained = std::make_shared<RetainedResponse>();
    retained->status = response.status;
    for (const HeaderField &field : response.headers.all()) {
        retained->headers.push_back({field.name, field.value});
    }
    retained->body = response.body;
    return retained;
}

PeerResponse fromRetained(const RetainedResponse &retained)
{
    PeerResponse response;
    response.status = retained.status;
    for (const RetainedResponse::Header &field : retained.headers) {
        response.headers.add(field.name, field.value);
    }
    response.body = retained.body;
    return response;
}

absl::Status refusal(ErrorKind kind)
{
    return makeError(kind, errorRow(kind).title);
}

} // namespace

HomeNode::HomeNode(const asio::any_io_executor &executor,
                   NodeIdentity identity,
                   std::span<const HomeUpstream> upstreams,
                   const UpstreamLimits &upstreamLimits,
                   LedgerLimits ledgerLimits,
                   Metrics &metrics,
                   AuditTrail &audit,
                   std::mt19937_64 random)
    : executor(executor)
    , identity(std::move(identity))
    , metrics(metrics)
    , audit(audit)
    , observeSystem(this->table)
    , healthEvaluationSystem(this->table)
    , probeSystem(this->table, random)
    , ledger(this->identity.incarnation, ledgerLimits, NodeClock::now())
    , log("home")
{
    for (const HomeUpstream &upstream : upstreams) {
        HomeUpstreamRow row;
        row.name = upstream.name;
        row.admission = std::make_unique<SlotAdmission>(executor, initialSlots, initialQueueLimit);
        row.pool = std::make_unique<UpstreamPool>(executor, upstream.address, upstreamLimits);
        this->rows.push_back(std::move(row));
    }
}

void HomeNode::applyDocument(const Document &document)
{
    this->table.configure(document, this->identity.vm, NodeClock::now());
    for (HomeUpstreamRow &row : this->rows) {
        const auto index = document.findUpstream(row.name);
        if (!index || document.upstreams[*index].vm != this->identity.vm) {
            row.service.clear();
            continue;
        }
        const UpstreamRow &upstream = document.upstreams[*index];
        row.service = document.services[upstream.service].name;
        row.admission->setSlots(upstream.slots);
        row.admission->setQueueLimit(document.services[upstream.service].queueLimit);
    }
}

asio::awaitable<PeerResponse> HomeNode::forward(std::shared_ptr<PeerCall> call)
{
    ++this->inProgress;
    const ScopeGuard finished([this] {
        --this->inProgress;
    });
    const auto meta = ForwardMeta::fromHeaders(call->request.headers);
    if (!meta.ok()) {
        co_return errorResponse(meta.status());
    }
    if (meta->repeatable) {
        co_return this->toPeerResponse(co_await this->runRepeatable(*meta, *call), *meta);
    }
    co_return this->toPeerResponse(co_await this->runOnce(*meta, *call), *meta);
}

asio::awaitable<absl::StatusOr<PeerResponse>> HomeNode::runRepeatable(const ForwardMeta &meta, PeerCall &call)
{
    Job job{meta, call, nullptr};
    co_return co_await this->execute(job);
}

asio::awaitable<absl::StatusOr<PeerResponse>> HomeNode::runOnce(const ForwardMeta &meta, PeerCall &call)
{
    const LedgerDecision::Admission admission = this->ledger.admit(meta.toLedgerRequest(), NodeClock::now());
    if (const auto *run = std::get_if<LedgerDecision::Run>(&admission)) {
        co_return co_await this->runAdmitted(meta, call, run->work);
    }
    if (const auto *running = std::get_if<LedgerDecision::Join>(&admission)) {
        co_return co_await this->join(running->work, fromMilliseconds(meta.expiryMs));
    }
    if (const auto *retained = std::get_if<LedgerDecision::Retained>(&admission)) {
        co_return fromRetained(*retained->response);
    }
    if (const auto *refused = std::get_if<LedgerDecision::Refuse>(&admission)) {
        co_return refusal(refused->kind);
    }
    co_return refusal(ErrorKind::Tombstoned);
}

asio::awaitable<absl::StatusOr<PeerResponse>> HomeNode::runAdmitted(const ForwardMeta &meta, PeerCall &call, WorkId work)
{
    this->completions.emplace(work, std::make_shared<Completion>(this->executor));
    Job job{meta, call, &work};
    auto result = co_await this->execute(job);
    this->recordResult(work, job, result);
    this->notifyJoined(work, result);
    co_return result;
}

asio::awaitable<absl::StatusOr<PeerResponse>> HomeNode::join(WorkId work, TimePoint deadline)
{
    const auto entry = this->completions.find(work);
    if (entry == this->completions.end()) {
        co_return refusal(ErrorKind::OutcomeUnknown);
    }
    const std::shared_ptr<Completion> completion = entry->second;
    while (!completion->done && NodeClock::now() < deadline) {
        asio::steady_timer limit(this->executor, deadline - NodeClock::now());
        limit.async_wait([completion](boost::system::error_code error) {
            if (!error) {
                completion->signal.cancel();
            }
        });
        co_await completion->signal.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (!completion->done) {
        co_return makeError(ErrorKind::Timeout, "the request is still running at the upstream");
    }
    co_return completion->result;
}

asio::awaitable<absl::StatusOr<PeerResponse>> HomeNode::execute(Job &job)
{
    HomeUpstreamRow *row = this->findRow(job.meta.upstream);
    if (const absl::Status status = this->checkUpstream(job.meta, row); !status.ok()) {
        co_return status;
    }
    SlotAdmission::Claim claim;
    job.call.cancellation.setAction([&claim] {
        claim.cancel();
    });
    const TimePoint expiry = fromMilliseconds(job.meta.expiryMs);
    const auto healthRow = this->table.find(job.meta.upstream);
    const Duration typicalLatency
        = healthRow ? this->table.recentLatency(*healthRow, routeClassOf(job.meta.routeClass), NodeClock::now()) : Duration::zero();
    const absl::Status admitted = co_await row->admission->acquire(claim, job.meta.account, expiry, typicalLatency, job.meta.mayQueue);
    job.call.cancellation.setAction(nullptr);
    if (!admitted.ok()) {
        co_return admitted;
    }
    if (job.call.cancellation.isRequested()) {
        co_return makeError(ErrorKind::DeadlinePassed, "the ingress cancelled the request before it was sent to the upstream");
    }
    // The upstream or this node may have begun to leave while the request was in the queue.
    if (const absl::Status status = this->checkUpstream(job.meta, row); !status.ok()) {
        co_return status;
    }
    co_return co_await this->dispatch(job, *row);
}

asio::awaitable<absl::StatusOr<PeerResponse>> HomeNode::dispatch(Job &job, HomeUpstreamRow &row)
{
    const TimePoint now = NodeClock::now();
    const TimePoint expiry = fromMilliseconds(job.meta.expiryMs);
    if (now >= expiry) {
        co_return refusal(ErrorKind::DeadlinePassed);
    }
    UpstreamCall upstreamCall;
    if (job.work == nullptr) {
        // Aborts repeatable work when its caller is gone, so that it releases its slot. Other work runs on, since its
        // outcome is kept in the ledger.
        job.call.cancellation.setAction([&upstreamCall] {
            if (upstreamCall.abort) {
                upstreamCall.abort();
            }
        });
    } else if (const auto expired = this->ledger.markDispatched(*job.work, now)) {
        co_return refusal(*expired);
    }
    job.dispatched = true;
    const std::uint64_t token = ++this->lastToken;
    if (const auto healthRow = this->table.find(row.name)) {
        this->observeSystem.start(*healthRow, token, routeClassOf(job.meta.routeClass), now);
    }
    const PeerRequest request = toUpstreamRequest(job.call.request, job.meta, now, expiry);
    auto response = co_await row.pool->request(request, job.meta.id.toString(), expiry, upstreamCall);
    const bool wasCancelled = job.work == nullptr && job.call.cancellation.isRequested();
    job.call.cancellation.setAction(nullptr);
    auto result = this->interpret(row, std::move(response));
    if (wasCancelled && !result.ok()) {
        result = refusal(ErrorKind::Cancelled);
    }
    this->observeResult(job.meta, token, result);
    co_return result;
}

void HomeNode::observeResult(const ForwardMeta &meta, std::uint64_t token, const absl::StatusOr<PeerResponse> &result)
{
    const auto row = this->table.find(meta.upstream);
    if (!row) {
        return;
    }
    const TimePoint now = NodeClock::now();
    if (meta.serviceMedianUs > 0) {
        this->observeSystem.peerMedian(*row, routeClassOf(meta.routeClass), Duration(meta.serviceMedianUs), now);
    }
    if (result.ok()) {
        this->observeSystem.finish(*row, token, result->status >= firstServerError ? SampleOutcome::Failed : SampleOutcome::Ok, now);
        return;
    }
    switch (errorKindOf(result.status())) {
    case ErrorKind::UpstreamShedding:
    case ErrorKind::UpstreamAnswerAmbiguous:
        this->observeSystem.finish(*row, token, SampleOutcome::Shed, now, std::chrono::seconds(1));
        break;
    case ErrorKind::UpstreamAnswerCut:
    case ErrorKind::UpstreamAnswerInvalid:
    case ErrorKind::UpstreamAnswerTooLarge:
        this->observeSystem.finish(*row, token, SampleOutcome::IntegrityError, now);
        break;
    case ErrorKind::Timeout:
        this->observeSystem.finish(*row, token, SampleOutcome::TimedOut, now);
        break;
    case ErrorKind::Cancelled:
        this->observeSystem.finish(*row, token, SampleOutcome::Cancelled, now);
        break;
    default:
        this->observeSystem.finish(*row, token, SampleOutcome::Failed, now);
    }
}

absl::Status HomeNode::checkUpstream(const ForwardMeta &meta, const HomeUpstreamRow *row) const
{
    if (this->draining) {
        return refusal(ErrorKind::Draining);
    }
    if (meta.addressedTo != this->identity.incarnation) {
        return refusal(ErrorKind::StaleIncarnation);
    }
    if (row == nullptr || row->service.empty()) {
        return makeError(ErrorKind::UpstreamUnknown, "this node is not the home of upstream " + meta.upstream);
    }
    return this->checkHealth(meta);
}

absl::Status HomeNode::checkHealth(const ForwardMeta &meta) const
{
    const auto row = this->table.find(meta.upstream);
    if (!row) {
        return makeError(ErrorKind::UpstreamUnknown, "this node is not the home of upstream " + meta.upstream);
    }
    if (this->table.evaluations[*row].healthState == HealthState::Leaving) {
        return makeError(ErrorKind::Draining, "upstream " + meta.upstream + " is leaving");
    }
    if (!this->table.admits(*row, meta.repeatable, meta.insist)) {
        return makeError(ErrorKind::UpstreamEjected, "upstream " + meta.upstream + " is ejected");
    }
    return absl::OkStatus();
}

absl::StatusOr<PeerResponse> HomeNode::interpret(HomeUpstreamRow &row, absl::StatusOr<PeerResponse> response)
{
    if (!response.ok()) {
        return response;
    }
    row.lastResponse = NodeClock::now();
    this->applyDrainSignal(row, response->headers.find(drainField) == "1", "drain header");
    const bool statesNotRun = response->headers.find(PeerHeader::execution) == executionName(Execution::NotRun);
    // Homes answer with fields of this prefix. An upstream may pass on those that it got for a request of its own.
    response->headers.removeWithPrefix(PeerHeader::prefix);
    if (response->status == serviceUnavailable && response->headers.find(retryAfterField)) {
        return statesNotRun
                   ? makeError(ErrorKind::UpstreamShedding, "the upstream rejected the request because it sheds load")
                   : makeError(ErrorKind::UpstreamAnswerAmbiguous, "the upstream sheds load and does not state whether the request ran");
    }
    return response;
}

void HomeNode::applyDrainSignal(HomeUpstreamRow &row, bool signalsDrain, std::string_view signal)
{
    const auto healthRow = this->table.find(row.name);
    if (signalsDrain == row.signalsDrain || !healthRow) {
        return;
    }
    row.signalsDrain = signalsDrain;
    if (signalsDrain) {
        this->table.markLeaving(*healthRow, NodeClock::now());
        this->audit.append(DrainStarted{row.name, std::string(signal), row.admission->inFlight()});
    } else {
        this->table.markCold(*healthRow, NodeClock::now());
    }
}

void HomeNode::recordResult(const WorkId &work, const Job &job, const absl::StatusOr<PeerResponse> &result)
{
    const TimePoint now = NodeClock::now();
    if (result.ok()) {
        this->ledger.finish(work, toRetained(*result), now);
        return;
    }
    const ErrorKind kind = errorKindOf(result.status());
    if (!job.dispatched || errorRow(kind).execution == Execution::NotRun) {
        this->ledger.abandon(work, now);
        return;
    }
    this->ledger.finish(work, kind, now);
}

void HomeNode::notifyJoined(const WorkId &work, const absl::StatusOr<PeerResponse> &result)
{
    const auto entry = this->completions.find(work);
    if (entry == this->completions.end()) {
        return;
    }
    entry->second->done = true;
    entry->second->result = result;
    entry->second->signal.cancel();
    this->completions.erase(entry);
}

asio::awaitable<PeerResponse> HomeNode::outcome(std::shared_ptr<PeerCall> call)
{
    const auto meta = ForwardMeta::fromHeaders(call->request.headers);
    if (!meta.ok()) {
        co_return errorResponse(meta.status());
    }
    const LedgerDecision::Outcome decision = this->ledger.queryOutcome(meta->toLedgerRequest(), NodeClock::now());
    absl::StatusOr<PeerResponse> result = refusal(ErrorKind::Tombstoned);
    if (const auto *running = std::get_if<LedgerDecision::Join>(&decision)) {
        result = co_await this->join(running->work, fromMilliseconds(meta->expiryMs));
    } else if (const auto *retained = std::get_if<LedgerDecision::Retained>(&decision)) {
        result = fromRetained(*retained->response);
    } else if (const auto *refused = std::get_if<LedgerDecision::Refuse>(&decision)) {
        result = refusal(refused->kind);
    }
    co_return this->toPeerResponse(std::move(result), *meta);
}

void HomeNode::tick(TimePoint now)
{
    this->ledger.expire(now);
    this->reportHealthChanges(this->healthEvaluationSystem.tick(now));
    for (const std::uint32_t row : this->probeSystem.tick(now)) {
        asio::co_spawn(
            this->executor,
            [this, name = this->table.names[row]]() -> asio::awaitable<void> {
                co_await this->probe(name);
            },
            asio::detached);
    }
    this->pollDrainSignals(now);
    for (const HomeUpstreamRow &row : this->rows) {
        const SlotAdmission &admission = *row.admission;
        this->metrics.setHomeLoad(row.name,
                                  HomeLoad{admission.inFlight(), static_cast<std::uint32_t>(admission.queued()), admission.slotCount()});
    }
    this->metrics.setLedger(this->ledger.entryCount(), this->ledger.responseByteCount());
}

void HomeNode::reportHealthChanges(std::span<const HealthChange> changes)
{
    for (const HealthChange &change : changes) {
        const std::string &name = this->table.names[change.row];
        const HomeUpstreamRow *row = this->findRow(name);
        const std::string service = row == nullptr ? std::string() : row->service;
        const std::string evidence = "severity " + std::to_string(change.severity) + ", latency " + std::to_string(change.latencyEvidence)
                                     + ", stall " + std::to_string(change.stallEvidence) + ", failure "
                                     + std::to_string(change.failureEvidence);
        if (change.to == HealthState::Ejected) {
            UpstreamEjected record;
            record.upstream = name;
            record.service = service;
            record.reason = causeName(change.cause);
            record.evidence = evidence;
            record.durationMs = std::chrono::duration_cast<std::chrono::milliseconds>(change.ejectionTime).count();
            this->audit.append(std::move(record));
            this->metrics.countEjection(name);
            if (row != nullptr) {
                row->admission->refuseQueued();
            }
        } else if (change.from == HealthState::Ejected || change.from == HealthState::Trial) {
            this->audit.append(UpstreamReinstated{name, service, std::string(healthStateName(change.to)) + "; " + evidence});
            this->metrics.countReinstatement(name);
        }
    }
}

asio::awaitable<void> HomeNode::probe(std::string name)
{
    const TimePoint start = NodeClock::now();
    HomeUpstreamRow *row = this->findRow(name);
    bool succeeded = false;
    if (row != nullptr) {
        PeerRequest request;
        request.method = "GET";
        request.path = healthPath;
        UpstreamCall call;
        const auto response = co_await row->pool->request(request, "", start + probeTimeout, call);
        succeeded = response.ok() && response->status < firstServerError;
    }
    const TimePoint end = NodeClock::now();
    if (const auto healthRow = this->table.find(name)) {
        this->probeSystem.finish(*healthRow, succeeded, end - start, end);
    }
}

void HomeNode::pollDrainSignals(TimePoint now)
{
    for (HomeUpstreamRow &row : this->rows) {
        const TimePoint last = std::max(row.lastResponse, row.lastDrainPoll);
        if (row.service.empty() || row.drainPollPending || now - last < drainPollInterval) {
            continue;
        }
        row.drainPollPending = true;
        row.lastDrainPoll = now;
        asio::co_spawn(
            this->executor,
            [this, name = row.name]() -> asio::awaitable<void> {
                co_await this->pollDrainSignal(name);
            },
            asio::detached);
    }
}

asio::awaitable<void> HomeNode::pollDrainSignal(std::string name)
{
    HomeUpstreamRow &row = *this->findRow(name);
    const ScopeGuard finished([&row] {
        row.drainPollPending = false;
    });
    PeerRequest request;
    request.method = "GET";
    request.path = drainPath;
    UpstreamCall call;
    const auto response = co_await row.pool->request(request, "", NodeClock::now() + pollTimeout, call);
    // An upstream that cannot be reached has sent no drain signal.
    if (response.ok()) {
        this->applyDrainSignal(row, response->status == serviceUnavailable, "drain endpoint");
    }
}

std::vector<UpstreamMark> HomeNode::marks() const
{
    std::vector<UpstreamMark> marks;
    for (std::uint32_t row = 0; row < this->table.size(); ++row) {
        const HealthState healthState = this->table.evaluations[row].healthState;
        if (healthState == HealthState::Ejected) {
            marks.push_back({this->table.names[row], UpstreamMarkKind::Ejected});
        } else if (healthState == HealthState::Leaving) {
            marks.push_back({this->table.names[row], UpstreamMarkKind::Leaving});
        }
    }
    return fittingMarks(std::move(marks));
}

void HomeNode::drain()
{
    this->draining = true;
}

std::vector<NamedUpstreamReport> HomeNode::reports(TimePoint now) const
{
    std::vector<NamedUpstreamReport> reports;
    for (const HomeUpstreamRow &row : this->rows) {
        if (const auto healthRow = this->table.find(row.name)) {
            const auto queued = static_cast<std::uint32_t>(row.admission->queued());
            reports.push_back({row.name, this->table.report(*healthRow, routeClassOf(0), queued, now)});
        }
    }
    return reports;
}

HomeUpstreamRow *HomeNode::findRow(std::string_view name)
{
    const auto row = std::ranges::find(this->rows, name, &HomeUpstreamRow::name);
    return row == this->rows.end() ? nullptr : &*row;
}

PeerResponse HomeNode::toPeerResponse(absl::StatusOr<PeerResponse> result, const ForwardMeta &meta)
{
    const TimePoint now = NodeClock::now();
    PeerResponse response = result.ok() ? std::move(*result) : errorResponse(result.status());
    response.headers.add(PeerHeader::clockMs, std::to_string(toMilliseconds(now)));
    const HomeUpstreamRow *row = this->findRow(meta.upstream);
    const auto healthRow = this->table.find(meta.upstream);
    if (row != nullptr && healthRow) {
        const auto queued = static_cast<std::uint32_t>(row->admission->queued());
        appendReport(this->table.report(*healthRow, routeClassOf(meta.routeClass), queued, now), response.headers);
    }
    return response;
}

} // namespace Galenarack
