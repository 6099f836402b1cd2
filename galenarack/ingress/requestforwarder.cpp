#include <galenarack/ingress/requestforwarder.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/scopeguard.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace Galenarack {

namespace asio = boost::asio;

namespace {

constexpr std::string_view timeoutField = "galenarack-timeout-ms";
constexpr std::string_view executionField = "galenarack-execution";
constexpr std::string_view keyField = "idempotency-key";

/// Account of callers that name none.
constexpr std::string_view anonymousAccount = "anonymous";

/// The home answers a time-out itself at the deadline; its answer says more than silence, so the ingress waits this much longer.
constexpr Duration homeTimeoutGrace = std::chrono::milliseconds(50);

/// Attempts before the last one are refused at once when no slot is free, so that another upstream can take the request;
/// a refusal costs one round trip, a wait in a queue the rest of someone else's work.
constexpr unsigned attemptThatQueues = 3;

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

bool mayRetryAfter(unsigned status)
{
    return status == 429 || status == 503;
}

} // namespace

PeerResponse problemResponse(ErrorKind kind, std::string_view detail, std::string_view requestId)
{
    return problemResponse(kind, detail, requestId, errorRow(kind).execution);
}

PeerResponse problemResponse(ErrorKind kind, std::string_view detail, std::string_view requestId, Execution execution)
{
    const ErrorRow &row = errorRow(kind);
    PeerResponse response;
    response.status = row.httpStatus;
    response.headers.add("content-type", "application/problem+json");
    response.headers.add(PeerHeader::error, row.name);
    response.headers.add(executionField, executionName(execution));
    if (mayRetryAfter(row.httpStatus)) {
        response.headers.add("retry-after", "1");
    }
    response.body = problemBody(kind, detail.empty() ? row.title : detail, requestId, execution);
    return response;
}

RequestForwarder::RequestForwarder(asio::any_io_executor executor,
                                   NodeIdentity identity,
                                   std::function<std::shared_ptr<const Document>()> document,
                                   HomeNode &home,
                                   PeerClient &peers,
                                   UpstreamDirectory &directory,
                                   Metrics &metrics,
                                   std::mt19937_64 random)
    : executor(std::move(executor))
    , identity(std::move(identity))
    , document(std::move(document))
    , home(home)
    , peers(peers)
    , directory(directory)
    , metrics(metrics)
    , random(random)
    , keyGenerator(this->random())
    , log("ingress")
{
}

asio::awaitable<PeerResponse> RequestForwarder::forward(CallerRequest request, std::shared_ptr<Cancellation> cancellation)
{
    ++this->inProgress;
    const ScopeGuard finished([this] {
        --this->inProgress;
    });
    Course course = this->makeCourse(std::move(request));
    course.cancellation = std::move(cancellation);
    if (const absl::Status status = this->prepare(course); !status.ok()) {
        co_return this->refuseLocally(course, status);
    }
    co_return co_await this->runWithinLimits(course);
}

RequestForwarder::Course RequestForwarder::makeCourse(CallerRequest request)
{
    Course course;
    course.request = std::move(request);
    course.started = NodeClock::now();
    // After a pause the bytes may have waited in the socket since before it. They are read in the turn of the event loop
    // that also runs the first tick, so the tick before that one came earlier than the bytes.
    course.received = std::min(course.started, this->tickBeforeLast);
    course.document = this->document();
    course.id = RequestId{this->identity.incarnation, ++this->sequence};
    return course;
}

PeerResponse RequestForwarder::refuseLocally(const Course &course, const absl::Status &status)
{
    const ErrorKind kind = errorKindOf(status);
    this->log.warn("request refused", {{"request_id", course.id.toString()}, {"error_kind", errorRow(kind).name}});
    // This request was not sent on, but an earlier one with the same key may have run.
    const auto key = course.request.headers.find(keyField);
    const bool mayHaveRun = key && IdempotencyKey::parse(*key);
    const Execution execution = mayHaveRun ? Execution::MayHaveRun : errorRow(kind).execution;
    return problemResponse(kind, messageOf(status), course.id.toString(), execution);
}

