#include <galenarack/proxy/requestrouter.h>

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

/// Offers that a request makes before the best of the upstreams that are busy has to queue it.
constexpr unsigned offersBeforeQueueing = 4;

/// Offers of one request at most; each is one round trip between nodes.
constexpr unsigned offerLimit = 9;

/// Wait that an offer accepts while other upstreams can still be asked, as a share of the latency target.
constexpr double patienceShare = 0.1;

/// An idempotent request is sent to a second upstream after this many times its usual duration without a response.
constexpr double hedgeFactor = 2.5;
constexpr Duration hedgeLeast = std::chrono::milliseconds(80);

/// Part of the retry allowance that requests of lower priority leave to more urgent ones.
constexpr double lowPriorityUrgency = 0.7;

/// A caller honours a Retry-After of at most a third of the time that it has left.
constexpr int retryAfterShare = 3;
constexpr Duration retryAfterLeast = std::chrono::milliseconds(100);

constexpr unsigned serverError = 500;
constexpr Duration defaultPatience = std::chrono::seconds(30);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

RequestRouter::RequestRouter(asio::any_io_executor executor,
                             RouterSettings settings,
                             const Dialect &dialect,
                             const FleetView &view,
                             HomeService &home,
                             PeerLinks &links,
                             std::mt19937_64 random)
    : executor(std::move(executor))
    , settings(std::move(settings))
    , dialect(dialect)
    , view(view)
    , home(home)
    , links(links)
    , random(random)
    , placement(this->settings.failureDomain, std::mt19937_64(this->random()))
{
}

asio::awaitable<PeerResponse> RequestRouter::route(CallerRequest request,
                                                   std::shared_ptr<Cancellation> cancellation,
                                                   bool nested,
                                                   bool isConfigCurrent)
{
    ++this->open;
    const ScopeGuard finished([this] {
        --this->open;
    });
    const auto course = std::make_shared<Course>(this->executor, std::move(request));
    course->cancellation = std::move(cancellation);
    course->nested = nested;
    PeerResponse refusal;
    if (!this->prepare(*course, refusal, isConfigCurrent)) {
        co_return refusal;
    }
    // A weak reference: the cancellation belongs to the course.
    const std::weak_ptr<Course> weak = course;
    course->cancellation->setAction([weak] {
        if (const auto open = weak.lock()) {
            open->wake.cancel();
        }
    });
    PeerResponse response = co_await this->run(course);
    course->cancellation->setAction(nullptr);
    if (nested && response.status >= serverError) {
        this->home.nestedRequestFailed(NodeClock::now());
    }
    co_return response;
}

bool RequestRouter::prepare(Course &course, PeerResponse &refusal, bool isConfigCurrent)
{
    const TimePoint now = NodeClock::now();
    course.started = now;
    course.id = std::string(course.request.headers.find(this->dialect.requestId).value_or(""));
    course.config = this->view.config();
    if (!course.config) {
        refusal = this->refuse(course, ErrorKind::NotReady, retryAfterLeast);
        return false;
    }
    const std::string_view host = course.request.headers.find("host").value_or("");
    course.route = course.config->find(host, course.request.target);
    if (course.route == nullptr) {
        // A node that may have missed a change must not deny a route that was added meanwhile.
        refusal = this->refuse(course, isConfigCurrent ? ErrorKind::RouteNotFound : ErrorKind::NotReady, retryAfterLeast);
        return false;
    }
    const TrafficRoute &route = *course.route;
    const auto split = this->splits.try_emplace(route.name, static_cast<std::uint32_t>(this->random())).first;
    course.service = route.destinations[split->second.next(route.destinations)].service;
    Duration allowed = route.timeout > Duration::zero() ? route.timeout : defaultPatience;
    if (const auto remaining = course.request.headers.findNumber(this->dialect.remainingMs)) {
        constexpr std::int64_t most = 24LL * 3600 * 1000;
        allowed = std::min<Duration>(allowed, std::chrono::milliseconds(std::clamp<std::int64_t>(*remaining, 1, most)));
    }
    course.deadline = now + allowed;
    course.targetBy = now + route.targetLatency;
    course.expected = this->durations.usual(route.name, route.targetLatency);
    this->allowanceOf(course.service).onRequest(now);
    return true;
}

