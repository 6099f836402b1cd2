#include <galenarack/proxy/homeservice.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/scopeguard.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Galenarack {

namespace asio = boost::asio;

namespace {

/// Assumed until the registry names the upstream.
constexpr std::uint32_t initialSlots = 1;

/// Above this probability of being gray the upstream gets no work that must not be repeated: a failed run is lost.
constexpr double onceOnlyLimit = 0.25;

/// Above this probability the upstream gets trial requests only.
constexpr double ejectionLimit = 0.6;

/// An ejected upstream takes one idempotent request in this time to show whether it has recovered.
constexpr Duration trialInterval = std::chrono::milliseconds(1500);

/// Requests of lower priority than this leave part of the allowance for repeats to more urgent ones.
constexpr std::uint32_t urgentPriority = 1;
constexpr double lowPriorityUrgency = 0.6;

/// The ingress that holds a granted request back has this long to send it. Between failure domains a round trip takes
/// a few milliseconds.
constexpr Duration commitTimeout = std::chrono::milliseconds(400);

/// A request that has run for this many times its usual duration counts as overdue.
constexpr double overdueFactor = 5.0;
constexpr Duration overdueLeast = std::chrono::milliseconds(400);

/// Weight of a new sample in the moving average of the slowness.
constexpr double slownessWeight = 0.1;

/// An ingress that is told that the node or its upstream leaves asks again after this time.
constexpr Duration leavingPause = std::chrono::seconds(2);

/// Work is taken by a leaving node when this many times its usual duration fits into the time that is left.
constexpr int drainSafety = 2;

constexpr unsigned serverError = 500;
constexpr unsigned gatewayTimeout = 504;
constexpr unsigned misdirected = 421;

/// @return what an upstream with this probability of being gray gets
std::string_view trustName(double grayProbability)
{
    return grayProbability > ejectionLimit ? "ejected" : grayProbability > onceOnlyLimit ? "idempotent-only" : "trusted";
}

std::string_view evidenceName(TrustEvidence evidence)
{
    switch (evidence) {
    case TrustEvidence::Success:
        return "success";
    case TrustEvidence::Failure:
        return "failure";
    case TrustEvidence::Overdue:
        return "overdue";
    }
    return "";
}

UpstreamLimits poolLimits(const Dialect &dialect)
{
    UpstreamLimits limits;
    limits.idleConnections = 64;
    limits.bodyBytes = 64 * 1024 * 1024;
    limits.requestIdField = dialect.requestId;
    limits.alwaysEchoesId = true;
    return limits;
}

} // namespace

HomeService::HomeService(asio::any_io_executor executor,
                         asio::ip::address vm,
                         const asio::ip::tcp::endpoint &upstream,
                         const Dialect &dialect,
                         const RetryBound &retry,
                         const FleetView &view)
    : executor(std::move(executor))
    , vm(std::move(vm))
    , dialect(dialect)
    , view(view)
    , pool(this->executor, upstream, poolLimits(dialect))
    , queue(initialSlots)
    , trust(NodeClock::now())
    , repeats(retry)
{
}

const UpstreamEntry *HomeService::entry() const
{
    return this->view.findOnVm(this->vm);
}

UpstreamLoad HomeService::load(std::string_view failureDomain, TimePoint now) const
{
    UpstreamLoad load;
    load.running = static_cast<std::uint32_t>(this->queue.running());
    load.waiting = static_cast<std::uint32_t>(this->queue.waiting());
    load.slots = this->queue.slotCount();
    load.grayProbability = this->trust.grayProbability(failureDomain, now);
    load.slowness = this->slowness;
    load.shedShare = this->shed.value(now);
    return load;
}

PeerResponse HomeService::ended(const Offer &offer, OfferEnd end, Duration retryAfter)
{
    PeerResponse response;
    response.status = errorRow(ErrorKind::Overloaded).httpStatus;
    OfferReport report;
    report.end = end;
    report.load = this->load(offer.failureDomain, NodeClock::now());
    report.retryAfter = retryAfter;
    report.appendTo(response.headers);
    return response;
}

