#include <galenarack/proxy/homeservice.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/scopeguard.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Galenarack {

namespace asio = boost::asio;

namespace {

/// Number of slots assumed until the registry lists the upstream.
constexpr std::uint32_t initialSlots = 1;

/// Above this probability of a gray failure the upstream gets no non-idempotent requests: they can't be repeated, so a failed
/// run is lost.
constexpr double nonIdempotentLimit = 0.25;

/// Above this probability of a gray failure the upstream gets trial requests only.
constexpr double ejectionLimit = 0.6;

/// An ejected upstream gets one idempotent request per interval, to check whether it has recovered.
constexpr Duration trialInterval = std::chrono::milliseconds(1500);

/// Requests of lower priority (a larger number) than this leave part of the retry allowance to more urgent ones.
constexpr std::uint32_t urgentPriority = 1;

/// Share of the retry allowance that requests of low priority may use.
constexpr double lowPriorityUrgency = 0.6;

/// Time within which the ingress has to send the body of a request that was granted a slot. A round trip between failure
/// domains takes a few milliseconds.
constexpr Duration commitTimeout = std::chrono::milliseconds(400);

/// A request that has run for this many times its usual duration counts as overdue.
constexpr double overdueFactor = 5.0;

/// No request counts as overdue before this time, however short its usual duration.
constexpr Duration minOverdueTime = std::chrono::milliseconds(400);

/// Weight of a new sample in the moving average of the slowness.
constexpr double slownessWeight = 0.1;

/// Time after which an ingress may make another offer to a node that is leaving, or whose upstream is.
constexpr Duration leavingRetryDelay = std::chrono::seconds(2);

/// A leaving node accepts work only if this many times its usual duration fits into the time until callers and other nodes know, so
/// that the process seldom runs on for single requests.
constexpr int usualDurationFactor = 2;

/// A limited upstream that has answered nothing for this time is sent a health check.
constexpr Duration limitCheckInterval = std::chrono::seconds(2);

constexpr Duration healthCheckTimeout = std::chrono::seconds(1);

/// Shortest time that is reported until the limit has room.
constexpr Duration minLimitWait = std::chrono::milliseconds(100);

constexpr unsigned serverError = 500;
constexpr unsigned gatewayTimeout = 504;
constexpr unsigned misdirected = 421;

/// @return health state of an upstream with this probability of a gray failure
std::string_view healthStateName(double grayProbability)
{
    return grayProbability > ejectionLimit ? "ejected" : grayProbability > nonIdempotentLimit ? "idempotent-only" : "trusted";
}

std::string_view evidenceName(RequestEvidence evidence)
{
    switch (evidence) {
    case RequestEvidence::Success:
        return "success";
    case RequestEvidence::Failure:
        return "failure";
    case RequestEvidence::Overdue:
        return "overdue";
    }
    return "";
}

UpstreamLimits poolLimits(const Dialect &dialect, std::size_t responseBytes)
{
    UpstreamLimits limits;
    limits.idleConnections = 64;
    limits.bodyBytes = 64 * 1024 * 1024;
    limits.totalBytes = responseBytes;
    limits.requestIdField = dialect.requestId;
    limits.alwaysEchoesId = true;
    limits.codesOnlyOnRequest = true;
    limits.noticeFields = {dialect.requestLimit, dialect.leaving, dialect.upstreamId};
    return limits;
}

} // namespace

HomeService::HomeService(asio::any_io_executor executor,
                         asio::ip::address vm,
                         const asio::ip::tcp::endpoint &upstream,
                         const Dialect &dialect,
                         std::size_t responseBytes,
                         const RetryBound &retry,
                         FleetView &view,
                         RevisionTracker &revisions)
    : executor(std::move(executor))
    , vm(std::move(vm))
    , dialect(dialect)
    , view(view)
    , revisions(revisions)
    , pool(this->executor, upstream, poolLimits(dialect, responseBytes))
    , queue(initialSlots)
    , grayFilter(NodeClock::now())
    , repeats(retry, NodeClock::now())
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
    load.grayProbability = this->grayFilter.grayProbability(failureDomain, now);
    load.slowness = this->slowness;
    load.shedShare = this->rejectedShare.value(now);
    load.limit = this->queue.limit().rate();
    load.limitWait = this->queue.limit().wait(this->queue.waiting(), now).value_or(this->nextLimitCheck(now));
    return load;
}

