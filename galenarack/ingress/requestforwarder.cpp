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
constexpr std::string_view keyField = "idempotency-key";

/// Account of requests that name none.
constexpr std::string_view anonymousAccount = "anonymous";

/// Time that the ingress waits for a home beyond the deadline. The home reports a time-out itself at the deadline, and its
/// response tells more about the request than no response.
constexpr Duration homeTimeoutGrace = std::chrono::milliseconds(50);

/// First attempt that may wait for a slot. Earlier ones are refused at once when no slot is free, so that another upstream
/// can run the request: a refusal costs one round trip, a wait in the queue the remaining run time of another request.
constexpr unsigned firstQueueingAttempt = 3;

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

bool suggestsRetry(unsigned status)
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
    response.headers.add(PeerHeader::execution, executionName(execution));
    if (suggestsRetry(row.httpStatus)) {
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
    RequestContext context = this->makeContext(std::move(request));
    context.cancellation = std::move(cancellation);
    if (const absl::Status status = this->prepare(context); !status.ok()) {
        co_return this->refuseLocally(context, status);
    }
    co_return co_await this->runWithinLimits(context);
}

RequestForwarder::RequestContext RequestForwarder::makeContext(CallerRequest request)
{
    RequestContext context;
    context.request = std::move(request);
    context.started = NodeClock::now();
    // When this process was paused, the bytes may have been in the socket since before the pause. They are read in the
    // iteration of the event loop that also runs the first tick after it, so the tick before that one precedes the bytes.
    context.received = std::min(context.started, this->tickBeforeLast);
    context.document = this->document();
    context.id = RequestId{this->identity.incarnation, ++this->sequence};
    return context;
}

PeerResponse RequestForwarder::refuseLocally(const RequestContext &context, const absl::Status &status)
{
    const ErrorKind kind = errorKindOf(status);
    this->log.warn("request refused", {{"request_id", context.id.toString()}, {"error_kind", errorRow(kind).name}});
    // This request was not forwarded, but an earlier one with the same key may have run.
    const auto key = context.request.headers.find(keyField);
    const bool mayHaveRun = key && IdempotencyKey::parse(*key);
    const Execution execution = mayHaveRun ? Execution::MayHaveRun : errorRow(kind).execution;
    return problemResponse(kind, messageOf(status), context.id.toString(), execution);
}

void RequestForwarder::tick(TimePoint now)
{
    this->tickBeforeLast = std::exchange(this->lastTick, now);
    this->limiter.tick(now);
}

asio::awaitable<PeerResponse> RequestForwarder::runWithinLimits(RequestContext &context)
{
    const AccountRow *account = context.document->accounts.find(context.account);
    if (account == nullptr) {
        co_return co_await this->run(context);
    }
    if (const absl::Status status = this->limiter.admit(*account, context.started); !status.ok()) {
        this->count(context, errorKindOf(status));
        co_return this->refuseLocally(context, status);
    }
    const ScopeGuard finished([this, name = account->name] {
        this->limiter.finish(name);
    });
    co_return co_await this->run(context);
}

absl::Status RequestForwarder::findRoute(RequestContext &context) const
{
    if (!context.document) {
        return makeError(ErrorKind::NotReady, "no document is in force on this node yet");
    }
    const std::string_view path = pathOf(context.request.target);
    context.route = context.document->routes.find(path, context.request.method);
    if (context.route == nullptr) {
        return makeError(ErrorKind::RouteNotFound, "no route matches " + std::string(path));
    }
    if (!context.route->allows(context.request.method)) {
        return makeError(ErrorKind::MethodNotAllowed, "route " + context.route->prefix + " does not allow " + context.request.method);
    }
    context.deadline = context.started + context.route->deadline;
    return absl::OkStatus();
}

absl::Status RequestForwarder::findAccount(RequestContext &context) const
{
    context.account = context.request.headers.find(PeerHeader::account).value_or(anonymousAccount);
    if (!context.document->accounts.all().empty() && context.document->accounts.find(context.account) == nullptr) {
        return makeError(ErrorKind::AccountUnknown, "account " + context.account + " is not listed in the document");
    }
    return absl::OkStatus();
}

