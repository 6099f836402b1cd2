#include <galenarack/home/homenode.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/scopeguard.h>

#include <boost/asio/as_tuple.hpp>
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

/// Weight of a new sample in the smoothed latency.
constexpr double latencySmoothing = 0.1;

/// Assumed until a first revision names the upstream; then the document decides.
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

/// The request as the upstream sees it: without the fields between nodes, with id, key and absolute deadline.
/// The upstream is on the same VM, so both read the same clock.
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

HomeNode::HomeNode(asio::any_io_executor executor,
                   NodeIdentity identity,
                   std::span<const HomeUpstream> upstreams,
                   UpstreamLimits upstreamLimits,
                   LedgerLimits ledgerLimits)
    : executor(executor)
    , identity(std::move(identity))
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
    for (HomeUpstreamRow &row : this->rows) {
        const auto index = document.findUpstream(row.name);
        if (!index || document.upstreams[*index].vm != this->identity.vm) {
            row.service.clear();
            continue;
        }
        const UpstreamRow &upstream = document.upstreams[*index];
        row.service = document.services[upstream.service].name;
        row.rule = upstream.rule;
        row.admission->setSlots(upstream.slots);
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
        co_return this->toPeerResponse(co_await this->runRepeatable(*meta, *call), meta->upstream);
    }
    co_return this->toPeerResponse(co_await this->runOnce(*meta, *call), meta->upstream);
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
    this->endings.emplace(work, std::make_shared<Ending>(this->executor));
    Job job{meta, call, &work};
    auto result = co_await this->execute(job);
    this->recordEnd(work, job, result);
    this->announceEnd(work, result);
    co_return result;
}

asio::awaitable<absl::StatusOr<PeerResponse>> HomeNode::join(WorkId work, TimePoint deadline)
{
    const auto entry = this->endings.find(work);
    if (entry == this->endings.end()) {
        co_return refusal(ErrorKind::OutcomeUnknown);
    }
    const std::shared_ptr<Ending> ending = entry->second;
    while (!ending->ended && NodeClock::now() < deadline) {
        asio::steady_timer limit(this->executor, deadline - NodeClock::now());
        limit.async_wait([ending](boost::system::error_code error) {
            if (!error) {
                ending->signal.cancel();
            }
        });
        co_await ending->signal.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (!ending->ended) {
        co_return makeError(ErrorKind::Timeout, "the work is still running");
    }
    co_return ending->result;
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
    const absl::Status admitted = co_await row->admission->acquire(claim, job.meta.account, expiry, row->typicalLatency, job.meta.mayQueue);
    job.call.cancellation.setAction(nullptr);
    if (!admitted.ok()) {
        co_return admitted;
    }
    if (job.call.cancellation.isRequested()) {
        co_return makeError(ErrorKind::DeadlinePassed, "the ingress cancelled the request before it was started");
    }
    // The queue may have held the request while the upstream or this node began to leave.
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
        // Repeatable work that nobody waits for is ended, so that it frees its slot.
        job.call.cancellation.setAction([&upstreamCall] {
            if (upstreamCall.abort) {
                upstreamCall.abort();
            }
        });
    } else if (const auto expired = this->ledger.markDispatched(*job.work, now)) {
        co_return refusal(*expired);
    }
    job.dispatched = true;
    const PeerRequest request = toUpstreamRequest(job.call.request, job.meta, now, expiry);
    auto response = co_await row.pool->request(request, job.meta.id.toString(), expiry, upstreamCall);
    job.call.cancellation.setAction(nullptr);

    if (response.ok()) {
        const Duration latency = NodeClock::now() - now;
        row.typicalLatency
            += Duration(static_cast<Duration::rep>(latencySmoothing * static_cast<double>((latency - row.typicalLatency).count())));
    }
    co_return this->interpret(row, std::move(response));
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
    if (row->drainSign || row->rule == UpstreamRule::Retire) {
        return makeError(ErrorKind::Draining, "upstream " + meta.upstream + " is leaving");
    }
    return absl::OkStatus();
}

absl::StatusOr<PeerResponse> HomeNode::interpret(HomeUpstreamRow &row, absl::StatusOr<PeerResponse> response)
{
    if (!response.ok()) {
        return response;
    }
    const bool drainSign = response->headers.find(drainField) == "1";
    if (drainSign && !row.drainSign) {
        this->log.info("upstream is leaving", {{"upstream", row.name}, {"signal", "drain header"}});
    }
    row.drainSign = drainSign;
    constexpr unsigned serviceUnavailable = 503;
    if (response->status == serviceUnavailable && response->headers.find(retryAfterField)) {
        return makeError(ErrorKind::UpstreamShedding, "the upstream sheds load");
    }
    return response;
}

void HomeNode::recordEnd(const WorkId &work, const Job &job, const absl::StatusOr<PeerResponse> &result)
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

void HomeNode::announceEnd(const WorkId &work, const absl::StatusOr<PeerResponse> &result)
{
    const auto entry = this->endings.find(work);
    if (entry == this->endings.end()) {
        return;
    }
    entry->second->ended = true;
    entry->second->result = result;
    entry->second->signal.cancel();
    this->endings.erase(entry);
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
    co_return this->toPeerResponse(std::move(result), meta->upstream);
}

void HomeNode::tick(TimePoint now)
{
    this->ledger.expire(now);
}

void HomeNode::drain()
{
    this->draining = true;
}

std::vector<NamedUpstreamReport> HomeNode::reports(TimePoint /*now*/) const
{
    return {};
}

HomeUpstreamRow *HomeNode::findRow(std::string_view name)
{
    const auto row = std::ranges::find(this->rows, name, &HomeUpstreamRow::name);
    return row == this->rows.end() ? nullptr : &*row;
}

void HomeNode::appendLoad(std::string_view upstream, HeaderList &headers)
{
    const HomeUpstreamRow *row = this->findRow(upstream);
    if (row == nullptr) {
        return;
    }
    const SlotAdmission &admission = *row->admission;
    headers.add(PeerHeader::load,
                std::to_string(admission.inFlight()) + "," + std::to_string(admission.queued()) + ","
                    + std::to_string(admission.slotCount()));
}

PeerResponse HomeNode::toPeerResponse(absl::StatusOr<PeerResponse> result, std::string_view upstream)
{
    PeerResponse response = result.ok() ? std::move(*result) : errorResponse(result.status());
    response.headers.add(PeerHeader::clockMs, std::to_string(toMilliseconds(NodeClock::now())));
    this->appendLoad(upstream, response.headers);
    return response;
}

} // namespace Galenarack
