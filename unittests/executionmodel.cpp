#include "executionmodel.h"

namespace ExecutionModel {

namespace {

constexpr std::size_t callerCount = 8;
constexpr Duration maxDeadline = std::chrono::seconds(2);

template<typename... Functions>
struct Overloaded : Functions...
{
    using Functions::operator()...;
};
template<typename... Functions>
Overloaded(Functions...) -> Overloaded<Functions...>;

WorkId workOf(const LedgerRequest &request)
{
    return request.key ? WorkId::of(*request.key) : WorkId::of(request.id);
}

std::string responseTo(const std::string &body)
{
    return "done " + body + " end";
}

} // namespace

std::vector<Fault> randomFaults(std::mt19937_64 &random, std::uint64_t maxGapMs)
{
    constexpr std::size_t faultCount = 40;
    std::vector<Fault> faults;
    faults.reserve(faultCount);
    while (faults.size() < faultCount) {
        faults.push_back({static_cast<Fault::Kind>(random() % 5),
                          random() % nodeCount,
                          random() % nodeCount,
                          static_cast<int>(random() % maxGapMs),
                          static_cast<int>(random() % 5000)});
    }
    return faults;
}

Counts &Counts::operator+=(const Counts &other)
{
    this->steps += other.steps;
    this->answered += other.answered;
    this->reportedNotRun += other.reportedNotRun;
    this->uncertain += other.uncertain;
    this->resolved += other.resolved;
    this->stillRunning += other.stillRunning;
    this->joinedOrRetained += other.joinedOrRetained;
    this->ledgerFull += other.ledgerFull;
    return *this;
}

Simulation::Simulation(std::uint64_t seed, std::vector<Fault> faults, DisabledProtection disabled)
    : random(seed)
    , faults(std::move(faults))
    , disabled(disabled)
    , waitingFor(callerCount)
    , keyGenerator(seed)
{
    // Short times, so that entries, keys and responses expire within a simulation.
    this->limits.maxEntries = 4 + this->randomBelow(60);
    this->limits.maxResponseBytes = 4000;
    this->limits.retryHorizon = std::chrono::seconds(10);
    this->limits.responseRetention = std::chrono::seconds(3);
    this->limits.maxRequestLifetime = maxDeadline;
    this->limits.outcomeMargin = std::chrono::seconds(1);
    for (std::size_t node = 0; node < nodeCount; ++node) {
        this->startNode(node);
    }
    for (std::size_t caller = 0; caller < callerCount; ++caller) {
        this->schedule(this->now + this->randomDuration(300, 600), noNode, {}, [this, caller] {
            this->newWork(caller);
        });
    }
    if (!this->faults.empty()) {
        this->applyFault(0);
    }
}

const std::string &Simulation::run(std::uint64_t steps)
{
    while (this->counts.steps < steps && this->violation.empty()) {
        Event event = this->events.top();
        this->events.pop();
        this->now = event.time;
        if (event.node != noNode) {
            const Node &node = this->nodes[event.node];
            if (node.frozenUntil > this->now) {
                event.time = node.frozenUntil;
                this->events.push(std::move(event));
                continue;
            }
            if (event.incarnation.value != 0 && event.incarnation != node.incarnation) {
                continue;
            }
        }
        event.action();
        ++this->counts.steps;
    }
    return this->violation;
}

std::uint64_t Simulation::randomBelow(std::uint64_t count)
{
    return this->random() % count;
}

bool Simulation::withProbability(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
}

Duration Simulation::randomDuration(int minMs, int maxMs)
{
    return std::chrono::microseconds(1000 * minMs + this->randomBelow(1000 * (maxMs - minMs)));
}

void Simulation::schedule(TimePoint time, std::size_t node, Incarnation incarnation, std::function<void()> action)
{
    this->events.push({time, this->eventOrder++, node, incarnation, std::move(action)});
}

void Simulation::startTimer(std::size_t node, Duration delay, std::function<void()> action)
{
    this->schedule(this->now + delay, node, this->nodes[node].incarnation, std::move(action));
}

void Simulation::sendMessage(std::size_t from, std::size_t to, const std::function<void(bool isCopy)> &action, bool duplicate)
{
    if (this->cutUntil[from][to] > this->now) {
        return;
    }
    const double kind = std::uniform_real_distribution<double>(0, 1)(this->random);
    const Duration delay = kind < 0.9    ? this->randomDuration(1, 3)
                           : kind < 0.97 ? this->randomDuration(3, 300)
                                         : this->randomDuration(300, 6000);
    // Delivered to any incarnation of the node, which is a weaker guarantee than that of TCP.
    this->schedule(this->now + delay, to, {}, [action] {
        action(false);
    });
    if (duplicate && this->withProbability(0.1)) {
        const Duration extra = this->withProbability(0.7) ? this->randomDuration(0, 300) : this->randomDuration(300, 8000);
        this->schedule(this->now + delay + extra, to, {}, [action] {
            action(true);
        });
    }
}

void Simulation::startNode(std::size_t index)
{
    Node &node = this->nodes[index];
    node = Node();
    node.incarnation = {this->random() | 1U};
    // Without key binding, the issue time of a key is compared with the clocks of all homes, so these have to agree.
    node.clockOffset = this->disabled == DisabledProtection::KeyBinding ? Duration::zero() : this->randomDuration(0, 100'000);
    node.revision = this->revision;
    node.ledger = std::make_unique<ExecutionLedger>(node.incarnation, this->limits, this->clockOf(index));
    this->heartbeat(index);
}

void Simulation::heartbeat(std::size_t node)
{
    for (std::size_t peer = 0; peer < nodeCount; ++peer) {
        const PeerView view{this->nodes[node].incarnation, this->clockOf(node), {}};
        const std::size_t revision = this->nodes[node].revision;
        const auto update = [this, node, peer, view, revision](bool /*isCopy*/) {
            Node &receiver = this->nodes[peer];
            receiver.peers[node] = {view.incarnation, view.homeClock, this->now};
            receiver.revision = std::max(receiver.revision, revision);
        };
        this->sendMessage(node, peer, update, false);
    }
    this->nodes[node].ledger->expire(this->clockOf(node));
    this->startTimer(node, std::chrono::milliseconds(200), [this, node] {
        this->heartbeat(node);
    });
}

void Simulation::applyFault(std::size_t number)
{
    const Fault &fault = this->faults[number];
    const TimePoint end = this->now + std::chrono::milliseconds(fault.durationMs);
    Node &node = this->nodes[fault.node];
    switch (fault.kind) {
    case Fault::CutOneWay:
        this->cutUntil[fault.node][fault.other] = end;
        break;
    case Fault::Isolate:
        for (std::size_t other = 0; other < nodeCount; ++other) {
            this->cutUntil[fault.node][other] = this->cutUntil[other][fault.node] = end;
        }
        break;
    case Fault::Freeze:
        if (node.frozenUntil <= this->now) {
            node.frozenSince = this->now;
        }
        node.frozenUntil = std::max(node.frozenUntil, end);
        break;
    case Fault::Restart:
        this->startNode(fault.node);
        break;
    case Fault::NewRevision:
        node.revision = ++this->revision;
        break;
    }
    const std::size_t next = (number + 1) % this->faults.size();
    this->schedule(this->now + std::chrono::milliseconds(10 + this->faults[next].gapMs), noNode, {}, [this, next] {
        this->applyFault(next);
    });
}

TimePoint Simulation::clockOf(std::size_t node) const
{
    return this->now + this->nodes[node].clockOffset;
}

TimePoint Simulation::estimate(std::size_t node, std::size_t home, TimePoint localTime) const
{
    const PeerView &view = this->nodes[node].peers[home];
    return view.homeClock + (localTime - view.receivedAt);
}

void Simulation::newWork(std::size_t caller)
{
    CallerRequest request;
    request.caller = caller;
    request.work = this->works.size();
    request.kind = static_cast<WorkKind>(this->randomBelow(3));
    request.body = "work " + std::to_string(request.work);
    this->works.emplace_back();
    if (request.kind == WorkKind::Keyed) {
        const std::size_t ingress = this->randomBelow(nodeCount);
        const std::size_t home = (this->nodes[ingress].revision + this->randomBelow(nodeCount - 1)) % nodeCount;
        const PeerView &view = this->nodes[ingress].peers[home];
        if (view.incarnation.value == 0 || this->nodes[ingress].frozenUntil > this->now) {
            request.kind = WorkKind::NonRepeatable;
        } else {
            request.key
                = this->keyGenerator.generate("vm-" + std::to_string(home), view.incarnation, this->estimate(ingress, home, this->now));
        }
    }
    this->send(request);
}

void Simulation::send(CallerRequest request)
{
    request.serial = this->nextSerial++;
    request.deadline = this->withProbability(0.3) ? this->randomDuration(50, 500) : maxDeadline;
    ++request.ordinal;
    this->waitingFor[request.caller] = request.serial;
    const std::size_t ingress = this->randomBelow(nodeCount);
    const Node &node = this->nodes[ingress];
    // A frozen ingress reads the request after it resumes and uses a time before the pause as the time of receipt.
    const TimePoint received = node.frozenUntil > this->now ? node.frozenSince : this->now;
    this->schedule(this->now, ingress, node.incarnation, [this, ingress, request, received] {
        this->startTask(ingress, request, this->disabled == DisabledProtection::ReceiptBeforePause ? this->now : received);
    });
    const Duration callerTimeout = this->withProbability(0.3) ? this->randomDuration(5, 300) : this->randomDuration(300, 5000);
    this->schedule(this->now + callerTimeout, noNode, {}, [this, request] {
        this->handleCallerTimeout(request);
    });
}

void Simulation::resend(CallerRequest request)
{
    // Some callers use the same key for different content.
    if (this->withProbability(0.05)) {
        request.body += " changed";
    }
    const Duration pause = this->withProbability(0.8) ? this->randomDuration(1, 50) : this->randomDuration(50, 12'000);
    this->schedule(this->now + pause, noNode, {}, [this, request] {
        this->send(request);
    });
}

void Simulation::handleCallerTimeout(const CallerRequest &request)
{
    if (this->waitingFor[request.caller] == request.serial) {
        this->replyToCaller(request, {ErrorKind::Timeout, {}});
    }
}

void Simulation::replyToCaller(const CallerRequest &request, const Reply &reply)
{
    if (this->waitingFor[request.caller] != request.serial) {
        return;
    }
    this->waitingFor[request.caller] = 0;
    Work &work = this->works[request.work];
    const auto reported = reply.kind ? errorRow(*reply.kind).execution : Galenarack::Execution::Ran;
    if (!reply.kind) {
        ++this->counts.answered;
        this->check(reply.body == responseTo(request.body), "a caller gets only its own whole response", request);
    }
    if (reported == Galenarack::Execution::Ran) {
        this->check(work.runs > 0, "what was reported as run did run", request);
    }
    if (reported == Galenarack::Execution::NotRun) {
        ++this->counts.reportedNotRun;
        work.lastNotRunOrdinal = std::max(work.lastNotRunOrdinal, request.ordinal);
        this->check(work.runs == 0 || work.runOrdinal > work.lastNotRunOrdinal, "what was reported as not run did not run", request);
    }
    const bool isResent
        = request.key && request.ordinal < 6 && (reported == Galenarack::Execution::MayHaveRun || this->withProbability(0.4));
    if (isResent) {
        this->resend(request);
        return;
    }
    this->schedule(this->now + this->randomDuration(1, 100), noNode, {}, [this, caller = request.caller] {
        this->newWork(caller);
    });
}

void Simulation::startTask(std::size_t node, const CallerRequest &request, TimePoint received)
{
    const bool isRuleDisabled = this->disabled == DisabledProtection::UncertaintyRule;
    const AttemptMachine machine(isRuleDisabled ? WorkKind::Repeatable : request.kind, this->nodes[node].budget);
    const auto task = std::make_shared<Task>(Task{node, request, received, machine, noNode, {}, 0, false, false});
    this->startTimer(node, request.deadline, [this, task] {
        this->handleEvent(task, AttemptEvent::DeadlineReached());
    });
    if (this->withProbability(0.03)) {
        this->startTimer(node, this->randomDuration(1, 100), [this, task] {
            this->handleEvent(task, AttemptEvent::Cancelled());
        });
    }
    this->handleEvent(task, AttemptEvent::Started());
}

void Simulation::handleEvent(const TaskPtr &task, const AttemptEvent::Any &event, const Reply &reply)
{
    const AttemptAction::Any action = task->machine.on(event);
    std::visit(Overloaded{[&](const AttemptAction::Answer &) {
                              this->endTask(task, reply);
                          },
                          [&](const AttemptAction::Fail &fail) {
                              this->endTask(task, {fail.kind, {}});
                          },
                          [](const AttemptAction::Ignore &) {},
                          [&](const auto &next) {
                              this->perform(task, next);
                          }},
               action);
}

std::size_t Simulation::selectHome(const Task &task)
{
    if (task.request.key && this->disabled != DisabledProtection::KeyBinding && this->disabled != DisabledProtection::UncertaintyRule) {
        return task.request.key->vm.back() - '0';
    }
    // Each revision excludes one home.
    return (this->nodes[task.node].revision + this->randomBelow(nodeCount - 1)) % nodeCount;
}

void Simulation::perform(const TaskPtr &task, const AttemptAction::Send & /*action*/)
{
    Node &node = this->nodes[task->node];
    task->home = this->selectHome(*task);
    const unsigned stream = ++task->stream;
    const Incarnation addressedTo = node.peers[task->home].incarnation;
    if (addressedTo.value == 0 || this->withProbability(0.02)) {
        this->handleEvent(task, AttemptEvent::NotSent());
        return;
    }
    const TimePoint received = this->estimate(task->node, task->home, task->received);
    const RequestId id{node.incarnation, node.nextSequence++};
    const auto fingerprint = RequestFingerprint::of("POST", "/", task->request.body);
    task->sent = {id, addressedTo, received, received + task->request.deadline, fingerprint, task->request.key};

    const ReplyTo reply = this->replyTo(task, task->home, noNode, false);
    const auto deliver = [this, home = task->home, sent = task->sent, content = task->request, reply](bool isCopy) {
        // A reply to a duplicate is dropped, since the duplicate has no stream.
        this->receive(home, sent, content, isCopy ? [](const Reply &) {} : reply);
    };
    this->sendMessage(task->node, task->home, deliver, task->request.kind != WorkKind::Repeatable);
    this->startTimer(task->node, this->randomDuration(20, 1500), [this, task, stream] {
        if (task->stream == stream) {
            this->handleEvent(task, AttemptEvent::ConnectionLost());
        }
    });
}

void Simulation::perform(const TaskPtr &task, const AttemptAction::QueryOutcome &action)
{
    this->counts.uncertain += task->queried ? 0 : 1;
    task->queried = true;
    const unsigned stream = ++task->stream;
    const std::size_t via = action.throughThirdNode ? this->randomBelow(nodeCount) : noNode;
    this->startTimer(task->node, action.delay, [this, task, via] {
        const ReplyTo reply = this->replyTo(task, task->home, via, true);
        const auto deliver = [this, task, home = task->home, sent = task->sent, reply](bool /*isCopy*/) {
            task->foundRunning = this->receiveQuery(home, sent, reply) || task->foundRunning;
        };
        if (via == noNode) {
            this->sendMessage(task->node, task->home, deliver, true);
            return;
        }
        const auto relay = [this, via, home = task->home, deliver, reply](bool /*isCopy*/) {
            if (this->withProbability(0.05)) {
                reply({ErrorKind::NotReady, {}}); // Refusal by the third node itself.
                return;
            }
            this->sendMessage(via, home, deliver, true);
        };
        this->sendMessage(task->node, via, relay, true);
    });
    this->startTimer(task->node, action.delay + this->randomDuration(50, 500), [this, task, stream] {
        if (task->stream == stream) {
            this->handleEvent(task, AttemptEvent::OutcomeUnreachable());
        }
    });
}

Simulation::ReplyTo Simulation::replyTo(const TaskPtr &task, std::size_t home, std::size_t via, bool isQuery)
{
    const auto arrive = [this, task, isQuery, stream = task->stream, ingress = this->nodes[task->node].incarnation](const Reply &reply) {
        if (task->stream != stream || this->nodes[task->node].incarnation != ingress) {
            return;
        }
        if (!reply.kind && this->withProbability(0.03)) {
            this->handleEvent(task, AttemptEvent::BadResponse());
        } else if (!reply.kind) {
            this->handleEvent(task, AttemptEvent::Response(), reply);
        } else if (isQuery) {
            this->handleEvent(task, AttemptEvent::OutcomeReply{*reply.kind});
        } else {
            this->handleEvent(task, AttemptEvent::Refused{*reply.kind});
        }
    };
    return [this, home, via, arrive, node = task->node](const Reply &reply) {
        const auto deliver = [arrive, reply](bool /*isCopy*/) {
            arrive(reply);
        };
        if (via == noNode) {
            this->sendMessage(home, node, deliver, false);
            return;
        }
        const auto relay = [this, via, node, deliver](bool /*isCopy*/) {
            this->sendMessage(via, node, deliver, false);
        };
        this->sendMessage(home, via, relay, false);
    };
}

void Simulation::endTask(const TaskPtr &task, const Reply &reply)
{
    const bool isDefinite = !reply.kind || errorRow(*reply.kind).execution != Galenarack::Execution::MayHaveRun;
    this->counts.resolved += task->queried && isDefinite ? 1 : 0;
    this->counts.stillRunning += task->queried && !isDefinite && task->foundRunning ? 1 : 0;
    ++task->stream;
    this->replyToCaller(task->request, reply);
}

LedgerRequest Simulation::withoutDisabledProtection(std::size_t home, LedgerRequest request) const
{
    const TimePoint clock = this->clockOf(home);
    if (this->disabled == DisabledProtection::HomeExpiry) {
        request.received = clock;
        request.expiry = clock + this->limits.maxRequestLifetime;
    }
    if (this->disabled == DisabledProtection::ReceiptOrder) {
        request.received = std::max(request.received, clock);
    }
    if (this->disabled == DisabledProtection::IncarnationCheck) {
        request.addressedTo = this->nodes[home].incarnation;
    }
    if (this->disabled == DisabledProtection::KeyBinding && request.key) {
        request.key->home = this->nodes[home].incarnation;
    }
    if (this->disabled == DisabledProtection::Fingerprint) {
        request.fingerprint = {};
    }
    return request;
}

void Simulation::receive(std::size_t home, const LedgerRequest &sent, const CallerRequest &content, const ReplyTo &reply)
{
    if (content.kind == WorkKind::Repeatable) {
        this->receiveRepeatable(home, sent, content, reply);
        return;
    }
    Node &node = this->nodes[home];
    const LedgerRequest request = this->withoutDisabledProtection(home, sent);
    node.seen.insert(workOf(request));
    std::visit(Overloaded{[&](const LedgerDecision::Run &run) {
                              node.running[run.work] = {content, sent.expiry, {reply}};
                              this->startTimer(home, this->randomDuration(0, 40), [this, home, work = run.work] {
                                  this->dispatch(home, work);
                              });
                          },
                          [&](const LedgerDecision::Join &join) {
                              ++this->counts.joinedOrRetained;
                              node.running[join.work].waiting.push_back(reply);
                          },
                          [&](const LedgerDecision::Retained &retained) {
                              ++this->counts.joinedOrRetained;
                              reply({std::nullopt, retained.response->body});
                          },
                          [&](const LedgerDecision::Tombstoned &) {
                              reply({ErrorKind::Tombstoned, {}});
                          },
                          [&](const LedgerDecision::Refuse &refuse) {
                              this->counts.ledgerFull += refuse.kind == ErrorKind::LedgerFull ? 1 : 0;
                              reply({refuse.kind, {}});
                          }},
               node.ledger->admit(request, this->clockOf(home)));
}

void Simulation::receiveRepeatable(std::size_t home, const LedgerRequest &request, const CallerRequest &content, const ReplyTo &reply)
{
    if (request.addressedTo != this->nodes[home].incarnation) {
        reply({ErrorKind::StaleIncarnation, {}});
    } else if (request.expiry <= this->clockOf(home)) {
        reply({ErrorKind::DeadlinePassed, {}});
    } else if (this->withProbability(0.05)) {
        reply({ErrorKind::Overloaded, {}});
    } else {
        this->countRun(content);
        this->startTimer(home, this->randomDuration(1, 100), [reply, body = responseTo(content.body)] {
            reply({std::nullopt, body});
        });
    }
}

bool Simulation::receiveQuery(std::size_t home, const LedgerRequest &sent, const ReplyTo &reply)
{
    Node &node = this->nodes[home];
    const LedgerRequest request = this->withoutDisabledProtection(home, sent);
    if (this->disabled == DisabledProtection::Tombstone && !node.seen.contains(workOf(request))) {
        reply({ErrorKind::Tombstoned, {}});
        return false;
    }
    const auto outcome = node.ledger->queryOutcome(request, this->clockOf(home));
    std::visit(Overloaded{[&](const LedgerDecision::Join &join) {
                              node.running[join.work].waiting.push_back(reply);
                          },
                          [&](const LedgerDecision::Retained &retained) {
                              reply({std::nullopt, retained.response->body});
                          },
                          [&](const LedgerDecision::Tombstoned &) {
                              reply({ErrorKind::Tombstoned, {}});
                          },
                          [&](const LedgerDecision::Refuse &refuse) {
                              reply({refuse.kind, {}});
                          }},
               outcome);
    return std::holds_alternative<LedgerDecision::Join>(outcome);
}

void Simulation::dispatch(std::size_t home, const WorkId &work)
{
    ExecutionLedger &ledger = *this->nodes[home].ledger;
    if (this->withProbability(0.08)) {
        ledger.abandon(work, this->clockOf(home));
        this->endExecution(home, work, {ErrorKind::Overloaded, {}});
    } else if (const auto refused = ledger.markDispatched(work, this->clockOf(home))) {
        ledger.abandon(work, this->clockOf(home));
        this->endExecution(home, work, {*refused, {}});
    } else if (this->withProbability(0.05)) {
        ledger.abandon(work, this->clockOf(home));
        this->endExecution(home, work, {ErrorKind::UpstreamShedding, {}});
    } else {
        const Execution &execution = this->nodes[home].running.at(work);
        const bool isInTime = execution.expiry > this->clockOf(home) || this->disabled == DisabledProtection::HomeExpiry;
        this->check(isInTime, "no work starts at or after its expiry", execution.request);
        this->countRun(execution.request);
        const Duration serviceTime = this->withProbability(0.9) ? this->randomDuration(1, 100) : this->randomDuration(100, 4000);
        this->startTimer(home, serviceTime, [this, home, work] {
            this->complete(home, work);
        });
    }
}

void Simulation::complete(std::size_t home, const WorkId &work)
{
    ExecutionLedger &ledger = *this->nodes[home].ledger;
    if (this->withProbability(0.05)) {
        ledger.finish(work, ErrorKind::UpstreamAnswerCut, this->clockOf(home));
        this->endExecution(home, work, {ErrorKind::UpstreamAnswerCut, {}});
        return;
    }
    auto response = std::make_shared<RetainedResponse>();
    response->body = responseTo(this->nodes[home].running.at(work).request.body);
    const Reply reply{std::nullopt, response->body};
    ledger.finish(work, std::move(response), this->clockOf(home));
    this->endExecution(home, work, reply);
}

void Simulation::endExecution(std::size_t home, const WorkId &work, const Reply &reply)
{
    const auto ended = this->nodes[home].running.extract(work);
    for (const ReplyTo &waiting : ended.mapped().waiting) {
        waiting(reply);
    }
}

void Simulation::countRun(const CallerRequest &request)
{
    Work &work = this->works[request.work];
    ++work.runs;
    work.runOrdinal = request.ordinal;
    this->check(work.runs == 1 || request.kind == WorkKind::Repeatable, "non-repeatable work runs at most once", request);
    this->check(request.ordinal > work.lastNotRunOrdinal, "what was reported as not run never runs", request);
}

void Simulation::check(bool holds, const char *property, const CallerRequest &request)
{
    if (holds || !this->violation.empty()) {
        return;
    }
    this->violation = std::string(property) + ": " + request.body + ", request " + std::to_string(request.ordinal) + " of it, at "
                      + std::to_string(toMilliseconds(this->now)) + " ms";
}

} // namespace ExecutionModel
