#include <galenarack/proxy/requestrouter.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/scopeguard.h>
#include <galenarack/policy/admissionqueue.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Galenarack {

namespace asio = boost::asio;

namespace {

/// A request that has been declined by this many homes is queued at the best of their upstreams.
constexpr unsigned offersBeforeQueueing = 4;

/// Maximum number of offers of one request; each costs one round trip between nodes.
constexpr unsigned offerLimit = 9;

/// Longest wait for a slot while the request can still be offered to other upstreams, as a share of the latency target.
constexpr double queueWaitShare = 0.1;

/// An idempotent request without a response is hedged to a second upstream after this many times its usual duration.
constexpr double hedgeDelayFactor = 2.5;
constexpr Duration minHedgeDelay = std::chrono::milliseconds(80);

/// Callers honour a Retry-After of at most a third of the time that is left until their deadline.
constexpr int retryAfterShare = 3;
constexpr Duration minRetryAfter = std::chrono::milliseconds(100);

/// Retry-After while no destination of a route has a weight. Only a change of the configuration ends that.
constexpr Duration unroutedRetryAfter = std::chrono::seconds(1);

constexpr unsigned serverError = 500;

/// Timeout of a route that sets none.
constexpr Duration defaultTimeout = std::chrono::seconds(30);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// @return the response of an upstream without the header fields that only nodes exchange, or that only concern nodes
PeerResponse toCallerResponse(PeerResponse upstreamResponse, const Dialect &dialect)
{
    PeerResponse response;
    response.status = upstreamResponse.status;
    response.body = std::move(upstreamResponse.body);
    for (const HeaderField &field : upstreamResponse.headers.all()) {
        const bool isForNodes
            = field.name.starts_with(PeerHeader::prefix) || field.name == dialect.requestLimit || field.name == dialect.leaving;
        if (!isForNodes && field.name != "content-length") {
            response.headers.add(field.name, field.value);
        }
    }
    return response;
}

/// @return a Retry-After that callers honour, at least minRetryAfter while there is time for it
Duration honouredRetryAfter(TimePoint deadline, Duration wait, TimePoint now)
{
    const Duration atLeast = std::max(wait, minRetryAfter);
    return deadline > now ? std::min<Duration>(atLeast, (deadline - now) / retryAfterShare) : atLeast;
}

/// Appends the report of a home that declined a request, such as "i-7 busy wait_ms=300 gray=0.02 age_ms=2".
/// @param text summary to append to; about 1000 bytes at most, later reports are left out
/// @param age time since the offer was started
void appendDecline(std::string &text, std::string_view upstream, const OfferReport &report, Duration age)
{
    constexpr std::size_t maxLength = 1000;
    if (text.size() > maxLength) {
        return;
    }
    std::array<char, 96> values{};
    std::snprintf(values.data(),
                  values.size(),
                  " wait_ms=%.0f gray=%.2f age_ms=%.0f",
                  seconds(report.retryAfter) * 1000,
                  report.load.grayProbability,
                  seconds(age) * 1000);
    text.append(text.empty() ? "" : "; ").append(upstream).append(" ").append(offerOutcomeName(report.outcome)).append(values.data());
}

} // namespace

RequestRouter::RequestRouter(asio::any_io_executor executor,
                             RouterSettings settings,
                             const Dialect &dialect,
                             FleetView &view,
                             HomeService &home,
                             PeerLinks &links,
                             RevisionTracker &revisions,
                             Metrics &metrics,
                             std::mt19937_64 random)
    : executor(std::move(executor))
    , settings(std::move(settings))
    , dialect(dialect)
    , view(view)
    , home(home)
    , links(links)
    , revisions(revisions)
    , metrics(metrics)
    , random(random)
    , placement(this->settings.failureDomain, std::mt19937_64(this->random()))
{
}