OfferEnd HomeService::admissionOf(const Offer &offer, TimePoint now, Duration &retryAfter)
{
    const UpstreamEntry *own = this->entry();
    if (this->isLeaving(offer, now)) {
        retryAfter = leavingPause;
        return OfferEnd::Leaving;
    }
    this->queue.setSlots(own->slots);
    this->forgetEarlierRun(*own, now);
    retryAfter = this->connectPause.remaining(now);
    if (retryAfter > Duration::zero()) {
        return OfferEnd::Ejected;
    }
    if (offer.isRepeat && !this->mayRepeat(offer, own->service, now)) {
        return OfferEnd::RepeatLimit;
    }
    if (offer.acceptsGray || this->isTrusted(offer, now)) {
        return OfferEnd::Answered;
    }
    if (!offer.mayTry || now - this->lastTrial < trialInterval) {
        retryAfter = std::max<Duration>(this->lastTrial + trialInterval - now, trialInterval / 8);
        return OfferEnd::Ejected;
    }
    this->lastTrial = now;
    return OfferEnd::Answered;
}

void HomeService::forgetEarlierRun(const UpstreamEntry &own, TimePoint now)
{
    if (own.id != this->judgedUpstream || own.startTimeMs != this->judgedBornMs) {
        this->judgedUpstream = own.id;
        this->judgedBornMs = own.startTimeMs;
        this->trust = TrustFilter(now);
        this->connectPause.onSuccess();
        this->slowness = 1;
    }
}

bool HomeService::isLeaving(const Offer &offer, TimePoint now) const
{
    const UpstreamEntry *own = this->entry();
    const bool endsTooLate = this->drainEnd && now + offer.expected * drainSafety > *this->drainEnd;
    return endsTooLate || own == nullptr || own->id != offer.upstream || own->draining;
}

bool HomeService::mayRepeat(const Offer &offer, std::string_view service, TimePoint now) const
{
    std::size_t upstreams = 0;
    for (const auto &[id, entry] : this->view.entries()) {
        upstreams += entry.service == service ? 1 : 0;
    }
    const bool isUrgent = offer.priority <= urgentPriority;
    return this->repeats.remaining(now, upstreams, isUrgent ? 1.0 : lowPriorityUrgency) > 0;
}

bool HomeService::isTrusted(const Offer &offer, TimePoint now) const
{
    return this->trust.grayProbability(offer.failureDomain, now) <= (offer.idempotent ? ejectionLimit : onceOnlyLimit);
}

asio::awaitable<PeerResponse> HomeService::handle(std::shared_ptr<PeerCall> call)
{
    const TimePoint arrival = NodeClock::now();
    const auto offer = Offer::fromHeaders(call->request.headers);
    if (!offer.ok()) {
        this->log.warn("malformed offer", {{"detail", messageOf(offer.status())}});
        PeerResponse response;
        response.status = errorRow(ErrorKind::InvalidRequest).httpStatus;
        co_return response;
    }
    Duration retryAfter{};
    const OfferEnd admission = this->admissionOf(*offer, arrival, retryAfter);
    if (admission != OfferEnd::Answered) {
        co_return this->ended(*offer, admission, retryAfter);
    }
    AdmissionRequest request;
    request.ticket = this->nextTicket++;
    request.priority = offer->priority;
    request.expected = std::chrono::duration_cast<Duration>(offer->expected * this->slowness);
    request.target = offer->target;
    request.deadline = arrival + offer->remaining;
    const OfferEnd waited = co_await this->waitForSlot(request, *call, retryAfter, *offer);
    if (waited != OfferEnd::Answered) {
        co_return this->ended(*offer, waited, retryAfter);
    }
    const ScopeGuard released([this, ticket = request.ticket] {
        this->queue.release(ticket);
        this->advance(NodeClock::now());
    });
    // The upstream may have turned gray while the request waited.
    if (!offer->idempotent && !offer->acceptsGray && !this->isTrusted(*offer, NodeClock::now())) {
        co_return this->ended(*offer, OfferEnd::Ejected, trialInterval);
    }
    if (call->receiveBody && !co_await call->receiveBody(NodeClock::now() + commitTimeout)) {
        co_return this->ended(*offer, OfferEnd::Withdrawn, Duration::zero());
    }
    if (call->cancellation.isRequested()) {
        co_return this->ended(*offer, OfferEnd::Withdrawn, Duration::zero());
    }
    co_return co_await this->run(*offer, *call, request.deadline, request.ticket);
}