void RequestForwarder::tick(TimePoint now)
{
    this->tickBeforeLast = std::exchange(this->lastTick, now);
    this->limiter.tick(now);
}

asio::awaitable<PeerResponse> RequestForwarder::runWithinLimits(Course &course)
{
    const AccountRow *account = course.document->accounts.find(course.account);
    if (account == nullptr) {
        co_return co_await this->run(course);
    }
    if (const absl::Status status = this->limiter.admit(*account, course.started); !status.ok()) {
        this->count(course, errorKindOf(status));
        co_return this->refuseLocally(course, status);
    }
    const ScopeGuard finished([this, name = account->name] {
        this->limiter.finish(name);
    });
    co_return co_await this->run(course);
}

absl::Status RequestForwarder::findRoute(Course &course) const
{
    if (!course.document) {
        return makeError(ErrorKind::NotReady, "no document is in force yet");
    }
    const std::string_view path = pathOf(course.request.target);
    course.route = course.document->routes.find(path, course.request.method);
    if (course.route == nullptr) {
        return makeError(ErrorKind::RouteNotFound, "no route matches " + std::string(path));
    }
    if (!course.route->allows(course.request.method)) {
        return makeError(ErrorKind::MethodNotAllowed, "route " + course.route->prefix + " does not allow " + course.request.method);
    }
    course.deadline = course.started + course.route->deadline;
    return absl::OkStatus();
}

absl::Status RequestForwarder::findAccount(Course &course) const
{
    course.account = course.request.headers.find(PeerHeader::account).value_or(anonymousAccount);
    if (!course.document->accounts.all().empty() && course.document->accounts.find(course.account) == nullptr) {
        return makeError(ErrorKind::AccountUnknown, "account " + course.account + " is not in the document");
    }
    return absl::OkStatus();
}

absl::Status RequestForwarder::prepare(Course &course) const
{
    if (absl::Status status = this->findRoute(course); !status.ok()) {
        return status;
    }
    if (absl::Status status = this->findAccount(course); !status.ok()) {
        return status;
    }
    Duration allowed = course.route->deadline;
    const auto routeMs = std::chrono::duration_cast<std::chrono::milliseconds>(allowed).count();
    // Compared in milliseconds, since a large value overflows in microseconds.
    if (const auto timeout = course.request.headers.findNumber(timeoutField); timeout && *timeout < routeMs) {
        allowed = std::chrono::milliseconds(std::max<std::int64_t>(*timeout, 1));
    }
    course.deadline = course.started + allowed;
    course.repeatable = course.route->isRepeatable(course.request.method);
    if (course.repeatable) {
        return absl::OkStatus();
    }
    course.fingerprint = RequestFingerprint::of(course.request.method, course.request.target, course.request.body);
    if (const auto text = course.request.headers.find(keyField)) {
        course.key = IdempotencyKey::parse(*text);
        if (!course.key) {
            return makeError(ErrorKind::KeyNotIssued, "");
        }
    }
    return absl::OkStatus();
}

asio::awaitable<PeerResponse> RequestForwarder::run(Course &course)
{
    const WorkKind kind = course.repeatable ? WorkKind::Repeatable : course.key ? WorkKind::Keyed : WorkKind::NonRepeatable;
    AttemptMachine machine(kind, this->budgetOf(course));
    AttemptAction::Any action = machine.on(AttemptEvent::Started());
    for (;;) {
        if (std::holds_alternative<AttemptAction::Answer>(action)) {
            this->count(course, std::nullopt);
            co_return this->toCallerResponse(course);
        }
        if (const auto *fail = std::get_if<AttemptAction::Fail>(&action)) {
            co_return this->failure(course, fail->kind);
        }
        if (course.cancellation->isRequested()) {
            action = machine.on(AttemptEvent::Cancelled());
        } else if (NodeClock::now() >= course.deadline) {
            action = machine.on(AttemptEvent::DeadlineReached{false});
        } else if (const auto *send = std::get_if<AttemptAction::Send>(&action)) {
            action = machine.on(co_await this->attempt(course, send->attempt));
        } else if (const auto *query = std::get_if<AttemptAction::QueryOutcome>(&action)) {
            asio::steady_timer delay(this->executor, query->delay);
            co_await delay.async_wait(asio::as_tuple(asio::use_awaitable));
            action = machine.on(co_await this->queryOutcome(course, query->throughThirdNode));
        } else {
            co_return this->failure(course, ErrorKind::Internal);
        }
    }
}