PeerResponse HomeService::makeNotRunResponse(const Offer &offer, OfferOutcome outcome, Duration retryAfter)
{
    PeerResponse response;
    response.status = errorRow(ErrorKind::Overloaded).httpStatus;
    OfferReport report;
    report.outcome = outcome;
    report.load = this->load(offer.failureDomain, NodeClock::now());
    report.retryAfter = retryAfter;
    report.leaving = this->view.leavingMark(offer.upstream);
    report.registryPosition = this->revisions.applied();
    report.appendTo(response.headers);
    return response;
}

OfferOutcome HomeService::admit(const Offer &offer, TimePoint now, Duration &retryAfter)
{
    const UpstreamEntry *own = this->entry();
    if (this->isLeaving(offer, now + offer.remaining, now)) {
        retryAfter = leavingRetryDelay;
        return OfferOutcome::Leaving;
    }
    this->queue.setSlots(own->slots);
    this->resetHealthOnRestart(*own, now);
    this->adoptLimit(offer, now);
    retryAfter = this->connectPause.remaining(now);
    if (retryAfter > Duration::zero()) {
        return OfferOutcome::Ejected;
    }
    if (offer.isRepeat && !this->mayRepeat(offer, own->service, now)) {
        return OfferOutcome::RepeatLimit;
    }
    if (offer.allowUnhealthy || this->isHealthyEnough(offer, now)) {
        return OfferOutcome::Answered;
    }
    if (!offer.allowTrial || now - this->lastTrial < trialInterval) {
        retryAfter = std::max<Duration>(this->lastTrial + trialInterval - now, trialInterval / 8);
        return OfferOutcome::Ejected;
    }
    this->lastTrial = now;
    return OfferOutcome::Answered;
}

void HomeService::resetHealthOnRestart(const UpstreamEntry &own, TimePoint now)
{
    if (own.id != this->observedUpstream) {
        this->notice = UpstreamNotice();
        this->isNoticeOwn = false;
        this->queue.setLimit(std::nullopt, now);
    }
    if (own.id != this->observedUpstream || own.startTimeMs != this->observedStartMs) {
        // The entry may be older than the last answer, so a limit holds until the next one. That one is asked for at once.
        this->limitCheckedAt = TimePoint();
        this->observedUpstream = own.id;
        this->observedStartMs = own.startTimeMs;
        this->grayFilter = GrayFailureFilter(now);
        this->connectPause.onSuccess();
        this->slowness = 1;
    }
}

void HomeService::adoptLimit(const Offer &offer, TimePoint now)
{
    if (this->isNoticeOwn || !offer.knownLimit || offer.knownLimit == this->notice.limit) {
        return;
    }
    this->log.info("limit adopted", {{"upstream", offer.upstream}, {"limit", *offer.knownLimit}, {"request_id", offer.requestId}});
    this->notice.limit = offer.knownLimit;
    this->queue.setLimit(offer.knownLimit, now);
}

Duration HomeService::nextLimitCheck(TimePoint now) const
{
    return std::max<Duration>(this->limitCheckedAt + limitCheckInterval - now, minLimitWait);
}

bool HomeService::isLeaving(const Offer &offer, TimePoint deadline, TimePoint now) const
{
    const UpstreamEntry *own = this->entry();
    if (own == nullptr || own->id != offer.upstream || own->draining) {
        return true;
    }
    if (!this->drainSchedule) {
        return false;
    }
    // A single run may take much longer than usual; only the deadline bounds it.
    const bool mayOutliveProcess = deadline > this->drainSchedule->workEnd;
    return mayOutliveProcess || now + offer.expected * usualDurationFactor > this->drainSchedule->announced;
}