absl::Status RequestForwarder::prepare(RequestContext &context) const
{
    if (absl::Status status = this->findRoute(context); !status.ok()) {
        return status;
    }
    if (absl::Status status = this->findAccount(context); !status.ok()) {
        return status;
    }
    Duration allowed = context.route->deadline;
    const auto routeMs = std::chrono::duration_cast<std::chrono::milliseconds>(allowed).count();
    // Compared in milliseconds, since a large value would overflow in microseconds, the unit of Duration.
    if (const auto timeout = context.request.headers.findNumber(timeoutField); timeout && *timeout < routeMs) {
        allowed = std::chrono::milliseconds(std::max<std::int64_t>(*timeout, 1));
    }
    context.deadline = context.started + allowed;
    if (this->drainEnd && context.deadline > *this->drainEnd) {
        return makeError(ErrorKind::Draining, "the node stops before the deadline of the request");
    }
    context.repeatable = context.route->isRepeatable(context.request.method);
    if (context.repeatable) {
        return absl::OkStatus();
    }
    context.fingerprint = RequestFingerprint::of(context.request.method, context.request.target, context.request.body);
    if (const auto text = context.request.headers.find(keyField)) {
        context.key = IdempotencyKey::parse(*text);
        if (!context.key) {
            return makeError(ErrorKind::KeyNotIssued, "");
        }
    }
    return absl::OkStatus();
}

asio::awaitable<PeerResponse> RequestForwarder::run(RequestContext &context)
{
    const WorkKind kind = context.repeatable ? WorkKind::Repeatable : context.key ? WorkKind::Keyed : WorkKind::NonRepeatable;
    AttemptMachine machine(kind, this->budgetOf(context));
    AttemptAction::Any action = machine.on(AttemptEvent::Started());
    for (;;) {
        if (std::holds_alternative<AttemptAction::Answer>(action)) {
            this->count(context, std::nullopt);
            co_return this->toCallerResponse(context);
        }
        if (const auto *fail = std::get_if<AttemptAction::Fail>(&action)) {
            co_return this->failure(context, fail->kind);
        }
        if (context.cancellation->isRequested()) {
            action = machine.on(AttemptEvent::Cancelled());
        } else if (NodeClock::now() >= context.deadline) {
            action = machine.on(AttemptEvent::DeadlineReached{false});
        } else if (const auto *send = std::get_if<AttemptAction::Send>(&action)) {
            action = machine.on(co_await this->attempt(context, send->attempt));
        } else if (const auto *query = std::get_if<AttemptAction::QueryOutcome>(&action)) {
            asio::steady_timer delay(this->executor, query->delay);
            co_await delay.async_wait(asio::as_tuple(asio::use_awaitable));
            action = machine.on(co_await this->queryOutcome(context, query->throughThirdNode));
        } else {
            co_return this->failure(context, ErrorKind::Internal);
        }
    }
}

asio::awaitable<AttemptEvent::Any> RequestForwarder::attempt(RequestContext &context, unsigned number)
{
    auto choice = this->chooseUpstream(context);
    if (!choice && !context.tried.empty()) {
        // Every upstream was tried, so one of them is tried again, and the request may wait there for a slot.
        context.tried.clear();
        context.mayQueue = true;
        choice = this->chooseUpstream(context);
    }
    if (!choice) {
        context.detail = "no upstream of service " + this->serviceOf(context) + " can be reached";
        co_return AttemptEvent::NotSent{ErrorKind::NoUpstream};
    }
    if (number > 1) {
        this->metrics.countRetry(this->serviceOf(context));
    }
    context.choice = *choice;
    context.tried.insert(choice->upstream);
    const std::string vm = choice->vm;
    // Each attempt has a new id, since a home decides only once whether the request of an id runs.
    context.id = RequestId{this->identity.incarnation, ++this->sequence};
    const std::function<PeerRequest(const PeerView &)> makeRequest = [this, &context, number](const PeerView &view) {
        return this->makeAttempt(context, number, view);
    };
    auto response = co_await this->send(vm, makeRequest, context);
    co_return this->interpretAttempt(context, std::move(response));
}