asio::awaitable<PeerResponse> RequestRouter::route(CallerRequest request, std::shared_ptr<Cancellation> cancellation, bool isConfigCurrent)
{
    const auto context = std::make_shared<RequestContext>(this->executor, std::move(request));
    this->open.insert(context);
    const ScopeGuard finished([this, context] {
        this->open.erase(context);
    });
    context->cancellation = std::move(cancellation);
    PeerResponse refusal;
    if (!this->prepare(*context, refusal, isConfigCurrent)) {
        co_return refusal;
    }
    // The context owns the cancellation, so a shared pointer here would be a reference cycle.
    const std::weak_ptr<RequestContext> weak = context;
    context->cancellation->setAction([weak] {
        if (const auto open = weak.lock()) {
            open->wake.cancel();
        }
    });
    PeerResponse response = co_await this->run(context);
    context->cancellation->setAction(nullptr);
    if (response.status >= serverError) {
        this->home.recordLocalFailure(context->started);
    }
    co_return response;
}

bool RequestRouter::prepare(RequestContext &context, PeerResponse &refusal, bool isConfigCurrent)
{
    const TimePoint now = NodeClock::now();
    context.started = now;
    context.id = std::string(context.request.headers.find(this->dialect.requestId).value_or(""));
    context.config = this->view.config();
    if (!context.config) {
        refusal = this->refuse(context, ErrorKind::NotReady, minRetryAfter);
        return false;
    }
    const std::string_view host = context.request.headers.find("host").value_or("");
    context.route = context.config->find(host, context.request.target);
    if (context.route == nullptr) {
        // A node that may have missed a change must not report a route as unknown that was added since.
        refusal = this->refuse(context, isConfigCurrent ? ErrorKind::RouteNotFound : ErrorKind::NotReady, minRetryAfter);
        return false;
    }
    const TrafficRoute &route = *context.route;
    Duration allowed = route.timeout > Duration::zero() ? route.timeout : defaultTimeout;
    if (const auto remaining = context.request.headers.findNumber(this->dialect.remainingMs)) {
        constexpr std::int64_t most = 24LL * 3600 * 1000;
        allowed = std::min<Duration>(allowed, std::chrono::milliseconds(std::clamp<std::int64_t>(*remaining, 1, most)));
    }
    context.deadline = now + allowed;
    context.targetDeadline = now + route.targetLatency;
    context.expected = this->durations.usual(route.name, route.targetLatency);
    const auto split = this->splits.try_emplace(route.name, static_cast<std::uint32_t>(this->random())).first;
    const std::optional<std::size_t> destination = split->second.next(route.destinations);
    if (!destination) {
        refusal = this->refuse(context, ErrorKind::NoUpstream, honouredRetryAfter(context.deadline, unroutedRetryAfter, now));
        return false;
    }
    context.service = route.destinations[*destination].service;
    return true;
}

void RequestRouter::drain(const DrainSchedule &schedule)
{
    this->drainSchedule = schedule;
}

bool RequestRouter::mayStart(const RequestContext &context, TimePoint now) const
{
    return !this->drainSchedule || this->drainSchedule->mayStart(context.deadline, now);
}

void RequestRouter::refreshEntries(TimePoint now)
{
    if (this->viewGeneration == this->view.generation()) {
        return;
    }
    this->viewGeneration = this->view.generation();
    std::vector<UpstreamEntry> entries;
    for (const auto &[id, entry] : this->view.entries()) {
        const UpstreamEntry *newest = this->view.findOnVm(entry.address.address());
        if (newest == &entry) {
            entries.push_back(entry);
        }
    }
    this->placement.setEntries(entries, now);
    std::vector<std::string> services;
    std::vector<std::string> upstreams;
    for (const UpstreamEntry &entry : entries) {
        upstreams.push_back(entry.id);
        if (std::ranges::find(services, entry.service) == services.end()) {
            services.push_back(entry.service);
        }
    }
    this->metrics.setLabels(services, upstreams);
}