bool HomeService::mayRepeat(const Offer &offer, std::string_view service, TimePoint now) const
{
    std::size_t upstreams = 0;
    for (const auto &[id, entry] : this->view.entries()) {
        upstreams += entry.service == service ? 1 : 0;
    }
    const bool isUrgent = offer.priority <= urgentPriority;
    return this->repeats.remaining(now, upstreams, isUrgent ? 1.0 : lowPriorityUrgency) > this->waitingRepeats;
}

bool HomeService::isHealthyEnough(const Offer &offer, TimePoint now) const
{
    return this->grayFilter.grayProbability(offer.failureDomain, now) <= (offer.idempotent ? ejectionLimit : nonIdempotentLimit);
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
    this->revisions.onHeard(offer->registryPosition, arrival);
    Duration retryAfter{};
    const OfferOutcome admission = this->admit(*offer, arrival, retryAfter);
    if (admission != OfferOutcome::Answered) {
        co_return this->makeNotRunResponse(*offer, admission, retryAfter);
    }
    bool isSent = false;
    const std::uint32_t repeat = offer->isRepeat ? 1 : 0;
    this->waitingRepeats += repeat;
    const ScopeGuard withdrawn([this, &isSent, repeat] {
        this->waitingRepeats -= isSent ? 0 : repeat;
    });
    AdmissionRequest request;
    request.ticket = this->nextTicket++;
    request.route = offer->route;
    request.priority = offer->priority;
    request.expected = std::chrono::duration_cast<Duration>(offer->expected * this->slowness);
    request.target = offer->target;
    request.deadline = arrival + offer->remaining;
    const OfferOutcome waited = co_await this->waitForSlot(request, *call, retryAfter, *offer);
    if (waited != OfferOutcome::Answered) {
        co_return this->makeNotRunResponse(*offer, waited, retryAfter);
    }
    const ScopeGuard released([this, &isSent, ticket = request.ticket] {
        const TimePoint now = NodeClock::now();
        if (isSent) {
            this->queue.release(ticket, now);
        } else {
            this->queue.withdraw(ticket, now);
        }
        this->advance(now);
    });
    // A gray failure of the upstream may have been detected while the request waited.
    if (!offer->idempotent && !offer->allowUnhealthy && !this->isHealthyEnough(*offer, NodeClock::now())) {
        co_return this->makeNotRunResponse(*offer, OfferOutcome::Ejected, trialInterval);
    }
    if (call->receiveBody && !co_await call->receiveBody(NodeClock::now() + commitTimeout)) {
        co_return this->makeNotRunResponse(*offer, OfferOutcome::Withdrawn, Duration::zero());
    }
    if (call->cancellation.isRequested()) {
        co_return this->makeNotRunResponse(*offer, OfferOutcome::Withdrawn, Duration::zero());
    }
    isSent = true;
    this->waitingRepeats -= repeat;
    co_return co_await this->run(*offer, *call, request.deadline, request.ticket);
}