asio::awaitable<AttemptEvent::Any> RequestForwarder::attempt(Course &course, unsigned number)
{
    auto choice = this->chooseUpstream(course);
    if (!choice && !course.tried.empty()) {
        // Every upstream was tried, so one of them gets the request once more and may queue it.
        course.tried.clear();
        course.mayQueue = true;
        choice = this->chooseUpstream(course);
    }
    if (!choice) {
        course.detail = "no upstream of service " + this->serviceOf(course) + " can be reached";
        co_return AttemptEvent::NotSent{ErrorKind::NoUpstream};
    }
    if (number > 1) {
        this->metrics.countRetry(this->serviceOf(course));
    }
    course.choice = *choice;
    course.tried.insert(choice->upstream);
    const std::string vm = choice->vm;
    // A new id for each attempt, since a home decides once about an id.
    course.id = RequestId{this->identity.incarnation, ++this->sequence};
    const std::function<PeerRequest(const PeerView &)> makeRequest = [this, &course, number](const PeerView &view) {
        return this->makeAttempt(course, number, view);
    };
    auto response = co_await this->send(vm, makeRequest, course);
    co_return this->interpretAttempt(course, std::move(response));
}

PeerRequest RequestForwarder::makeAttempt(Course &course, unsigned number, const PeerView &view)
{
    const TimePoint now = NodeClock::now();
    const auto toHomeClock = [&view, now](TimePoint time) {
        return view.estimateClockMs(now) - std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count();
    };
    course.addressedTo = view.incarnation;
    course.receivedMs = toHomeClock(course.received);
    course.expiryMs = toHomeClock(course.deadline);

    PeerRequest request;
    request.method = course.request.method;
    request.path = course.request.target;
    request.body = course.request.body;
    request.headers.add(PeerHeader::kind, "forward");
    for (const HeaderField &field : course.request.headers.all()) {
        if (!field.name.starts_with(PeerHeader::prefix) && (course.repeatable || field.name != keyField)) {
            request.headers.add(field.name, field.value);
        }
    }
    ForwardMeta meta = this->makeMeta(course);
    meta.mayQueue = number >= attemptThatQueues || course.mayQueue || course.key.has_value();
    meta.appendTo(request.headers);
    return request;
}

ForwardMeta RequestForwarder::makeMeta(const Course &course) const
{
    ForwardMeta meta;
    meta.id = course.id;
    meta.addressedTo = course.addressedTo;
    meta.receivedMs = course.receivedMs;
    meta.expiryMs = course.expiryMs;
    meta.account = course.account;
    meta.upstream = course.choice.upstream;
    meta.insist = course.choice.insist;
    meta.routeClass = this->routeClassOfCourse(course);
    meta.serviceMedianUs = this->directory.medianLatency(this->serviceOf(course), meta.routeClass, NodeClock::now()).count();
    meta.revision = course.document->revision;
    meta.repeatable = course.repeatable;
    meta.key = course.key;
    meta.fingerprint = course.fingerprint;
    return meta;
}

AttemptEvent::Any RequestForwarder::interpretAttempt(Course &course, absl::StatusOr<PeerResponse> response)
{
    if (!response.ok()) {
        course.detail = messageOf(response.status());
        const ErrorKind kind = errorKindOf(response.status());
        switch (kind) {
        case ErrorKind::PeerLost:
            return AttemptEvent::ConnectionLost();
        case ErrorKind::Timeout:
            return AttemptEvent::DeadlineReached();
        case ErrorKind::Cancelled:
            return AttemptEvent::Cancelled();
        case ErrorKind::UpstreamAnswerTooLarge:
            return AttemptEvent::BadResponse{kind};
        default:
            return AttemptEvent::NotSent{kind};
        }
    }
    this->takeReport(course, *response);
    if (const auto name = response->headers.find(PeerHeader::error)) {
        course.detail = response->body;
        return AttemptEvent::Refused{errorKindFromName(*name).value_or(ErrorKind::Internal)};
    }
    course.response = std::move(*response);
    return AttemptEvent::Response();
}