asio::awaitable<OfferEnd> HomeService::waitForSlot(const AdmissionRequest &request,
                                                   PeerCall &call,
                                                   Duration &retryAfter,
                                                   const Offer &offer)
{
    const TimePoint now = NodeClock::now();
    const Duration wait = this->queue.estimateWait(request, now);
    if (wait > offer.patience) {
        retryAfter = wait;
        co_return OfferEnd::Busy;
    }
    if (now + wait + request.expected / 2 > request.deadline) {
        retryAfter = wait;
        co_return OfferEnd::Expired;
    }
    const auto waiter = std::make_shared<Waiter>(this->executor);
    this->waiters.emplace(request.ticket, waiter);
    waiter->offer = offer;
    this->queue.push(request);
    call.cancellation.setAction([waiter] {
        waiter->signal.cancel();
    });
    this->advance(now);
    while (!waiter->granted && !waiter->expired && !waiter->handedBack && !call.cancellation.isRequested()) {
        co_await waiter->signal.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    call.cancellation.setAction(nullptr);
    this->waiters.erase(request.ticket);
    if (waiter->granted) {
        co_return OfferEnd::Answered;
    }
    this->queue.remove(request.ticket);
    if (waiter->handedBack) {
        retryAfter = leavingPause;
        co_return OfferEnd::Leaving;
    }
    co_return waiter->expired ? OfferEnd::Expired : OfferEnd::Withdrawn;
}

void HomeService::advance(TimePoint now)
{
    const AdmissionOutcome outcome = this->queue.advance(now);
    for (const std::uint64_t ticket : outcome.granted) {
        const auto waiter = this->waiters.find(ticket);
        if (waiter != this->waiters.end()) {
            waiter->second->granted = true;
            waiter->second->signal.cancel();
        }
    }
    for (const std::uint64_t ticket : outcome.expired) {
        const auto waiter = this->waiters.find(ticket);
        if (waiter != this->waiters.end()) {
            waiter->second->expired = true;
            waiter->second->signal.cancel();
        }
    }
}

PeerRequest HomeService::toUpstreamRequest(const Offer &offer, PeerRequest request, Duration remaining) const
{
    PeerRequest forwarded;
    forwarded.method = std::move(request.method);
    forwarded.path = std::move(request.path);
    forwarded.body = std::move(request.body);
    for (const HeaderField &field : request.headers.all()) {
        const bool isOwn = field.name == this->dialect.remainingMs || field.name == this->dialect.requiredUpstream
                           || field.name == this->dialect.callerService || field.name.starts_with(PeerHeader::prefix);
        if (!isOwn) {
            forwarded.headers.add(field.name, field.value);
        }
    }
    const auto remainingMs = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    forwarded.headers.add(this->dialect.remainingMs, std::to_string(std::max<std::int64_t>(remainingMs, 1)));
    forwarded.headers.add(this->dialect.requiredUpstream, offer.upstream);
    forwarded.headers.add(this->dialect.callerService, offer.callerService);
    return forwarded;
}

asio::awaitable<PeerResponse> HomeService::run(const Offer &offer, PeerCall &call, TimePoint deadline, std::uint64_t ticket)
{
    const TimePoint started = NodeClock::now();
    this->runs.emplace(ticket, Run{started, offer.expected, offer.failureDomain, offer.requestId, false});
    const ScopeGuard finished([this, ticket] {
        this->runs.erase(ticket);
    });
    if (offer.isRepeat) {
        this->repeats.onRepeat(started);
    } else {
        this->repeats.onRequest(started);
    }
    const PeerRequest request = this->toUpstreamRequest(offer, std::move(call.request), deadline - started);
    UpstreamCall upstreamCall;
    if (offer.idempotent) {
        call.cancellation.setAction([&upstreamCall] {
            if (upstreamCall.abort) {
                upstreamCall.abort();
            }
        });
    }
    auto response = co_await this->pool.request(request, offer.requestId, deadline, upstreamCall);
    call.cancellation.setAction(nullptr);
    const TimePoint now = NodeClock::now();
    const OfferEnd end = call.cancellation.isRequested() && !response.ok() ? OfferEnd::Withdrawn : this->classify(response);
    this->learn(offer, end, response.ok() ? response->status : 0, started, now);
    this->log.write(end == OfferEnd::Answered ? LogLevel::Debug : LogLevel::Info,
                    "run ended",
                    {{"request_id", offer.requestId},
                     {"upstream", offer.upstream},
                     {"outcome", offerEndName(end)},
                     {"detail", response.ok() ? std::string("status ") + std::to_string(response->status) : messageOf(response.status())},
                     {"waited_ms", toMilliseconds(started) - (toMilliseconds(deadline) - toMilliseconds(TimePoint(offer.remaining)))},
                     {"ran_ms", toMilliseconds(now) - toMilliseconds(started)},
                     {"running", static_cast<std::int64_t>(this->queue.running())},
                     {"waiting", static_cast<std::int64_t>(this->queue.waiting())},
                     {"idempotent", offer.idempotent ? "yes" : "no"},
                     {"caller_domain", offer.failureDomain},
                     {"gray", this->trust.grayProbability(offer.failureDomain, now)}});
    PeerResponse answer = end == OfferEnd::Answered ? std::move(*response) : PeerResponse();
    OfferReport report;
    report.end = end;
    report.load = this->load(offer.failureDomain, now);
    report.ran = now - started;
    report.appendTo(answer.headers);
    co_return answer;
}

OfferEnd HomeService::classify(const absl::StatusOr<PeerResponse> &response) const
{
    if (response.ok()) {
        if (response->headers.find(this->dialect.notRun) || response->status == misdirected) {
            return OfferEnd::Rejected;
        }
        const bool isSuccess = response->status / 100 == 2;
        return isSuccess && !response->headers.find(this->dialect.upstreamSignature) ? OfferEnd::Broken : OfferEnd::Answered;
    }
    switch (errorKindOf(response.status())) {
    case ErrorKind::UpstreamConnectFailed:
        return OfferEnd::Unconnected;
    case ErrorKind::Cancelled:
        return OfferEnd::Withdrawn;
    case ErrorKind::Timeout:
        return OfferEnd::TimedOut;
    default:
        return OfferEnd::Broken;
    }
}

void HomeService::learn(const Offer &offer, OfferEnd end, unsigned status, TimePoint started, TimePoint now)
{
    const bool nestedFailed = this->lastFailureStarted >= started;
    if (end == OfferEnd::Answered || end == OfferEnd::Rejected) {
        this->shed.observe(end == OfferEnd::Rejected, now);
        this->connectPause.onSuccess();
    }
    switch (end) {
    case OfferEnd::Answered:
        if (status < serverError) {
            this->observe(offer.failureDomain, TrustEvidence::Success, offer.requestId, now);
            // The next trial need not wait, so that a recovered upstream is back after a few requests.
            this->lastTrial = now - trialInterval;
            const double ratio = std::chrono::duration<double>(now - started)
                                 / std::max<std::chrono::duration<double>>(offer.expected, std::chrono::milliseconds(1));
            this->slowness += slownessWeight * (std::clamp(ratio, 0.25, 8.0) - this->slowness);
        } else if (!nestedFailed && status != gatewayTimeout) {
            this->observe(offer.failureDomain, TrustEvidence::Failure, offer.requestId, now);
        }
        break;
    case OfferEnd::Unconnected:
        this->connectPause.onFailure(now);
        break;
    case OfferEnd::Broken:
        this->observe(offer.failureDomain, TrustEvidence::Failure, offer.requestId, now);
        break;
    default:
        break;
    }
}

void HomeService::observe(std::string_view failureDomain, TrustEvidence evidence, std::string_view requestId, TimePoint now)
{
    const std::string_view before = trustName(this->trust.grayProbability(failureDomain, now));
    this->trust.observe(failureDomain, evidence, now);
    const double gray = this->trust.grayProbability(failureDomain, now);
    if (trustName(gray) != before) {
        this->log.info("trust changed",
                       {{"request_id", requestId},
                        {"failure_domain", failureDomain},
                        {"evidence", evidenceName(evidence)},
                        {"before", before},
                        {"after", trustName(gray)},
                        {"gray", gray}});
    }
}

void HomeService::requestFailed(TimePoint started)
{
    this->lastFailureStarted = std::max(this->lastFailureStarted, started);
}

void HomeService::tick(TimePoint now)
{
    for (auto &[ticket, run] : this->runs) {
        const Duration limit = std::max(std::chrono::duration_cast<Duration>(run.expected * overdueFactor), overdueLeast);
        if (!run.countedOverdue && now - run.started > limit) {
            run.countedOverdue = true;
            this->observe(run.failureDomain, TrustEvidence::Overdue, run.requestId, now);
        }
    }
    // A leaving upstream gets no work from its queue either.
    for (const auto &[ticket, waiter] : this->waiters) {
        if (!waiter->granted && this->isLeaving(waiter->offer, now)) {
            waiter->handedBack = true;
            waiter->signal.cancel();
        }
    }
    this->advance(now);
}

HomeLoad HomeService::currentLoad() const
{
    return HomeLoad{
        static_cast<std::uint32_t>(this->queue.running()), static_cast<std::uint32_t>(this->queue.waiting()), this->queue.slotCount()};
}

void HomeService::drainUntil(TimePoint end)
{
    this->drainEnd = end;
}

} // namespace Galenarack