PeerRequest RequestForwarder::makeAttempt(RequestContext &context, unsigned number, const PeerView &view)
{
    const TimePoint now = NodeClock::now();
    const auto toHomeClock = [&view, now](TimePoint time) {
        return view.estimateClockMs(now) - std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count();
    };
    context.addressedTo = view.incarnation;
    context.receivedMs = toHomeClock(context.received);
    context.expiryMs = toHomeClock(context.deadline);

    PeerRequest request;
    request.method = context.request.method;
    request.path = context.request.target;
    request.body = context.request.body;
    request.headers.add(PeerHeader::kind, "forward");
    for (const HeaderField &field : context.request.headers.all()) {
        if (!field.name.starts_with(PeerHeader::prefix) && (context.repeatable || field.name != keyField)) {
            request.headers.add(field.name, field.value);
        }
    }
    ForwardMeta meta = this->makeMeta(context);
    meta.mayQueue = number >= firstQueueingAttempt || context.mayQueue || context.key.has_value();
    meta.appendTo(request.headers);
    return request;
}

ForwardMeta RequestForwarder::makeMeta(const RequestContext &context) const
{
    ForwardMeta meta;
    meta.id = context.id;
    meta.addressedTo = context.addressedTo;
    meta.receivedMs = context.receivedMs;
    meta.expiryMs = context.expiryMs;
    meta.account = context.account;
    meta.upstream = context.choice.upstream;
    meta.insist = context.choice.insist;
    meta.routeClass = this->routeClassOfRequest(context);
    meta.serviceMedianUs = this->directory.medianLatency(this->serviceOf(context), meta.routeClass, NodeClock::now()).count();
    meta.revision = context.document->revision;
    meta.repeatable = context.repeatable;
    meta.key = context.key;
    meta.fingerprint = context.fingerprint;
    return meta;
}

