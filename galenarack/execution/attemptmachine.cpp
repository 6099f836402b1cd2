#include <galenarack/execution/attemptmachine.h>

#include <algorithm>
#include <cassert>

namespace Galenarack {

namespace {

constexpr unsigned maxAttempts = 3;
constexpr unsigned maxQueries = 8;
constexpr Duration firstQueryDelay = std::chrono::milliseconds(100);
constexpr Duration maxQueryDelay = std::chrono::seconds(1);

/// Returns whether another home could accept a request that was refused with this kind. The kind must mean not run.
bool mayAnotherHomeAccept(ErrorKind kind)
{
    switch (kind) {
    case ErrorKind::NotReady:
    case ErrorKind::Draining:
    case ErrorKind::UpstreamEjected:
    case ErrorKind::UpstreamUnknown:
    case ErrorKind::UpstreamConnectFailed:
    case ErrorKind::UpstreamShedding:
    case ErrorKind::Overloaded:
    case ErrorKind::LedgerFull:
    case ErrorKind::StaleIncarnation:
    case ErrorKind::PeerUnreachable:
    case ErrorKind::Tombstoned:
    case ErrorKind::ConnectionLimit:
        return true;
    default:
        return false;
    }
}

bool isNotRun(ErrorKind kind)
{
    return errorRow(kind).execution == Execution::NotRun;
}

/// Returns the delay before an outcome query, counted from 0. The first two queries, over the direct path and through a
/// third node, are sent without delay; after that the delay doubles up to maxQueryDelay.
Duration queryDelay(unsigned query)
{
    if (query < 2) {
        return Duration::zero();
    }
    return std::min(firstQueryDelay * (1 << (query - 2)), maxQueryDelay);
}

} // namespace

AttemptMachine::AttemptMachine(WorkKind work, RetryBudget &budget)
    : budget(budget)
    , work(work)
{
}

AttemptAction::Any AttemptMachine::on(const AttemptEvent::Any &event)
{
    if (this->state == State::Done) {
        return AttemptAction::Ignore();
    }
    return std::visit(
        [this](const auto &specific) {
            return this->onEvent(specific);
        },
        event);
}

AttemptAction::Any AttemptMachine::onEvent(AttemptEvent::Started /*event*/)
{
    assert(this->state == State::Idle);
    this->budget.onFirstAttempt();
    return this->send();
}

AttemptAction::Any AttemptMachine::onEvent(AttemptEvent::NotSent event)
{
    assert(this->state == State::Sending);
    // A kind that does not mean not run is no proof that nothing was sent.
    if (!isNotRun(event.kind)) {
        return this->resolve(event.kind);
    }
    // An earlier request with the same key may have run through any ingress, and only the home has a record of it.
    if (this->work == WorkKind::Keyed) {
        return this->fail(ErrorKind::KeyHomeUnreachable);
    }
    return this->afterNotRun(event.kind);
}

AttemptAction::Any AttemptMachine::onEvent(AttemptEvent::Refused event)
{
    assert(this->state == State::Sending);
    return isNotRun(event.kind) ? this->afterNotRun(event.kind) : this->afterUncertain(event.kind);
}

AttemptAction::Any AttemptMachine::onEvent(AttemptEvent::ConnectionLost /*event*/)
{
    assert(this->state == State::Sending);
    return this->resolve(ErrorKind::PeerLost);
}

AttemptAction::Any AttemptMachine::onEvent(AttemptEvent::Response /*event*/)
{
    assert(this->state == State::Sending || this->state == State::Querying);
    this->state = State::Done;
    return AttemptAction::Answer();
}

AttemptAction::Any AttemptMachine::onEvent(AttemptEvent::BadResponse event)
{
    if (this->state == State::Querying) {
        return this->query();
    }
    assert(this->state == State::Sending);
    return this->resolve(isNotRun(event.kind) ? ErrorKind::UpstreamAnswerInvalid : event.kind);
}

AttemptAction::Any AttemptMachine::onEvent(AttemptEvent::OutcomeReply event)
{
    assert(this->state == State::Querying);
    if (event.kind == ErrorKind::Tombstoned) {
        return this->afterNotRun(event.kind);
    }
    // Any other kind that means not run may come from the third node and apply to the query itself. If the home abandoned
    // the work before dispatch, it has a tombstone and returns Tombstoned to the next query.
    return isNotRun(event.kind) ? this->query() : this->afterUncertain(event.kind);
}

AttemptAction::Any AttemptMachine::onEvent(AttemptEvent::OutcomeUnreachable /*event*/)
{
    assert(this->state == State::Querying);
    return this->query();
}

AttemptAction::Any AttemptMachine::onEvent(AttemptEvent::DeadlineReached event)
{
    const bool definite = this->work != WorkKind::Keyed && (this->state == State::Idle || (this->state == State::Sending && !event.sent));
    return this->fail(definite ? ErrorKind::DeadlinePassed : ErrorKind::Timeout);
}

AttemptAction::Any AttemptMachine::onEvent(AttemptEvent::Cancelled /*event*/)
{
    return this->fail(ErrorKind::Cancelled);
}

AttemptAction::Any AttemptMachine::send()
{
    this->state = State::Sending;
    ++this->attempts;
    return AttemptAction::Send{this->attempts};
}

AttemptAction::Any AttemptMachine::query()
{
    if (this->queries == maxQueries) {
        return this->fail(this->pending);
    }
    this->state = State::Querying;
    const bool throughThirdNode = this->queries % 2 == 1;
    return AttemptAction::QueryOutcome{throughThirdNode, queryDelay(this->queries++)};
}

AttemptAction::Any AttemptMachine::fail(ErrorKind kind)
{
    this->state = State::Done;
    // The request did not run only if none of its attempts ran.
    if (this->uncertain && isNotRun(kind)) {
        kind = *this->uncertain;
    }
    return AttemptAction::Fail{kind};
}

AttemptAction::Any AttemptMachine::afterNotRun(ErrorKind kind)
{
    if (this->work == WorkKind::Keyed || this->attempts >= maxAttempts || !mayAnotherHomeAccept(kind)) {
        return this->fail(kind);
    }
    // A shed request reached an upstream, so unlimited retries would add to the load that the upstream sheds.
    if (kind == ErrorKind::UpstreamShedding && !this->budget.tryRetry()) {
        return this->fail(kind);
    }
    return this->send();
}

AttemptAction::Any AttemptMachine::afterUncertain(ErrorKind kind)
{
    if (this->work != WorkKind::Repeatable || this->attempts >= maxAttempts || !this->budget.tryRetry()) {
        return this->fail(kind);
    }
    this->uncertain = this->uncertain.value_or(kind);
    return this->send();
}

AttemptAction::Any AttemptMachine::resolve(ErrorKind kind)
{
    if (this->work == WorkKind::Repeatable) {
        return this->afterUncertain(kind);
    }
    this->pending = kind;
    this->queries = 0;
    return this->query();
}

} // namespace Galenarack