RetryAllowance &RequestRouter::allowanceOf(const std::string &service)
{
    return this->allowances.try_emplace(service, this->settings.retry).first->second;
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
}

asio::awaitable<PeerResponse> RequestRouter::run(std::shared_ptr<Course> course)
{
    if (!this->startAttempt(course, false)) {
        co_return this->fail(*course, false);
    }
    for (;;) {
        const TimePoint now = NodeClock::now();
        if (course->cancellation->isRequested()) {
            this->withdrawAll(*course);
            co_return this->refuse(*course, ErrorKind::Cancelled, Duration::zero());
        }
        std::shared_ptr<Attempt> ended;
        bool isAnyOpen = false;
        for (const auto &attempt : course->attempts) {
            if (attempt->done && !attempt->judged) {
                ended = attempt;
            }
            isAnyOpen = isAnyOpen || !attempt->done;
        }
        if (ended) {
            ended->judged = true;
            const NextStep step = this->judge(*course, *ended);
            if (step == NextStep::Respond) {
                this->withdrawAll(*course);
                co_return this->respond(*course, *ended);
            }
            const bool started = step == NextStep::TryNext && now < course->deadline && this->startAttempt(course, false);
            if (!started && !isAnyOpen) {
                co_return this->fail(*course, now >= course->deadline);
            }
            continue;
        }
        if (now >= course->deadline) {
            this->withdrawAll(*course);
            co_return this->fail(*course, true);
        }
        if (!course->hedged && now >= course->hedgeAt) {
            course->hedged = true;
            if (course->route->idempotent && this->mayRepeat(*course)) {
                this->startAttempt(course, true);
            }
            continue;
        }
        const TimePoint until = course->hedged ? course->deadline : std::min(course->deadline, course->hedgeAt);
        course->wake.expires_after(until - now);
        co_await course->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

UpstreamBelief *RequestRouter::chooseUpstream(Course &course, bool isHedge, bool &insist)
{
    const TimePoint now = NodeClock::now();
    this->refreshEntries(now);
    PlacementRequest request;
    request.service = course.service;
    request.idempotent = course.route->idempotent;
    request.expected = course.expected;
    request.target = course.route->targetLatency;
    request.mayTry = request.idempotent && !isHedge && course.offers == 0
                     && this->allowanceOf(course.service).remaining(now, this->view.entries().size(), lowPriorityUrgency) >= 1;
    insist = false;
    std::vector<std::string> excluded = course.excluded;
    for (const auto &[upstream, wait] : course.busy) {
        excluded.push_back(upstream);
    }
    const bool mayAskMore = course.busy.size() < offersBeforeQueueing;
    UpstreamBelief *belief = mayAskMore ? this->placement.choose(request, excluded, now) : nullptr;
    if (belief != nullptr || isHedge) {
        return belief;
    }
    // All upstreams are busy or not trusted, so the one with the shortest wait gets the request for good.
    insist = true;
    while (!course.busy.empty()) {
        const auto least = std::ranges::min_element(course.busy, {}, &std::pair<std::string, Duration>::second);
        const std::string upstream = least->first;
        course.busy.erase(least);
        UpstreamBelief *known = this->placement.find(upstream);
        if (known != nullptr && !known->entry.draining && now >= known->unreachableUntil) {
            course.excluded.push_back(upstream);
            return known;
        }
    }
    return this->placement.choose(request, course.excluded, now);
}

bool RequestRouter::startAttempt(const std::shared_ptr<Course> &course, bool isHedge)
{
    if (course->offers >= offerLimit) {
        return false;
    }
    bool insist = false;
    UpstreamBelief *belief = this->chooseUpstream(*course, isHedge, insist);
    if (belief == nullptr) {
        return false;
    }
    ++course->offers;
    ++belief->outstanding;
    const auto attempt = std::make_shared<Attempt>();
    attempt->upstream = belief->entry.id;
    attempt->started = NodeClock::now();
    course->attempts.push_back(attempt);
    if (!isHedge) {
        const Duration wait = Placement::expectedWait(*belief, course->expected, attempt->started);
        const auto usual = std::chrono::duration_cast<Duration>(course->expected * hedgeFactor);
        course->hedgeAt = attempt->started + wait + std::max(usual, hedgeLeast);
    }
    PeerRequest request = this->makeOffer(*course, *belief, insist, isHedge);
    asio::co_spawn(
        this->executor,
        [this, course, attempt, offer = std::move(request)]() mutable -> asio::awaitable<void> {
            co_await this->runAttempt(course, attempt, std::move(offer));
        },
        asio::detached);
    return true;
}

PeerRequest RequestRouter::makeOffer(const Course &course, const UpstreamBelief &belief, bool insist, bool isHedge) const
{
    const TimePoint now = NodeClock::now();
    Offer offer;
    offer.upstream = belief.entry.id;
    offer.requestId = course.id;
    offer.idempotent = course.route->idempotent;
    offer.nested = course.nested;
    offer.insist = insist;
    offer.priority = course.route->priority;
    offer.remaining = course.deadline - now;
    offer.untilTarget = std::max(course.targetBy - now, Duration::zero());
    offer.expected = course.expected;
    offer.patience = isHedge ? Duration::zero() : std::chrono::duration_cast<Duration>(course.route->targetLatency * patienceShare);
    offer.callerService = this->settings.service;
    offer.failureDomain = this->settings.failureDomain;
    PeerRequest request;
    request.method = course.request.method;
    request.path = course.request.target;
    request.body = course.request.body;
    for (const HeaderField &field : course.request.headers.all()) {
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

asio::awaitable<void> RequestRouter::runAttempt(std::shared_ptr<Course> course, std::shared_ptr<Attempt> attempt, PeerRequest request)
{
    const UpstreamEntry *entry = this->view.find(attempt->upstream);
    const asio::ip::address vm = entry != nullptr ? entry->address.address() : asio::ip::address();
    if (vm == this->settings.vm) {
        const auto call = std::make_shared<PeerCall>();
        call->request = std::move(request);
        attempt->cancellation->setAction([call] {
            call->cancellation.request();
        });
        attempt->progress.committed = true;
        attempt->result = co_await this->home.handle(call);
        attempt->cancellation->setAction(nullptr);
    } else {
        PeerProgress *const progress = course->route->idempotent ? nullptr : &attempt->progress;
        attempt->result = co_await this->links.exchange(vm, std::move(request), course->deadline, attempt->cancellation, progress);
    }
    attempt->done = true;
    if (attempt->result.ok()) {
        attempt->report = OfferReport::fromHeaders(attempt->result->headers);
    }
    this->learn(*course, *attempt);
    course->wake.cancel();
}

void RequestRouter::learn(const Course &course, const Attempt &attempt)
{
    const TimePoint now = NodeClock::now();
    if (UpstreamBelief *belief = this->placement.find(attempt.upstream); belief != nullptr && belief->outstanding > 0) {
        --belief->outstanding;
    }
    if (attempt.report) {
        this->placement.report(attempt.upstream, attempt.report->load, now);
        if (attempt.report->end == OfferEnd::Ejected) {
            this->placement.reportEjected(attempt.upstream, attempt.report->retryAfter, now);
        }
        if (attempt.report->end == OfferEnd::Answered && attempt.result->status < serverError) {
            this->durations.observe(course.route->name, course.route->targetLatency, attempt.report->ran);
        }
    } else if (!attempt.result.ok() && !attempt.cancellation->isRequested() && errorKindOf(attempt.result.status()) != ErrorKind::Timeout) {
        this->placement.reportPathFailure(attempt.upstream, now);
    }
}

RequestRouter::NextStep RequestRouter::judge(Course &course, Attempt &attempt)
{
    if (!attempt.result.ok()) {
        course.excluded.push_back(attempt.upstream);
        const ErrorKind kind = errorKindOf(attempt.result.status());
        const bool mayHaveRun = kind != ErrorKind::PeerUnreachable;
        this->log.info("attempt failed",
                       {{"request_id", course.id},
                        {"upstream", attempt.upstream},
                        {"error_kind", errorRow(kind).name},
                        {"detail", messageOf(attempt.result.status())},
                        {"committed", attempt.progress.committed ? "yes" : "no"}});
        course.lastEnd = mayHaveRun ? OfferEnd::Broken : OfferEnd::Unconnected;
        return mayHaveRun ? this->afterFailure(course, true) : NextStep::TryNext;
    }
    if (!attempt.report) {
        course.excluded.push_back(attempt.upstream);
        return this->afterFailure(course, true);
    }
    course.lastEnd = attempt.report->end;
    switch (attempt.report->end) {
    case OfferEnd::Answered:
        if (attempt.result->status < serverError || !course.route->idempotent) {
            return NextStep::Respond;
        }
        course.excluded.push_back(attempt.upstream);
        course.failure = attempt.result.value();
        return this->afterFailure(course, true);
    case OfferEnd::Busy:
    case OfferEnd::Ejected:
    case OfferEnd::Leaving:
    case OfferEnd::Expired:
    case OfferEnd::Unconnected:
        return this->afterHandBack(course, attempt);
    case OfferEnd::Rejected:
        course.excluded.push_back(attempt.upstream);
        return this->afterFailure(course, false);
    case OfferEnd::Broken:
    case OfferEnd::TimedOut:
        course.excluded.push_back(attempt.upstream);
        return this->afterFailure(course, true);
    case OfferEnd::Withdrawn:
        return NextStep::TryNext;
    }
    return NextStep::Fail;
}

RequestRouter::NextStep RequestRouter::afterHandBack(Course &course, const Attempt &attempt)
{
    const OfferReport &report = *attempt.report;
    course.retryAfter = std::max(course.retryAfter, report.retryAfter);
    if (report.end == OfferEnd::Busy || report.end == OfferEnd::Ejected) {
        const Duration penalty
            = report.end == OfferEnd::Ejected
                  ? std::chrono::duration_cast<Duration>(course.route->targetLatency * (2.0 * report.load.grayProbability))
                  : Duration::zero();
        const Duration wait = report.end == OfferEnd::Busy ? report.retryAfter : Duration::zero();
        course.busy.emplace_back(attempt.upstream, wait + penalty);
    } else {
        course.excluded.push_back(attempt.upstream);
    }
    return NextStep::TryNext;
}

RequestRouter::NextStep RequestRouter::afterFailure(Course &course, bool mayHaveRun)
{
    ++course.arrivals;
    course.mayHaveRun = course.mayHaveRun || mayHaveRun;
    if (mayHaveRun && !course.route->idempotent) {
        return NextStep::Fail;
    }
    return this->mayRepeat(course) ? NextStep::TryNext : NextStep::Fail;
}

bool RequestRouter::mayRepeat(Course &course)
{
    // A hedge that is open counts as an arrival as well.
    std::size_t arrivals = course.arrivals;
    for (const auto &attempt : course.attempts) {
        arrivals += attempt->done ? 0 : 1;
    }
    if (arrivals >= course.route->maxAttempts) {
        return false;
    }
    const bool isUrgent = course.nested || course.route->priority <= 1;
    return this->allowanceOf(course.service).tryRepeat(NodeClock::now(), this->view.entries().size(), isUrgent ? 1.0 : lowPriorityUrgency);
}

PeerResponse RequestRouter::respond(const Course &course, Attempt &attempt)
{
    PeerResponse response;
    response.status = attempt.result->status;
    response.body = std::move(attempt.result->body);
    for (const HeaderField &field : attempt.result->headers.all()) {
        if (!field.name.starts_with(PeerHeader::prefix) && field.name != "content-length") {
            response.headers.add(field.name, field.value);
        }
    }
    const TimePoint now = NodeClock::now();
    if (response.status >= serverError || course.attempts.size() > 1 || now > course.targetBy) {
        this->log.info("request answered",
                       {{"request_id", course.id},
                        {"route", course.route->name},
                        {"service", course.service},
                        {"upstream", attempt.upstream},
                        {"status", static_cast<std::int64_t>(response.status)},
                        {"offers", static_cast<std::int64_t>(course.offers)},
                        {"arrivals", static_cast<std::int64_t>(course.arrivals)},
                        {"ran_ms", toMilliseconds(TimePoint(attempt.report->ran))},
                        {"took_ms", toMilliseconds(now) - toMilliseconds(course.started)}});
    }
    return response;
}

PeerResponse RequestRouter::fail(Course &course, bool timedOut)
{
    if (course.failure) {
        PeerResponse response;
        response.status = course.failure->status;
        response.body = course.failure->body;
        for (const HeaderField &field : course.failure->headers.all()) {
            if (!field.name.starts_with(PeerHeader::prefix) && field.name != "content-length") {
                response.headers.add(field.name, field.value);
            }
        }
        return response;
    }
    const bool isCommitted = std::ranges::any_of(course.attempts, [](const std::shared_ptr<Attempt> &attempt) {
        return attempt->progress.committed && !attempt->done;
    });
    if (course.mayHaveRun || isCommitted || (timedOut && course.route->idempotent)) {
        return this->refuse(course, timedOut ? ErrorKind::Timeout : ErrorKind::PeerLost, Duration::zero());
    }
    const Duration wait = std::max(course.retryAfter, retryAfterLeast);
    return this->refuse(course, course.lastEnd == OfferEnd::Expired || timedOut ? ErrorKind::Overloaded : ErrorKind::NoUpstream, wait);
}

PeerResponse RequestRouter::refuse(const Course &course, ErrorKind kind, Duration retryAfter) const
{
    const ErrorRow &row = errorRow(kind);
    const TimePoint now = NodeClock::now();
    PeerResponse response;
    response.status = row.httpStatus;
    response.body = problemBody(kind, row.title, course.id);
    response.headers.add("content-type", "application/problem+json");
    if (!course.id.empty()) {
        response.headers.add(this->dialect.requestId, course.id);
    }
    if (retryAfter > Duration::zero()) {
        const Duration most = course.deadline > now ? (course.deadline - now) / retryAfterShare : retryAfter;
        response.headers.add("retry-after", std::to_string(seconds(std::min(retryAfter, most))));
    }
    this->log.info("request refused",
                   {{"request_id", course.id},
                    {"error_kind", row.name},
                    {"route", course.route != nullptr ? std::string_view(course.route->name) : std::string_view()},
                    {"service", course.service},
                    {"offers", static_cast<std::int64_t>(course.offers)},
                    {"arrivals", static_cast<std::int64_t>(course.arrivals)},
                    {"last_outcome", offerEndName(course.lastEnd)},
                    {"config_version", static_cast<std::int64_t>(course.config ? course.config->version : 0)},
                    {"took_ms", toMilliseconds(now) - toMilliseconds(course.started)}});
    return response;
}

void RequestRouter::withdrawAll(Course &course)
{
    for (const auto &attempt : course.attempts) {
        if (!attempt->done) {
            attempt->cancellation->request();
        }
    }
}

} // namespace Galenarack