asio::awaitable<OfferOutcome> HomeService::waitForSlot(const AdmissionRequest &request,
                                                       PeerCall &call,
                                                       Duration &retryAfter,
                                                       const Offer &offer)
{
    const TimePoint now = NodeClock::now();
    const Duration wait = this->queue.estimateWait(request, now);
    if (wait > offer.maxQueueWait) {
        this->limitDeclines += this->queue.limit().hasRoom(now) ? 0 : 1;
        retryAfter = wait == Duration::max() ? this->nextLimitCheck(now) : wait;
        co_return OfferOutcome::Busy;
    }
    if (now + wait + request.expected / 2 > request.deadline) {
        retryAfter = wait;
        co_return OfferOutcome::Expired;
    }
    const auto waiter = std::make_shared<Waiter>(this->executor);
    this->waiters.emplace(request.ticket, waiter);
    waiter->offer = offer;
    waiter->deadline = request.deadline;
    this->queue.push(request);
    call.cancellation.setAction([waiter] {
        waiter->signal.cancel();
    });
    this->advance(now);
    const auto isDecided = [&waiter] {
        return waiter->granted || waiter->expired || waiter->declined || waiter->withoutRoom;
    };
    while (!isDecided() && !call.cancellation.isRequested()) {
        co_await waiter->signal.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    call.cancellation.setAction(nullptr);
    this->waiters.erase(request.ticket);
    if (waiter->granted) {
        co_return OfferOutcome::Answered;
    }
    this->queue.remove(request.ticket);
    if (waiter->declined) {
        retryAfter = leavingRetryDelay;
        co_return OfferOutcome::Leaving;
    }
    if (waiter->withoutRoom) {
        ++this->limitDeclines;
        const TimePoint declined = NodeClock::now();
        retryAfter = this->queue.limit().wait(this->queue.waiting(), declined).value_or(this->nextLimitCheck(declined));
        co_return OfferOutcome::Busy;
    }
    co_return waiter->expired ? OfferOutcome::Expired : OfferOutcome::Withdrawn;
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
    PeerRequest request = this->toUpstreamRequest(offer, std::move(call.request), deadline - started);
    UpstreamCall upstreamCall;
    if (offer.idempotent) {
        call.cancellation.setAction([&upstreamCall] {
            if (upstreamCall.abort) {
                upstreamCall.abort();
            }
        });
    }
    this->listenForNotices(upstreamCall, offer.upstream);
    auto response = co_await this->pool.request(std::move(request), offer.requestId, deadline, upstreamCall);
    call.cancellation.setAction(nullptr);
    if (response.ok()) {
        // Fields with the prefix of nodes come from homes alone.
        response->headers.removeWithPrefix(PeerHeader::prefix);
    }
    const TimePoint now = NodeClock::now();
    const OfferOutcome outcome = call.cancellation.isRequested() && !response.ok() ? OfferOutcome::Withdrawn : this->classify(response);
    const unsigned status = response.ok() ? response->status : 0;
    this->recordOutcome(offer, outcome, status, started, now);
    const bool isOrdinary = outcome == OfferOutcome::Answered && status < serverError;
    this->log.write(isOrdinary ? LogLevel::Debug : LogLevel::Info,
                    "run ended",
                    {{"request_id", offer.requestId},
                     {"upstream", offer.upstream},
                     {"outcome", offerOutcomeName(outcome)},
                     {"detail", response.ok() ? std::string("status ") + std::to_string(status) : messageOf(response.status())},
                     {"states_not_run", response.ok() && response->headers.find(this->dialect.notRun) ? "yes" : "no"},
                     {"waited_ms", toMilliseconds(started) - (toMilliseconds(deadline) - toMilliseconds(TimePoint(offer.remaining)))},
                     {"ran_ms", toMilliseconds(now) - toMilliseconds(started)},
                     {"running", static_cast<std::int64_t>(this->queue.running())},
                     {"waiting", static_cast<std::int64_t>(this->queue.waiting())},
                     {"idempotent", offer.idempotent ? "yes" : "no"},
                     {"caller_domain", offer.failureDomain},
                     {"gray", this->grayFilter.grayProbability(offer.failureDomain, now)}});
    PeerResponse answer = outcome == OfferOutcome::Answered ? std::move(*response) : PeerResponse();
    OfferReport report;
    report.outcome = outcome;
    report.load = this->load(offer.failureDomain, now);
    report.runDuration = now - started;
    report.leaving = this->view.leavingMark(offer.upstream);
    report.registryPosition = this->revisions.applied();
    report.appendTo(answer.headers);
    co_return answer;
}

OfferOutcome HomeService::classify(const absl::StatusOr<PeerResponse> &response) const
{
    if (response.ok()) {
        if (response->headers.find(this->dialect.notRun) || response->status == misdirected) {
            return OfferOutcome::Rejected;
        }
        if (this->dialect.impliesNotRun(response->status)) {
            return OfferOutcome::Ambiguous;
        }
        const bool isSuccess = response->status / 100 == 2;
        return isSuccess && !response->headers.find(this->dialect.upstreamSignature) ? OfferOutcome::Broken : OfferOutcome::Answered;
    }
    switch (errorKindOf(response.status())) {
    case ErrorKind::UpstreamConnectFailed:
        return OfferOutcome::Unconnected;
    case ErrorKind::Cancelled:
        return OfferOutcome::Withdrawn;
    case ErrorKind::Timeout:
        return OfferOutcome::TimedOut;
    default:
        return OfferOutcome::Broken;
    }
}

void HomeService::recordOutcome(const Offer &offer, OfferOutcome outcome, unsigned status, TimePoint started, TimePoint now)
{
    const bool nestedRequestFailed = this->lastLocalFailureStart >= started;
    const bool isResponse = outcome == OfferOutcome::Answered || outcome == OfferOutcome::Ambiguous || outcome == OfferOutcome::Rejected;
    if (isResponse) {
        this->rejectedShare.observe(outcome == OfferOutcome::Rejected, now);
        this->connectPause.onSuccess();
    }
    switch (outcome) {
    case OfferOutcome::Answered:
        if (status < serverError) {
            this->observe(offer.failureDomain, RequestEvidence::Success, offer.requestId, now);
            this->queue.recordDuration(offer.route, now - started);
            // Allow the next trial at once, so that a recovered upstream is reinstated after a few requests.
            this->lastTrial = now - trialInterval;
            const double ratio = std::chrono::duration<double>(now - started)
                                 / std::max<std::chrono::duration<double>>(offer.expected, std::chrono::milliseconds(1));
            this->slowness += slownessWeight * (std::clamp(ratio, 0.25, 8.0) - this->slowness);
        } else if (!nestedRequestFailed && status != gatewayTimeout) {
            this->observe(offer.failureDomain, RequestEvidence::Failure, offer.requestId, now);
        }
        break;
    case OfferOutcome::Ambiguous:
        if (!nestedRequestFailed) {
            this->observe(offer.failureDomain, RequestEvidence::Failure, offer.requestId, now);
        }
        break;
    case OfferOutcome::Unconnected:
        this->connectPause.onFailure(now);
        break;
    case OfferOutcome::Broken:
        this->observe(offer.failureDomain, RequestEvidence::Failure, offer.requestId, now);
        break;
    default:
        break;
    }
}

void HomeService::onNotice(std::string_view upstream, const UpstreamNotice &notice)
{
    if (upstream != this->observedUpstream) {
        return;
    }
    const TimePoint now = NodeClock::now();
    this->isNoticeOwn = true;
    this->limitCheckedAt = now;
    if (notice == this->notice) {
        return;
    }
    this->log.info("upstream notice",
                   {{"upstream", upstream},
                    {"limit", notice.limit.value_or(-1)},
                    {"limit_before", this->notice.limit.value_or(-1)},
                    {"leaving", notice.leaving ? "yes" : "no"},
                    {"leaving_before", this->notice.leaving ? "yes" : "no"},
                    {"running", static_cast<std::int64_t>(this->queue.running())},
                    {"waiting", static_cast<std::int64_t>(this->queue.waiting())}});
    if (notice.limit != this->notice.limit) {
        this->queue.setLimit(notice.limit, now);
        this->advance(now);
    }
    this->notice = notice;
}

void HomeService::listenForNotices(UpstreamCall &call, std::string upstream)
{
    const LeavingMark mark{this->observedStartMs, unixMilliseconds()};
    call.onHeader = [this, mark, upstream = std::move(upstream)](unsigned status, const HeaderList &notices) {
        // Another upstream may have the address by now. It rejects requests as misdirected, and names itself in health checks.
        if (status == misdirected || notices.find(this->dialect.upstreamId).value_or(upstream) != upstream) {
            return;
        }
        const UpstreamNotice notice = UpstreamNotice::fromHeaders(notices, this->dialect);
        if (notice.leaving) {
            this->view.markLeaving(upstream, mark);
        }
        this->onNotice(upstream, notice);
    };
}

void HomeService::checkLimit(TimePoint now)
{
    const UpstreamEntry *own = this->entry();
    const bool isDue = this->queue.limit().rate() && this->runs.empty() && now - this->limitCheckedAt >= limitCheckInterval;
    if (!isDue || own == nullptr || own->id != this->observedUpstream || !this->view.config()) {
        return;
    }
    const TrafficService *service = this->view.config()->findService(own->service);
    if (service == nullptr) {
        return;
    }
    this->limitCheckedAt = now;
    this->queue.recordProbe(now);
    asio::co_spawn(
        this->executor,
        [this, id = own->id, path = service->healthPath]() -> asio::awaitable<void> {
            co_await this->sendHealthCheck(id, path);
        },
        asio::detached);
}

asio::awaitable<void> HomeService::sendHealthCheck(std::string upstream, std::string path)
{
    PeerRequest request;
    request.method = "GET";
    request.path = std::move(path);
    request.headers.add(this->dialect.requiredUpstream, upstream);
    UpstreamCall call;
    this->listenForNotices(call, std::move(upstream));
    const auto response = co_await this->pool.request(std::move(request), "", NodeClock::now() + healthCheckTimeout, call);
    if (!response.ok()) {
        this->log.info("limit not checked", {{"detail", messageOf(response.status())}});
    }
}

void HomeService::observe(std::string_view failureDomain, RequestEvidence evidence, std::string_view requestId, TimePoint now)
{
    const std::string_view before = healthStateName(this->grayFilter.grayProbability(failureDomain, now));
    this->grayFilter.observe(failureDomain, evidence, now);
    const double gray = this->grayFilter.grayProbability(failureDomain, now);
    if (healthStateName(gray) != before) {
        this->log.info("trust changed",
                       {{"request_id", requestId},
                        {"failure_domain", failureDomain},
                        {"evidence", evidenceName(evidence)},
                        {"before", before},
                        {"after", healthStateName(gray)},
                        {"gray", gray}});
    }
}

void HomeService::recordLocalFailure(TimePoint started)
{
    this->lastLocalFailureStart = std::max(this->lastLocalFailureStart, started);
}

void HomeService::tick(TimePoint now)
{
    for (auto &[ticket, run] : this->runs) {
        const Duration limit = std::max(std::chrono::duration_cast<Duration>(run.expected * overdueFactor), minOverdueTime);
        if (!run.countedOverdue && now - run.started > limit) {
            run.countedOverdue = true;
            this->observe(run.failureDomain, RequestEvidence::Overdue, run.requestId, now);
        }
    }
    const std::optional<Duration> firstRoom = this->queue.limit().wait(0, now);
    for (const auto &[ticket, waiter] : this->waiters) {
        if (waiter->granted) {
            continue;
        }
        // A leaving upstream gets no queued requests either.
        waiter->declined = this->isLeaving(waiter->offer, waiter->deadline, now);
        // The limit may have fallen while the request waited.
        waiter->withoutRoom = !firstRoom || *firstRoom > waiter->offer.maxQueueWait;
        if (waiter->declined || waiter->withoutRoom) {
            waiter->signal.cancel();
        }
    }
    this->advance(now);
    this->checkLimit(now);
}

HomeLoad HomeService::currentLoad() const
{
    HomeLoad load;
    load.inFlight = static_cast<std::uint32_t>(this->queue.running());
    load.queued = static_cast<std::uint32_t>(this->queue.waiting());
    load.slots = this->queue.slotCount();
    load.limit = this->queue.limit().rate();
    load.limitDeclines = this->limitDeclines;
    return load;
}

void HomeService::drain(const DrainSchedule &schedule)
{
    this->drainSchedule = schedule;
}

} // namespace Galenarack