asio::awaitable<PeerResponse> RequestRouter::run(std::shared_ptr<RequestContext> context)
{
    if (!this->startAttempt(context, false)) {
        co_return this->fail(*context, false);
    }
    for (;;) {
        const TimePoint now = NodeClock::now();
        if (context->cancellation->isRequested()) {
            this->cancelAttempts(*context);
            co_return this->refuse(*context, ErrorKind::Cancelled, Duration::zero());
        }
        const auto ended = std::ranges::find_if(context->attempts, [](const std::shared_ptr<Attempt> &attempt) {
            return attempt->done && !attempt->handled;
        });
        if (ended != context->attempts.end()) {
            const std::shared_ptr<Attempt> attempt = *ended;
            attempt->handled = true;
            const NextStep step = this->handleResult(*context, *attempt);
            if (step == NextStep::Respond) {
                this->cancelAttempts(*context);
                co_return this->respond(*context, *attempt);
            }
            const bool mayTryNext = step == NextStep::TryNext && now < context->deadline;
            const bool isAnyOpen = (mayTryNext && this->startAttempt(context, false)) || this->hasOpenAttempt(*context);
            if (!isAnyOpen) {
                co_return this->fail(*context, now >= context->deadline);
            }
            continue;
        }
        if (now >= context->deadline || (!this->mayStart(*context, now) && !this->isRunning(*context))) {
            this->cancelAttempts(*context);
            co_return this->fail(*context, now >= context->deadline);
        }
        const std::optional<TimePoint> hedgeAt = this->hedgeTime(*context);
        if (hedgeAt && now >= *hedgeAt) {
            this->startHedge(context);
            continue;
        }
        context->wake.expires_after((hedgeAt ? std::min(*hedgeAt, context->deadline) : context->deadline) - now);
        co_await context->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

bool RequestRouter::hasOpenAttempt(const RequestContext &context) const
{
    return std::ranges::any_of(context.attempts, [](const std::shared_ptr<Attempt> &attempt) {
        return !attempt->done;
    });
}

bool RequestRouter::isRunning(const RequestContext &context) const
{
    return std::ranges::any_of(context.attempts, [](const std::shared_ptr<Attempt> &attempt) {
        return !attempt->done && attempt->progress.committed;
    });
}

void RequestRouter::tickDrain(TimePoint now)
{
    for (const auto &context : this->open) {
        if (!this->mayStart(*context, now)) {
            context->wake.cancel();
        }
    }
}

void RequestRouter::logCutRequests(TimePoint now) const
{
    if (!this->drainSchedule) {
        return;
    }
    const auto milliseconds = [](Duration duration) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    };
    for (const auto &context : this->open) {
        if (context->route == nullptr) {
            continue;
        }
        const auto running = std::ranges::find_if(context->attempts, [](const std::shared_ptr<Attempt> &attempt) {
            return !attempt->done && attempt->progress.committed;
        });
        const bool isRunning = running != context->attempts.end();
        const TimePoint passedOn = isRunning ? (*running)->progress.committedAt : now;
        this->log.warn("request cut",
                       {{"request_id", context->id},
                        {"route", context->route->name},
                        {"upstream", isRunning ? std::string_view((*running)->upstream) : std::string_view()},
                        {"idempotent", context->route->idempotent ? "yes" : "no"},
                        {"received_ms", milliseconds(context->started - this->drainSchedule->started)},
                        {"waited_ms", milliseconds(passedOn - context->started)},
                        {"ran_ms", milliseconds(now - passedOn)},
                        {"expected_ms", milliseconds(context->expected)},
                        {"left_ms", milliseconds(context->deadline - now)}});
    }
}

std::optional<TimePoint> RequestRouter::hedgeTime(const RequestContext &context) const
{
    if (context.hedged || !context.route->idempotent) {
        return std::nullopt;
    }
    std::optional<TimePoint> due;
    for (const auto &attempt : context.attempts) {
        if (!attempt->done && attempt->progress.committed) {
            const auto usual = std::chrono::duration_cast<Duration>(context.expected * hedgeDelayFactor);
            const TimePoint at = attempt->progress.committedAt + std::max(usual, minHedgeDelay);
            due = due ? std::min(*due, at) : at;
        }
    }
    return due;
}

void RequestRouter::startHedge(const std::shared_ptr<RequestContext> &context)
{
    context->hedged = true;
    if (this->mayRepeat(*context) && this->startAttempt(context, true)) {
        this->metrics.countHedge(context->service);
    }
}

Duration RequestRouter::maxQueueWait(const RequestContext &context, TimePoint now) const
{
    return longestUsefulWait(context.route->targetLatency, context.deadline - now - context.expected);
}

bool RequestRouter::hasUnhandledAttempt(const RequestContext &context, std::string_view upstream)
{
    return std::ranges::any_of(context.attempts, [upstream](const std::shared_ptr<Attempt> &attempt) {
        return !attempt->handled && attempt->upstream == upstream;
    });
}

std::vector<std::string> RequestRouter::unavailableUpstreams(const RequestContext &context)
{
    std::vector<std::string> upstreams = context.excluded;
    for (const auto &attempt : context.attempts) {
        if (!attempt->handled) {
            upstreams.push_back(attempt->upstream);
        }
    }
    return upstreams;
}

RequestRouter::Target RequestRouter::chooseTarget(RequestContext &context, bool isHedge)
{
    const TimePoint now = NodeClock::now();
    this->refreshEntries(now);
    PlacementRequest request;
    request.service = context.service;
    request.idempotent = context.route->idempotent;
    request.expected = context.expected;
    request.target = context.route->targetLatency;
    request.allowTrial = request.idempotent && !isHedge && context.offers == 0 && context.route->maxAttempts > 1;
    if (context.sentTo.size() >= context.route->maxAttempts) {
        return isHedge ? Target() : this->chooseRejectingUpstream(context, now);
    }
    std::vector<std::string> excluded = unavailableUpstreams(context);
    for (const DeclinedOffer &declinedOffer : context.declinedOffers) {
        excluded.push_back(declinedOffer.upstream);
    }
    Target target;
    target.allowTrial = request.allowTrial;
    target.maxQueueWait = isHedge ? Duration::zero() : std::chrono::duration_cast<Duration>(context.route->targetLatency * queueWaitShare);
    request.maxLimitWait = target.maxQueueWait;
    if (context.declinedOffers.size() < offersBeforeQueueing) {
        target.upstream = this->placement.choose(request, excluded, now);
    }
    return target.upstream != nullptr || isHedge ? target : this->chooseFallback(context, request, now);
}

RequestRouter::Target RequestRouter::chooseRejectingUpstream(RequestContext &context, TimePoint now)
{
    // The limit on upstreams that receive the request is reached, but one that only rejected it may be tried again.
    Target target;
    target.maxQueueWait = this->maxQueueWait(context, now);
    target.allowUnhealthy = true;
    for (const std::string &upstream : context.rejectedBy) {
        UpstreamView *candidate = this->placement.find(upstream);
        if (candidate != nullptr && !hasUnhandledAttempt(context, upstream) && !candidate->entry.draining
            && now >= candidate->unreachableUntil && candidate->remainingLimitWait(now) <= target.maxQueueWait) {
            target.upstream = candidate;
        }
    }
    return target;
}

RequestRouter::Target RequestRouter::chooseFallback(RequestContext &context, PlacementRequest request, TimePoint now)
{
    Target target;
    target.allowUnhealthy = true;
    target.maxQueueWait = this->maxQueueWait(context, now);
    std::vector<std::string> listed = unavailableUpstreams(context);
    for (const DeclinedOffer &declinedOffer : context.declinedOffers) {
        listed.push_back(declinedOffer.upstream);
    }
    for (DeclinedOffer &limited : this->placement.limitedOffers(request, listed, now)) {
        context.limitWait = std::min(context.limitWait.value_or(limited.wait), limited.wait);
        context.declinedOffers.push_back(std::move(limited));
    }
    while (!context.declinedOffers.empty()) {
        const auto chosen = Placement::chooseDeclinedOffer(request, context.declinedOffers, target.maxQueueWait);
        if (!chosen) {
            // Refuse at once: the waits are too long for a useful response, or the run would probably fail.
            context.lastOutcome = OfferOutcome::Expired;
            return {};
        }
        UpstreamView *candidate = this->placement.find(context.declinedOffers[*chosen].upstream);
        context.excluded.push_back(context.declinedOffers[*chosen].upstream);
        context.declinedOffers.erase(context.declinedOffers.begin() + static_cast<std::ptrdiff_t>(*chosen));
        if (candidate != nullptr && !candidate->entry.draining && now >= candidate->unreachableUntil) {
            target.upstream = candidate;
            return target;
        }
    }
    request.allowUnhealthy = true;
    target.upstream = this->placement.choose(request, unavailableUpstreams(context), now);
    return target;
}

bool RequestRouter::startAttempt(const std::shared_ptr<RequestContext> &context, bool isHedge)
{
    if (context->offers >= offerLimit || !this->mayStart(*context, NodeClock::now())) {
        return false;
    }
    const Target target = this->chooseTarget(*context, isHedge);
    if (target.upstream == nullptr) {
        return false;
    }
    ++context->offers;
    ++target.upstream->outstanding;
    const auto attempt = std::make_shared<Attempt>();
    attempt->upstream = target.upstream->entry.id;
    attempt->started = NodeClock::now();
    attempt->progress.onCommitted = [weak = std::weak_ptr<RequestContext>(context)] {
        if (const auto open = weak.lock()) {
            open->wake.cancel();
        }
    };
    context->attempts.push_back(attempt);
    PeerRequest request = this->makeOffer(*context, target);
    asio::co_spawn(
        this->executor,
        [this, context, attempt, offer = std::move(request)]() mutable -> asio::awaitable<void> {
            co_await this->runAttempt(context, attempt, std::move(offer));
        },
        asio::detached);
    return true;
}

PeerRequest RequestRouter::makeOffer(const RequestContext &context, const Target &target) const
{
    const TimePoint now = NodeClock::now();
    Offer offer;
    offer.upstream = target.upstream->entry.id;
    offer.requestId = context.id;
    offer.route = context.route->name;
    offer.idempotent = context.route->idempotent;
    offer.allowUnhealthy = target.allowUnhealthy;
    offer.allowTrial = target.allowTrial;
    offer.isRepeat = !context.sentTo.empty() || context.hedged;
    offer.priority = context.route->priority;
    offer.remaining = context.deadline - now;
    offer.target = context.route->targetLatency;
    offer.expected = context.expected;
    offer.maxQueueWait = target.maxQueueWait;
    offer.callerService = this->settings.service;
    offer.failureDomain = this->settings.failureDomain;
    offer.registryPosition = this->revisions.applied();
    offer.knownLimit = target.upstream->load.limit;
    PeerRequest request;
    request.method = context.request.method;
    request.path = context.request.target;
    request.body = context.request.body;
    for (const HeaderField &field : context.request.headers.all()) {
        const bool isOwn = field.name.starts_with(PeerHeader::prefix) || field.name == this->dialect.remainingMs
                           || field.name == this->dialect.requiredUpstream || field.name == this->dialect.callerService
                           || field.name == "expect" || field.name == "content-length";
        if (!isOwn) {
            request.headers.add(field.name, field.value);
        }
    }
    offer.appendTo(request.headers);
    return request;
}

asio::awaitable<void> RequestRouter::runAttempt(std::shared_ptr<RequestContext> context,
                                                std::shared_ptr<Attempt> attempt,
                                                PeerRequest request)
{
    const UpstreamEntry *entry = this->view.find(attempt->upstream);
    const asio::ip::address vm = entry != nullptr ? entry->address.address() : asio::ip::address();
    if (vm == this->settings.vm) {
        attempt->result = co_await this->runLocally(*attempt, std::move(request));
    } else {
        attempt->result
            = co_await this->links.exchange(vm, std::move(request), context->deadline, attempt->cancellation, attempt->progress);
    }
    attempt->done = true;
    if (attempt->result.ok()) {
        attempt->report = OfferReport::fromHeaders(attempt->result->headers);
        // Homes of an earlier release report such a response as answered.
        if (attempt->report && attempt->report->outcome == OfferOutcome::Answered && this->dialect.impliesNotRun(attempt->result->status)) {
            attempt->report->outcome = OfferOutcome::Ambiguous;
        }
    }
    this->recordOutcome(*context, *attempt);
    context->wake.cancel();
}

asio::awaitable<PeerResponse> RequestRouter::runLocally(Attempt &attempt, PeerRequest request)
{
    const auto call = std::make_shared<PeerCall>();
    call->request = std::move(request);
    call->receiveBody = [&attempt](TimePoint) -> asio::awaitable<bool> {
        attempt.progress.committed = true;
        attempt.progress.committedAt = NodeClock::now();
        attempt.progress.onCommitted();
        co_return true;
    };
    attempt.cancellation->setAction([call] {
        call->cancellation.request();
    });
    PeerResponse response = co_await this->home.handle(call);
    attempt.cancellation->setAction(nullptr);
    co_return response;
}

void RequestRouter::recordOutcome(const RequestContext &context, const Attempt &attempt)
{
    const TimePoint now = NodeClock::now();
    if (UpstreamView *upstream = this->placement.find(attempt.upstream); upstream != nullptr && upstream->outstanding > 0) {
        --upstream->outstanding;
    }
    if (attempt.report) {
        this->revisions.onHeard(attempt.report->registryPosition, now);
        this->placement.report(attempt.upstream, attempt.report->load, now);
        if (attempt.report->leaving) {
            this->view.markLeaving(attempt.upstream, *attempt.report->leaving);
        }
        if (attempt.report->outcome == OfferOutcome::Ejected) {
            this->placement.reportEjected(attempt.upstream, attempt.report->retryAfter, now);
        }
        if (attempt.report->outcome == OfferOutcome::Answered && attempt.result->status / 100 == 2) {
            this->durations.observe(context.route->name, attempt.report->runDuration);
        }
    } else if (!attempt.result.ok() && !attempt.cancellation->isRequested() && errorKindOf(attempt.result.status()) != ErrorKind::Timeout) {
        this->placement.reportPathFailure(attempt.upstream, now);
    }
}

RequestRouter::NextStep RequestRouter::handleResult(RequestContext &context, Attempt &attempt)
{
    if (!attempt.result.ok()) {
        context.excluded.push_back(attempt.upstream);
        const ErrorKind kind = errorKindOf(attempt.result.status());
        const bool mayHaveRun = kind != ErrorKind::PeerUnreachable;
        this->log.info("attempt failed",
                       {{"request_id", context.id},
                        {"upstream", attempt.upstream},
                        {"error_kind", errorRow(kind).name},
                        {"detail", messageOf(attempt.result.status())},
                        {"committed", attempt.progress.committed ? "yes" : "no"}});
        context.lastOutcome = mayHaveRun ? OfferOutcome::Broken : OfferOutcome::Unconnected;
        return mayHaveRun ? this->handleSent(context, attempt, true) : NextStep::TryNext;
    }
    if (!attempt.report) {
        return this->handleSent(context, attempt, true);
    }
    context.lastOutcome = attempt.report->outcome;
    switch (attempt.report->outcome) {
    case OfferOutcome::Answered:
        if (attempt.result->status < serverError || !context.route->idempotent) {
            return NextStep::Respond;
        }
        context.failure = attempt.result.value();
        return this->handleSent(context, attempt, true);
    case OfferOutcome::Busy:
    case OfferOutcome::Ejected:
    case OfferOutcome::Leaving:
    case OfferOutcome::Expired:
    case OfferOutcome::Unconnected:
    case OfferOutcome::RepeatLimit:
        return this->handleDeclined(context, attempt);
    case OfferOutcome::Rejected:
        return this->handleSent(context, attempt, false);
    case OfferOutcome::Broken:
    case OfferOutcome::TimedOut:
        return this->handleSent(context, attempt, true);
    case OfferOutcome::Ambiguous:
        context.uncertainKind = ErrorKind::UpstreamAnswerAmbiguous;
        return this->handleSent(context, attempt, true);
    case OfferOutcome::Withdrawn:
        context.excluded.push_back(attempt.upstream);
        return NextStep::TryNext;
    }
    return NextStep::Fail;
}

RequestRouter::NextStep RequestRouter::handleDeclined(RequestContext &context, const Attempt &attempt)
{
    const OfferReport &report = *attempt.report;
    appendDecline(context.declineSummary, attempt.upstream, report, NodeClock::now() - attempt.started);
    if (report.outcome == OfferOutcome::Busy || report.outcome == OfferOutcome::Ejected) {
        DeclinedOffer declinedOffer;
        declinedOffer.upstream = attempt.upstream;
        declinedOffer.wait = report.outcome == OfferOutcome::Busy ? report.retryAfter : Duration::zero();
        declinedOffer.grayProbability = report.load.grayProbability;
        if (report.load.limit && report.load.limitWait > Duration::zero()) {
            context.limitWait = std::min(context.limitWait.value_or(declinedOffer.wait), declinedOffer.wait);
        } else {
            context.retryAfter = std::max(context.retryAfter, declinedOffer.wait);
        }
        // If a home declines a second time, the estimates of its first report no longer hold.
        if (std::ranges::find(context.excluded, attempt.upstream) == context.excluded.end()) {
            context.declinedOffers.push_back(std::move(declinedOffer));
        }
    } else {
        context.excluded.push_back(attempt.upstream);
    }
    return NextStep::TryNext;
}

RequestRouter::NextStep RequestRouter::handleSent(RequestContext &context, const Attempt &attempt, bool mayHaveRun)
{
    if (std::ranges::find(context.sentTo, attempt.upstream) == context.sentTo.end()) {
        context.sentTo.push_back(attempt.upstream);
    }
    if (mayHaveRun) {
        context.mayHaveRun = true;
        context.excluded.push_back(attempt.upstream);
        std::erase(context.rejectedBy, attempt.upstream);
        if (!context.route->idempotent) {
            return NextStep::Fail;
        }
    } else if (std::ranges::find(context.rejectedBy, attempt.upstream) == context.rejectedBy.end()) {
        context.rejectedBy.push_back(attempt.upstream);
    }
    if (!this->mayRepeat(context)) {
        return NextStep::Fail;
    }
    this->metrics.countRetry(context.service);
    return NextStep::TryNext;
}

bool RequestRouter::mayRepeat(const RequestContext &context) const
{
    // Attempts in progress may reach an upstream, so they count as sent.
    std::size_t upstreams = context.sentTo.size();
    for (const auto &attempt : context.attempts) {
        upstreams += attempt->done ? 0 : 1;
    }
    return upstreams < context.route->maxAttempts || !context.rejectedBy.empty();
}

PeerResponse RequestRouter::respond(const RequestContext &context, Attempt &attempt)
{
    PeerResponse response = toCallerResponse(std::move(*attempt.result), this->dialect);
    const TimePoint now = NodeClock::now();
    this->metrics.countRequest(context.service, attempt.upstream, std::nullopt, now - context.started);
    if (response.status >= serverError || context.attempts.size() > 1 || now > context.targetDeadline) {
        this->log.info("request answered",
                       {{"request_id", context.id},
                        {"route", context.route->name},
                        {"service", context.service},
                        {"upstream", attempt.upstream},
                        {"status", static_cast<std::int64_t>(response.status)},
                        {"offers", static_cast<std::int64_t>(context.offers)},
                        {"arrivals", static_cast<std::int64_t>(context.sentTo.size())},
                        {"handed_back", context.declineSummary},
                        {"ran_ms", toMilliseconds(TimePoint(attempt.report->runDuration))},
                        {"took_ms", toMilliseconds(now) - toMilliseconds(context.started)}});
    }
    return response;
}

PeerResponse RequestRouter::fail(RequestContext &context, bool timedOut)
{
    if (context.failure) {
        return toCallerResponse(std::move(*context.failure), this->dialect);
    }
    const bool isCommitted = this->isRunning(context);
    if (context.mayHaveRun || isCommitted) {
        const bool isLate = timedOut || context.lastOutcome == OfferOutcome::TimedOut;
        return this->refuse(context, isLate ? ErrorKind::Timeout : context.uncertainKind, Duration::zero());
    }
    const TimePoint now = NodeClock::now();
    if (!timedOut && !this->mayStart(context, now)) {
        return this->refuse(context, ErrorKind::Draining, honouredRetryAfter(context.deadline, this->drainSchedule->exit - now, now));
    }
    const bool isOverloaded = context.lastOutcome == OfferOutcome::Expired || timedOut;
    return this->refuse(context, isOverloaded ? ErrorKind::Overloaded : ErrorKind::NoUpstream, this->retryAfter(context, now));
}

Duration RequestRouter::retryAfter(const RequestContext &context, TimePoint now) const
{
    const Duration slotWait = honouredRetryAfter(context.deadline, context.retryAfter, now);
    if (!context.limitWait) {
        return slotWait;
    }
    // The upstreams take no request before, so a caller that came back sooner would come in vain.
    const Duration limitWait = std::max<Duration>(*context.limitWait, minRetryAfter);
    return context.retryAfter > Duration::zero() ? std::min(slotWait, limitWait) : limitWait;
}

PeerResponse RequestRouter::refuse(const RequestContext &context, ErrorKind kind, Duration retryAfter) const
{
    const ErrorRow &row = errorRow(kind);
    const TimePoint now = NodeClock::now();
    this->metrics.countRequest(context.service, "", kind, now - context.started);
    PeerResponse response;
    response.status = row.httpStatus;
    response.body = problemBody(kind, row.title, context.id);
    response.headers.add("content-type", "application/problem+json");
    if (!context.id.empty()) {
        response.headers.add(this->dialect.requestId, context.id);
    }
    if (retryAfter > Duration::zero()) {
        response.headers.add("retry-after", std::to_string(seconds(retryAfter)));
    }
    this->log.info("request refused",
                   {{"request_id", context.id},
                    {"error_kind", row.name},
                    {"route", context.route != nullptr ? std::string_view(context.route->name) : std::string_view()},
                    {"service", context.service},
                    {"offers", static_cast<std::int64_t>(context.offers)},
                    {"arrivals", static_cast<std::int64_t>(context.sentTo.size())},
                    {"last_outcome", offerOutcomeName(context.lastOutcome)},
                    {"handed_back", context.declineSummary},
                    {"config_version", static_cast<std::int64_t>(context.config ? context.config->version : 0)},
                    {"took_ms", toMilliseconds(now) - toMilliseconds(context.started)}});
    return response;
}

void RequestRouter::cancelAttempts(RequestContext &context)
{
    for (const auto &attempt : context.attempts) {
        if (!attempt->done) {
            attempt->cancellation->request();
        }
    }
}

} // namespace Galenarack