asio::awaitable<AttemptEvent::Any> RequestForwarder::queryOutcome(Course &course, bool throughThirdNode)
{
    const std::string vm = course.choice.vm;
    std::string receiver = vm;
    PeerRequest request;
    request.method = "GET";
    request.path = std::string(PeerPath::outcome) + course.id.toString();
    if (throughThirdNode) {
        const auto third = this->chooseThirdNode(course);
        if (!third) {
            co_return AttemptEvent::OutcomeUnreachable();
        }
        receiver = *third;
        request.path = std::string(PeerPath::relay) + vm;
    }
    this->makeMeta(course).appendTo(request.headers);
    const std::function<PeerRequest(const PeerView &)> makeRequest = [&request](const PeerView &) {
        return request;
    };
    auto response = co_await this->send(receiver, makeRequest, course);
    if (!response.ok()) {
        const bool timedOut = errorKindOf(response.status()) == ErrorKind::Timeout;
        co_return timedOut ? AttemptEvent::Any(AttemptEvent::DeadlineReached()) : AttemptEvent::Any(AttemptEvent::OutcomeUnreachable());
    }
    if (const auto name = response->headers.find(PeerHeader::error)) {
        const ErrorKind kind = errorKindFromName(*name).value_or(ErrorKind::OutcomeUnknown);
        // A third node that can't reach the home either says so; that is no statement of the home.
        if (kind == ErrorKind::PeerUnreachable || kind == ErrorKind::PeerLost) {
            co_return AttemptEvent::OutcomeUnreachable();
        }
        co_return AttemptEvent::OutcomeReply{kind};
    }
    course.response = std::move(*response);
    co_return AttemptEvent::Response();
}

asio::awaitable<absl::StatusOr<PeerResponse>> RequestForwarder::send(const std::string &vm,
                                                                     std::function<PeerRequest(const PeerView &)> makeRequest,
                                                                     const Course &course)
{
    if (vm == this->identity.vm) {
        co_return co_await this->sendToSelf(makeRequest(this->selfView()), course);
    }
    auto reply = co_await this->peers.request(vm, std::move(makeRequest), course.deadline + homeTimeoutGrace, course.cancellation);
    if (!reply.ok()) {
        co_return reply.status();
    }
    co_return std::move(reply->response);
}

asio::awaitable<absl::StatusOr<PeerResponse>> RequestForwarder::sendToSelf(PeerRequest request, const Course &course)
{
    const auto call = std::make_shared<PeerCall>();
    call->request = std::move(request);
    course.cancellation->setAction([call] {
        call->cancellation.request();
    });
    const bool isOutcome = call->request.path.starts_with(PeerPath::outcome);
    PeerResponse response;
    if (isOutcome) {
        response = co_await this->home.outcome(call);
    } else {
        response = co_await this->home.forward(call);
    }
    course.cancellation->setAction(nullptr);
    co_return response;
}

PeerView RequestForwarder::selfView() const
{
    const TimePoint now = NodeClock::now();
    return PeerView{this->identity.incarnation, 0, false, toMilliseconds(now), now};
}

std::optional<UpstreamDirectory::Choice> RequestForwarder::chooseUpstream(const Course &course)
{
    const std::string_view vm = course.key ? std::string_view(course.key->vm) : std::string_view();
    return this->directory.select(this->serviceOf(course), course.repeatable, vm, course.tried, NodeClock::now());
}

const std::string &RequestForwarder::serviceOf(const Course &course) const
{
    return course.document->services[course.route->service].name;
}

std::uint32_t RequestForwarder::routeClassOfCourse(const Course &course) const
{
    return static_cast<std::uint32_t>(course.route - course.document->routes.all().data());
}

void RequestForwarder::takeReport(const Course &course, const PeerResponse &response)
{
    if (const auto report = reportFromHeaders(response.headers)) {
        this->directory.report(course.choice.upstream, *report, NodeClock::now());
    }
}

