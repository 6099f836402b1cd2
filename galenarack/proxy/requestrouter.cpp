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

/// Offers that a request makes before the best of the upstreams that are busy has to queue it.
constexpr unsigned offersBeforeQueueing = 4;

/// Offers of one request at most; each is one round trip between nodes.
constexpr unsigned offerLimit = 9;

/// Wait that an offer accepts while other upstreams can still be asked, as a share of the latency target.
constexpr double patienceShare = 0.1;

/// An idempotent request is sent to a second upstream after this many times its usual duration without a response.
constexpr double hedgeFactor = 2.5;
constexpr Duration hedgeLeast = std::chrono::milliseconds(80);

/// A caller honours a Retry-After of at most a third of the time that it has left.
constexpr int retryAfterShare = 3;
constexpr Duration retryAfterLeast = std::chrono::milliseconds(100);

/// A leaving node takes a request when this many times its usual duration fits into the time that is left.
constexpr int drainSafety = 4;

constexpr unsigned serverError = 500;
constexpr Duration defaultPatience = std::chrono::seconds(30);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// @return the response of an upstream without the fields between nodes
PeerResponse toCallerResponse(PeerResponse upstreamResponse)
{
    PeerResponse response;
    response.status = upstreamResponse.status;
    response.body = std::move(upstreamResponse.body);
    for (const HeaderField &field : upstreamResponse.headers.all()) {
        if (!field.name.starts_with(PeerHeader::prefix) && field.name != "content-length") {
            response.headers.add(field.name, field.value);
        }
    }
    return response;
}

/// Appends what a home said when it handed a request back, such as "i-7 busy wait_ms=300 gray=0.02 age_ms=2".
void noteHandBack(std::string &text, std::string_view upstream, const OfferReport &report, Duration age)
{
    constexpr std::size_t longest = 1000;
    if (text.size() > longest) {
        return;
    }
    std::array<char, 96> figures{};
    std::snprintf(figures.data(),
                  figures.size(),
                  " wait_ms=%.0f gray=%.2f age_ms=%.0f",
                  seconds(report.retryAfter) * 1000,
                  report.load.grayProbability,
                  seconds(age) * 1000);
    text.append(text.empty() ? "" : "; ").append(upstream).append(" ").append(offerEndName(report.end)).append(figures.data());
}

} // namespace

RequestRouter::RequestRouter(asio::any_io_executor executor,
                             RouterSettings settings,
                             const Dialect &dialect,
                             const FleetView &view,
                             HomeService &home,
                             PeerLinks &links,
                             Metrics &metrics,
                             std::mt19937_64 random)
    : executor(std::move(executor))
    , settings(std::move(settings))
    , dialect(dialect)
    , view(view)
    , home(home)
    , links(links)
    , metrics(metrics)
    , random(random)
    , placement(this->settings.failureDomain, std::mt19937_64(this->random()))
{
}