AttemptEvent::Any RequestForwarder::interpretAttempt(RequestContext &context, absl::StatusOr<PeerResponse> response)
{
    if (!response.ok()) {
        context.detail = messageOf(response.status());
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
    this->applyReport(context, *response);
    if (const auto name = response->headers.find(PeerHeader::error)) {
        context.detail = response->body;
        return AttemptEvent::Refused{errorKindFromName(*name).value_or(ErrorKind::Internal)};
    }
    context.response = std::move(*response);
    return AttemptEvent::Response();
}

asio::awaitable<AttemptEvent::Any> RequestForwarder::queryOutcome(RequestContext &context, bool throughThirdNode)
{
    const std::string vm = context.choice.vm;
    std::string receiver = vm;
    PeerRequest request;
    request.method = "GET";
    request.path = std::string(PeerPath::outcome) + context.id.toString();
    if (throughThirdNode) {
        const auto third = this->chooseThirdNode(context);
        if (!third) {
            co_return AttemptEvent::OutcomeUnreachable();
        }
        receiver = *third;
        request.path = std::string(PeerPath::relay) + vm;
    }
    this->makeMeta(context).appendTo(request.headers);
    const std::function<PeerRequest(const PeerView &)> makeRequest = [&request](const PeerView &) {
        return request;
    };
    auto response = co_await this->send(receiver, makeRequest, context);
    if (!response.ok()) {
        const bool timedOut = errorKindOf(response.status()) == ErrorKind::Timeout;
        co_return timedOut ? AttemptEvent::Any(AttemptEvent::DeadlineReached()) : AttemptEvent::Any(AttemptEvent::OutcomeUnreachable());
    }
    if (const auto name = response->headers.find(PeerHeader::error)) {
        const ErrorKind kind = errorKindFromName(*name).value_or(ErrorKind::OutcomeUnknown);
        // The third node cannot reach the home either, so the response states nothing about the request.
        if (kind == ErrorKind::PeerUnreachable || kind == ErrorKind::PeerLost) {
            co_return AttemptEvent::OutcomeUnreachable();
        }
        co_return AttemptEvent::OutcomeReply{kind};
    }
    context.response = std::move(*response);
    co_return AttemptEvent::Response();
}

asio::awaitable<absl::StatusOr<PeerResponse>> RequestForwarder::send(const std::string &vm,
                                                                     std::function<PeerRequest(const PeerView &)> makeRequest,
                                                                     const RequestContext &context)
{
    if (vm == this->identity.vm) {
        co_return co_await this->sendToSelf(makeRequest(this->selfView()), context);
    }
    auto reply = co_await this->peers.request(vm, std::move(makeRequest), context.deadline + homeTimeoutGrace, context.cancellation);
    if (!reply.ok()) {
        co_return reply.status();
    }
    co_return std::move(reply->response);
}

asio::awaitable<absl::StatusOr<PeerResponse>> RequestForwarder::sendToSelf(PeerRequest request, const RequestContext &context)
{
    const auto call = std::make_shared<PeerCall>();
    call->request = std::move(request);
    context.cancellation->setAction([call] {
        call->cancellation.request();
    });
    const bool isOutcome = call->request.path.starts_with(PeerPath::outcome);
    PeerResponse response;
    if (isOutcome) {
        response = co_await this->home.outcome(call);
    } else {
        response = co_await this->home.forward(call);
    }
    context.cancellation->setAction(nullptr);
    co_return response;
}

PeerView RequestForwarder::selfView() const
{
    const TimePoint now = NodeClock::now();
    return PeerView{this->identity.incarnation, 0, false, toMilliseconds(now), now};
}

std::optional<UpstreamDirectory::Choice> RequestForwarder::chooseUpstream(const RequestContext &context)
{
    const std::string_view vm = context.key ? std::string_view(context.key->vm) : std::string_view();
    return this->directory.select(this->serviceOf(context), context.repeatable, vm, context.tried, NodeClock::now());
}

const std::string &RequestForwarder::serviceOf(const RequestContext &context) const
{
    return context.document->services[context.route->service].name;
}

std::uint32_t RequestForwarder::routeClassOfRequest(const RequestContext &context) const
{
    return static_cast<std::uint32_t>(context.route - context.document->routes.all().data());
}

void RequestForwarder::applyReport(const RequestContext &context, const PeerResponse &response)
{
    if (const auto report = reportFromHeaders(response.headers)) {
        this->directory.report(context.choice.upstream, *report, NodeClock::now());
    }
}

void RequestForwarder::count(const RequestContext &context, std::optional<ErrorKind> outcome)
{
    this->metrics.countRequest(this->serviceOf(context), context.choice.upstream, outcome, NodeClock::now() - context.started);
}

std::optional<std::string> RequestForwarder::chooseThirdNode(const RequestContext &context)
{
    const std::string &homeVm = context.choice.vm;
    std::set<std::string> vms;
    for (const UpstreamRow &upstream : context.document->upstreams) {
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

PeerResponse RequestForwarder::toCallerResponse(RequestContext &context) const
{
    // Fields used between nodes are not sent to callers.
    PeerResponse response;
    response.status = context.response->status;
    response.body = std::move(context.response->body);
    for (const HeaderField &field : context.response->headers.all()) {
        if (!field.name.starts_with(PeerHeader::prefix)) {
            response.headers.add(field.name, field.value);
        }
    }
    response.headers.add(PeerHeader::requestId, context.id.toString());
    return response;
}

RetryBudget &RequestForwarder::budgetOf(const RequestContext &context)
{
    return this->budgets[this->serviceOf(context)];
}

PeerResponse RequestForwarder::failure(const RequestContext &context, ErrorKind kind)
{
    this->count(context, kind);
    this->log.warn("request failed",
                   {{"request_id", context.id.toString()}, {"error_kind", errorRow(kind).name}, {"detail", context.detail}});
    return problemResponse(kind, context.detail, context.id.toString());
}

asio::awaitable<PeerResponse> RequestForwarder::issueKey(CallerRequest keyedRequest)
{
    RequestContext context = this->makeContext(std::move(keyedRequest));
    absl::Status status = this->findRoute(context);
    if (status.ok()) {
        status = this->findAccount(context);
    }
    if (!status.ok()) {
        co_return problemResponse(errorKindOf(status), messageOf(status), context.id.toString());
    }
    while (const auto choice = this->chooseUpstream(context)) {
        context.tried.insert(choice->upstream);
        const std::string vm = choice->vm;
        absl::StatusOr<PeerView> view = this->selfView();
        if (vm != this->identity.vm) {
            view = co_await this->peers.connect(vm, context.deadline);
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
    co_return problemResponse(ErrorKind::NoUpstream, "no home of the service can be reached", context.id.toString());
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
    // Must not be a temporary in the co_await expression: g++ 12 destroys the captures of such a closure twice.
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
