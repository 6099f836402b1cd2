#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/core/errorkind.h>
#include <galenarack/routing/retrybudget.h>

#include <cstdint>
#include <optional>
#include <variant>

namespace Galenarack {

/// How many times the work of a request may run.
enum class WorkKind : std::uint8_t {
    Repeatable, ///< Any number of times.
    NonRepeatable, ///< At most once; the request has no key.
    Keyed, ///< At most once for its idempotency key; only the home of the key may run it.
};

/// Events of the attempt or outcome query in progress. After an event that ends an attempt, the driver closes the
/// attempt's stream and reports no further event of it.
namespace AttemptEvent {

/// The caller's request was read in full.
struct Started
{
};
/// Nothing was sent, or the peer did not process the stream: there is no home to send to, the connect failed, the peer
/// sent REFUSED_STREAM, or the stream is above the last stream id of a GOAWAY.
struct NotSent
{
    /// Cause, e.g. NoUpstream. A kind that does not mean not run is handled as ConnectionLost.
    ErrorKind kind = ErrorKind::PeerUnreachable;
};
/// The home answered with an error kind (header `galenarack-error`).
struct Refused
{
    ErrorKind kind;
};
/// The connection failed or stopped responding after at least one byte of the request may have been sent.
struct ConnectionLost
{
};
/// The complete response to this request was received, from the attempt or from the outcome query.
struct Response
{
};
/// A response was received that is truncated, malformed or belongs to another request.
struct BadResponse
{
    ErrorKind kind = ErrorKind::UpstreamAnswerInvalid; ///< Has to be a kind that means may have run.
};
/// The home answered an outcome query with an error kind: Tombstoned when the work did not and will not run,
/// AnswerNotKept, OutcomeUnknown, or the kind that the execution ended with. A retained response is reported as Response.
/// Only Tombstoned is taken as proof that the work did not run, so an error of the third node itself may be reported too.
struct OutcomeReply
{
    ErrorKind kind;
};
/// An outcome query got no reply.
struct OutcomeUnreachable
{
};
/// The deadline of the caller's request was reached.
struct DeadlineReached
{
    bool sent = true; ///< Whether any byte of the attempt in progress may have been sent.
};
/// The caller closed its connection or cancelled the request.
struct Cancelled
{
};

using Any = std::
    variant<Started, NotSent, Refused, ConnectionLost, Response, BadResponse, OutcomeReply, OutcomeUnreachable, DeadlineReached, Cancelled>;

} // namespace AttemptEvent

/// Actions that the driver has to take next.
namespace AttemptAction {

/// Send the request with a new request id and report how the attempt ended. The driver selects the upstream; for Keyed
/// work it is always one at the home of the key.
struct Send
{
    unsigned attempt; ///< Number of the attempt, from 1; from 2 on, an upstream that was not tried yet is preferred.
};
/// Query the home of the last attempt for the outcome of its request id and report the result. The home answers once
/// the execution has ended.
struct QueryOutcome
{
    bool throughThirdNode; ///< Query through another node, because the direct path may be cut.
    Duration delay; ///< Delay before the query is sent; zero for the first two queries.
};
/// Answer the caller with the response of the last event.
struct Answer
{
};
/// Answer the caller with this error. Its Execution in errorTable() applies to all attempts of the request together.
struct Fail
{
    ErrorKind kind;
};
/// Do nothing, because the caller was already answered.
struct Ignore
{
};

using Any = std::variant<Send, QueryOutcome, Answer, Fail, Ignore>;

} // namespace AttemptAction

/// State machine for one caller request at the ingress. For each event it decides whether the request is sent again, its
/// outcome is queried or the caller is answered. At most one attempt or query is in progress at a time.
/// Responses, ids and connections are held by the driver.
class AttemptMachine
{
public:
    /// @param budget retry budget of the service; must outlive this object
    AttemptMachine(WorkKind work, RetryBudget &budget);

    /// Handles one event.
    /// @return the next action; after Answer or Fail, which end the request, always Ignore
    AttemptAction::Any on(const AttemptEvent::Any &event);

    /// @return number of attempts started so far
    unsigned attemptCount() const
    {
        return this->attempts;
    }

private:
    enum class State : std::uint8_t {
        Idle, ///< Nothing sent yet.
        Sending,
        Querying,
        Done,
    };

    AttemptAction::Any onEvent(AttemptEvent::Started event);
    AttemptAction::Any onEvent(AttemptEvent::NotSent event);
    AttemptAction::Any onEvent(AttemptEvent::Refused event);
    AttemptAction::Any onEvent(AttemptEvent::ConnectionLost event);
    AttemptAction::Any onEvent(AttemptEvent::Response event);
    AttemptAction::Any onEvent(AttemptEvent::BadResponse event);
    AttemptAction::Any onEvent(AttemptEvent::OutcomeReply event);
    AttemptAction::Any onEvent(AttemptEvent::OutcomeUnreachable event);
    AttemptAction::Any onEvent(AttemptEvent::DeadlineReached event);
    AttemptAction::Any onEvent(AttemptEvent::Cancelled event);

    AttemptAction::Any send();
    AttemptAction::Any query();
    AttemptAction::Any fail(ErrorKind kind);
    /// Continues after an attempt that certainly did not run.
    AttemptAction::Any afterNotRun(ErrorKind kind);
    /// Continues after an attempt that may have run and whose home cannot tell the outcome.
    AttemptAction::Any afterUncertain(ErrorKind kind);
    /// Continues after an attempt that may have run and whose home may know the outcome.
    AttemptAction::Any resolve(ErrorKind kind);

    RetryBudget &budget;
    WorkKind work;
    State state = State::Idle;
    unsigned attempts = 0;
    unsigned queries = 0;
    std::optional<ErrorKind> uncertain; ///< Error kind of the first attempt that may have run and whose outcome stays unknown.
    ErrorKind pending = ErrorKind::PeerLost; ///< Error kind of the attempt whose outcome is queried.
};

} // namespace Galenarack