asio::awaitable<PeerResponse> RequestRouter::route(CallerRequest request, std::shared_ptr<Cancellation> cancellation, bool isConfigCurrent)
{
    const auto course = std::make_shared<Course>(this->executor, std::move(request));
    this->open.insert(course);
    const ScopeGuard finished([this, course] {
        this->open.erase(course);
    });
    course->cancellation = std::move(cancellation);
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
    if (response.status >= serverError) {
        this->home.requestFailed(course->started);
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
    if (this->drainEnd && now + course.expected * drainSafety > *this->drainEnd) {
        refusal = this->refuse(course, ErrorKind::Draining, *this->drainEnd - now);
        return false;
    }
    return true;
}

void RequestRouter::drainUntil(TimePoint end)
{
    this->drainEnd = end;
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
        const auto ended = std::ranges::find_if(course->attempts, [](const std::shared_ptr<Attempt> &attempt) {
            return attempt->done && !attempt->judged;
        });
        if (ended != course->attempts.end()) {
            const std::shared_ptr<Attempt> attempt = *ended;
            attempt->judged = true;
            const NextStep step = this->judge(*course, *attempt);
            if (step == NextStep::Respond) {
                this->withdrawAll(*course);
                co_return this->respond(*course, *attempt);
            }
            const bool mayStart = step == NextStep::TryNext && now < course->deadline && !course->abandoned;
            const bool isAnyOpen = (mayStart && this->startAttempt(course, false)) || this->hasOpenAttempt(*course);
            if (!isAnyOpen) {
                co_return this->fail(*course, now >= course->deadline);
            }
            continue;
        }
        if (now >= course->deadline || (course->abandoned && !this->isWorking(*course))) {
            this->withdrawAll(*course);
            co_return this->fail(*course, now >= course->deadline);
        }
        const std::optional<TimePoint> hedgeAt = this->hedgeTime(*course);
        if (hedgeAt && now >= *hedgeAt) {
            this->startHedge(course);
            continue;
        }
        course->wake.expires_after((hedgeAt ? std::min(*hedgeAt, course->deadline) : course->deadline) - now);
        co_await course->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

bool RequestRouter::hasOpenAttempt(const Course &course) const
{
    return std::ranges::any_of(course.attempts, [](const std::shared_ptr<Attempt> &attempt) {
        return !attempt->done;
    });
}

bool RequestRouter::isWorking(const Course &course) const
{
    return std::ranges::any_of(course.attempts, [](const std::shared_ptr<Attempt> &attempt) {
        return !attempt->done && attempt->progress.committed;
    });
}

void RequestRouter::refuseWaiting()
{
    for (const auto &course : this->open) {
        course->abandoned = true;
        course->wake.cancel();
    }
}

std::optional<TimePoint> RequestRouter::hedgeTime(const Course &course) const
{
    if (course.hedged || !course.route->idempotent) {
        return std::nullopt;
    }
    std::optional<TimePoint> due;
    for (const auto &attempt : course.attempts) {
        if (!attempt->done && attempt->progress.committed) {
            const auto usual = std::chrono::duration_cast<Duration>(course.expected * hedgeFactor);
            const TimePoint at = attempt->progress.committedAt + std::max(usual, hedgeLeast);
            due = due ? std::min(*due, at) : at;
        }
    }
    return due;
}

void RequestRouter::startHedge(const std::shared_ptr<Course> &course)
{
    course->hedged = true;
    if (this->mayRepeat(*course)) {
        this->metrics.countHedge(course->service);
        this->startAttempt(course, true);
    }
}

Duration RequestRouter::longestWait(const Course &course, TimePoint now) const
{
    return longestUsefulWait(course.route->targetLatency, course.deadline - now - course.expected);
}

RequestRouter::Target RequestRouter::chooseTarget(Course &course, bool isHedge)
{
    const TimePoint now = NodeClock::now();
    this->refreshEntries(now);
    PlacementRequest request;
    request.service = course.service;
    request.idempotent = course.route->idempotent;
    request.expected = course.expected;
    request.target = course.route->targetLatency;
    request.allowTrial = request.idempotent && !isHedge && course.offers == 0 && course.route->maxAttempts > 1;
    if (course.sentTo.size() >= course.route->maxAttempts) {
        return this->chooseRejecting(course, now);
    }
    std::vector<std::string> excluded = course.excluded;
    for (const DeclinedOffer &handBack : course.handBacks) {
        excluded.push_back(handBack.upstream);
    }
    Target target;
    target.allowTrial = request.allowTrial;
    target.patience = isHedge ? Duration::zero() : std::chrono::duration_cast<Duration>(course.route->targetLatency * patienceShare);
    if (course.handBacks.size() < offersBeforeQueueing) {
        target.belief = this->placement.choose(request, excluded, now);
    }
    return target.belief != nullptr || isHedge ? target : this->chooseLastResort(course, request, now);
}

RequestRouter::Target RequestRouter::chooseRejecting(Course &course, TimePoint now)
{
    // The bound on upstreams is reached, but one that has only rejected the request may be asked again.
    Target target;
    target.patience = this->longestWait(course, now);
    target.allowUnhealthy = true;
    for (const std::string &upstream : course.rejecting) {
        UpstreamView *belief = this->placement.find(upstream);
        if (belief != nullptr && !belief->entry.draining && now >= belief->unreachableUntil) {
            target.belief = belief;
        }
    }
    return target;
}

RequestRouter::Target RequestRouter::chooseLastResort(Course &course, PlacementRequest request, TimePoint now)
{
    Target target;
    target.allowUnhealthy = true;
    target.patience = this->longestWait(course, now);
    while (!course.handBacks.empty()) {
        const auto chosen = Placement::chooseDeclinedOffer(request, course.handBacks, target.patience);
        if (!chosen) {
            // The caller is told at once: the waits are too long to be of use, or the run would probably fail.
            course.lastEnd = OfferEnd::Expired;
            return {};
        }
        UpstreamView *known = this->placement.find(course.handBacks[*chosen].upstream);
        course.excluded.push_back(course.handBacks[*chosen].upstream);
        course.handBacks.erase(course.handBacks.begin() + static_cast<std::ptrdiff_t>(*chosen));
        if (known != nullptr && !known->entry.draining && now >= known->unreachableUntil) {
            target.belief = known;
            return target;
        }
    }
    request.allowUnhealthy = true;
    target.belief = this->placement.choose(request, course.excluded, now);
    return target;
}

bool RequestRouter::startAttempt(const std::shared_ptr<Course> &course, bool isHedge)
{
    if (course->offers >= offerLimit) {
        return false;
    }
    const Target target = this->chooseTarget(*course, isHedge);
    if (target.belief == nullptr) {
        return false;
    }
    ++course->offers;
    ++target.belief->outstanding;
    const auto attempt = std::make_shared<Attempt>();
    attempt->upstream = target.belief->entry.id;
    attempt->started = NodeClock::now();
    attempt->progress.onCommitted = [weak = std::weak_ptr<Course>(course)] {
        if (const auto open = weak.lock()) {
            open->wake.cancel();
        }
    };
    course->attempts.push_back(attempt);
    PeerRequest request = this->makeOffer(*course, target);
    asio::co_spawn(
        this->executor,
        [this, course, attempt, offer = std::move(request)]() mutable -> asio::awaitable<void> {
            co_await this->runAttempt(course, attempt, std::move(offer));
        },
        asio::detached);
    return true;
}

PeerRequest RequestRouter::makeOffer(const Course &course, const Target &target) const
{
    const TimePoint now = NodeClock::now();
    Offer offer;
    offer.upstream = target.belief->entry.id;
    offer.requestId = course.id;
    offer.idempotent = course.route->idempotent;
    offer.allowUnhealthy = target.allowUnhealthy;
    offer.allowTrial = target.allowTrial;
    offer.isRepeat = !course.sentTo.empty() || course.hedged;
    offer.priority = course.route->priority;
    offer.remaining = course.deadline - now;
    offer.target = course.route->targetLatency;
    offer.expected = course.expected;
    offer.patience = target.patience;
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
        attempt->result = co_await this->runHere(*attempt, std::move(request));
    } else {
        attempt->result = co_await this->links.exchange(vm, std::move(request), course->deadline, attempt->cancellation, attempt->progress);
    }
    attempt->done = true;
    if (attempt->result.ok()) {
        attempt->report = OfferReport::fromHeaders(attempt->result->headers);
    }
    this->learn(*course, *attempt);
    course->wake.cancel();
}

asio::awaitable<PeerResponse> RequestRouter::runHere(Attempt &attempt, PeerRequest request)
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

void RequestRouter::learn(const Course &course, const Attempt &attempt)
{
    const TimePoint now = NodeClock::now();
    if (UpstreamView *belief = this->placement.find(attempt.upstream); belief != nullptr && belief->outstanding > 0) {
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
        return mayHaveRun ? this->afterArrival(course, attempt, true) : NextStep::TryNext;
    }
    if (!attempt.report) {
        return this->afterArrival(course, attempt, true);
    }
    course.lastEnd = attempt.report->end;
    switch (attempt.report->end) {
    case OfferEnd::Answered:
        if (attempt.result->status < serverError || !course.route->idempotent) {
            return NextStep::Respond;
        }
        course.failure = attempt.result.value();
        return this->afterArrival(course, attempt, true);
    case OfferEnd::Busy:
    case OfferEnd::Ejected:
    case OfferEnd::Leaving:
    case OfferEnd::Expired:
    case OfferEnd::Unconnected:
    case OfferEnd::RepeatLimit:
        return this->afterHandBack(course, attempt);
    case OfferEnd::Rejected:
        return this->afterArrival(course, attempt, false);
    case OfferEnd::Broken:
    case OfferEnd::TimedOut:
        return this->afterArrival(course, attempt, true);
    case OfferEnd::Withdrawn:
        course.excluded.push_back(attempt.upstream);
        return NextStep::TryNext;
    }
    return NextStep::Fail;
}

RequestRouter::NextStep RequestRouter::afterHandBack(Course &course, const Attempt &attempt)
{
    const OfferReport &report = *attempt.report;
    noteHandBack(course.handBackText, attempt.upstream, report, NodeClock::now() - attempt.started);
    if (report.end == OfferEnd::Busy || report.end == OfferEnd::Ejected) {
        DeclinedOffer handBack;
        handBack.upstream = attempt.upstream;
        handBack.wait = report.end == OfferEnd::Busy ? report.retryAfter : Duration::zero();
        handBack.grayProbability = report.load.grayProbability;
        course.retryAfter = std::max(course.retryAfter, handBack.wait);
        // A second hand-back means that the estimates of the first no longer hold.
        if (std::ranges::find(course.excluded, attempt.upstream) == course.excluded.end()) {
            course.handBacks.push_back(std::move(handBack));
        }
    } else {
        course.excluded.push_back(attempt.upstream);
    }
    return NextStep::TryNext;
}

RequestRouter::NextStep RequestRouter::afterArrival(Course &course, const Attempt &attempt, bool mayHaveRun)
{
    if (std::ranges::find(course.sentTo, attempt.upstream) == course.sentTo.end()) {
        course.sentTo.push_back(attempt.upstream);
    }
    if (mayHaveRun) {
        course.mayHaveRun = true;
        course.excluded.push_back(attempt.upstream);
        std::erase(course.rejecting, attempt.upstream);
        if (!course.route->idempotent) {
            return NextStep::Fail;
        }
    } else if (std::ranges::find(course.rejecting, attempt.upstream) == course.rejecting.end()) {
        course.rejecting.push_back(attempt.upstream);
    }
    if (!this->mayRepeat(course)) {
        return NextStep::Fail;
    }
    this->metrics.countRetry(course.service);
    return NextStep::TryNext;
}

bool RequestRouter::mayRepeat(const Course &course) const
{
    // Attempts that are open count as arrivals as well.
    std::size_t upstreams = course.sentTo.size();
    for (const auto &attempt : course.attempts) {
        upstreams += attempt->done ? 0 : 1;
    }
    return upstreams < course.route->maxAttempts || !course.rejecting.empty();
}

PeerResponse RequestRouter::respond(const Course &course, Attempt &attempt)
{
    PeerResponse response = toCallerResponse(std::move(*attempt.result));
    const TimePoint now = NodeClock::now();
    this->metrics.countRequest(course.service, attempt.upstream, std::nullopt, now - course.started);
    if (response.status >= serverError || course.attempts.size() > 1 || now > course.targetBy) {
        this->log.info("request answered",
                       {{"request_id", course.id},
                        {"route", course.route->name},
                        {"service", course.service},
                        {"upstream", attempt.upstream},
                        {"status", static_cast<std::int64_t>(response.status)},
                        {"offers", static_cast<std::int64_t>(course.offers)},
                        {"arrivals", static_cast<std::int64_t>(course.sentTo.size())},
                        {"handed_back", course.handBackText},
                        {"ran_ms", toMilliseconds(TimePoint(attempt.report->ran))},
                        {"took_ms", toMilliseconds(now) - toMilliseconds(course.started)}});
    }
    return response;
}

PeerResponse RequestRouter::fail(Course &course, bool timedOut)
{
    if (course.failure) {
        return toCallerResponse(std::move(*course.failure));
    }
    const bool isCommitted = this->isWorking(course);
    if (course.mayHaveRun || isCommitted) {
        const bool isLate = timedOut || course.lastEnd == OfferEnd::TimedOut;
        return this->refuse(course, isLate ? ErrorKind::Timeout : ErrorKind::PeerLost, Duration::zero());
    }
    const Duration wait = std::max(course.retryAfter, retryAfterLeast);
    return this->refuse(course, course.lastEnd == OfferEnd::Expired || timedOut ? ErrorKind::Overloaded : ErrorKind::NoUpstream, wait);
}

PeerResponse RequestRouter::refuse(const Course &course, ErrorKind kind, Duration retryAfter) const
{
    const ErrorRow &row = errorRow(kind);
    const TimePoint now = NodeClock::now();
    this->metrics.countRequest(course.service, "", kind, now - course.started);
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
                    {"arrivals", static_cast<std::int64_t>(course.sentTo.size())},
                    {"last_outcome", offerEndName(course.lastEnd)},
                    {"handed_back", course.handBackText},
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