void RequestForwarder::count(const Course &course, std::optional<ErrorKind> outcome)
{
    this->metrics.countRequest(this->serviceOf(course), course.choice.upstream, outcome, NodeClock::now() - course.started);
}

std::optional<std::string> RequestForwarder::chooseThirdNode(const Course &course)
{
    const std::string &homeVm = course.choice.vm;
    std::set<std::string> vms;
    for (const UpstreamRow &upstream : course.document->upstreams) {
        if (upstream.vm != homeVm && upstream.vm != this->identity.vm && this->peers.view(upstream.vm) != nullptr) {
            vms.insert(upstream.vm);
        }
    }
    if (vms.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> pick(0, vms.size() - 1);
    return *std::next(vms.begin(), static_cast<std::ptrdiff_t>(pick(this->random)));
}

PeerResponse RequestForwarder::toCallerResponse(Course &course) const
{
    // Fields between nodes stay inside the fleet.
    PeerResponse response;
    response.status = course.response->status;
    response.body = std::move(course.response->body);
    for (const HeaderField &field : course.response->headers.all()) {
        if (!field.name.starts_with(PeerHeader::prefix)) {
            response.headers.add(field.name, field.value);
        }
    }
    response.headers.add(PeerHeader::requestId, course.id.toString());
    return response;
}

RetryBudget &RequestForwarder::budgetOf(const Course &course)
{
    return this->budgets[this->serviceOf(course)];
}

PeerResponse RequestForwarder::failure(const Course &course, ErrorKind kind)
{
    this->count(course, kind);
    this->log.warn("request failed",
                   {{"request_id", course.id.toString()}, {"error_kind", errorRow(kind).name}, {"detail", course.detail}});
    return problemResponse(kind, course.detail, course.id.toString());
}

asio::awaitable<PeerResponse> RequestForwarder::issueKey(CallerRequest wanted)
{
    Course course = this->makeCourse(std::move(wanted));
    absl::Status status = this->findRoute(course);
    if (status.ok()) {
        status = this->findAccount(course);
    }
    if (!status.ok()) {
        co_return problemResponse(errorKindOf(status), messageOf(status), course.id.toString());
    }
    while (const auto choice = this->chooseUpstream(course)) {
        course.tried.insert(choice->upstream);
        const std::string vm = choice->vm;
        absl::StatusOr<PeerView> view = this->selfView();
        if (vm != this->identity.vm) {
            view = co_await this->peers.connect(vm, course.deadline);
        }
        if (!view.ok() || view->leaving) {
            continue;
        }
        const TimePoint homeClock = fromMilliseconds(view->estimateClockMs(NodeClock::now()));
        PeerResponse response;
        response.headers.add("content-type", "application/json");
        response.body = nlohmann::json{{"key", this->keyGenerator.generate(vm, view->incarnation, homeClock).toString()}}.dump() + "\n";
        co_return response;
    }
    co_return problemResponse(ErrorKind::NoUpstream, "no home of the service can be reached", course.id.toString());
}

asio::awaitable<PeerResponse> RequestForwarder::relayOutcome(std::shared_ptr<PeerCall> call)
{
    const std::string vm = call->request.path.substr(PeerPath::relay.size());
    const auto id = call->request.headers.find(PeerHeader::requestId).value_or("");
    call->request.path = std::string(PeerPath::outcome) + std::string(id);
    if (vm == this->identity.vm) {
        co_return co_await this->home.outcome(call);
    }
    constexpr Duration relayTimeout = std::chrono::seconds(10);
    // Not a temporary of the co_await expression: g++ 12 destroys the captures of such a closure twice.
    std::function<PeerRequest(const PeerView &)> makeRequest = [call](const PeerView &) {
        return call->request;
    };
    auto reply = co_await this->peers.request(vm, std::move(makeRequest), NodeClock::now() + relayTimeout);
    if (!reply.ok()) {
        co_return problemResponse(ErrorKind::PeerUnreachable, messageOf(reply.status()), id);
    }
    co_return std::move(reply->response);
}

} // namespace Galenarack
