#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/core/errorkind.h>
#include <galenarack/routing/retrybudget.h>

#include <cstdint>
#include <optional>
#include <variant>

namespace Galenarack {

/// How often the work of a request may run.
enum class WorkKind : std::uint8_t {
    Repeatable, ///< Any number of times.
    NonRepeatable, ///< At most once; the request has no key.
    Keyed, ///< At most once for its idempotency key; only the home of the key may run it.
};

/// What happened to the attempt or outcome query in progress. Events that end an attempt are terminal for it:
/// the driver closes the stream and reports nothing further about it.
namespace AttemptEvent {

/// The caller's request was read in full.
struct Started
{
};
/// Nothing was sent, or the peer states that it did not process the stream: no home to send to, connect failed,
/// REFUSED_STREAM, or a stream above the last stream id of GOAWAY.
struct NotSent
{
    ErrorKind kind = ErrorKind::PeerUnreachable; ///< E.g. NoUpstream; a kind other than not run counts as lost.
};
/// The home answered with an error kind (header `galenarack-error`).
struct Refused
{
    ErrorKind kind;
};
/// The connection broke or went silent after at least one byte of the request may have been sent.
struct ConnectionLost
{
};
/// The complete response to this request is at hand, from the attempt or from the outcome query.
struct Response
{
};
/// A response arrived that is truncated, malformed or belongs to another request.
struct BadResponse
{
    ErrorKind kind = ErrorKind::UpstreamAnswerInvalid; ///< A kind that means may have run.
};
/// The home answered an outcome query with an error kind: Tombstoned when the work did not and will not run,
/// AnswerNotKept, OutcomeUnknown, or the kind that the execution ended with. A retained response is a Response.
/// Only Tombstoned counts as not run, so an error of the third node itself may be reported as well.
struct OutcomeReply
{
    ErrorKind kind;
};
/// An outcome query got no reply.
struct OutcomeUnreachable
{
};
/// The deadline of the caller's request passed.
struct DeadlineReached
{
    bool sent = true; ///< Whether any byte of the attempt in progress may have been sent.
};
/// The caller closed its connection or cancelled.
struct Cancelled
{
};

using Any = std::
    variant<Started, NotSent, Refused, ConnectionLost, Response, BadResponse, OutcomeReply, OutcomeUnreachable, DeadlineReached, Cancelled>;

} // namespace AttemptEvent

/// What the driver does next.
namespace AttemptAction {

/// Send the request, with a new request id, and report how the attempt ended. The driver selects the upstream,
/// for Keyed work always at the home of the key.
struct Send
{
    unsigned attempt; ///< 1 for the first; from 2 on an upstream that was not tried is preferred.
};
/// Ask the home of the last attempt for the outcome of its request id and report the result. The home answers
/// once the execution has ended.
struct QueryOutcome
{
    bool throughThirdNode; ///< Ask through another node, because the direct path may be cut.
    Duration delay; ///< Time to wait before asking; zero for the first two queries.
};
/// Answer the caller with the response of the last event.
struct Answer
{
};
/// Answer the caller with this error. Its Execution in errorTable() holds for all attempts together.
struct Fail
{
    ErrorKind kind;
};
/// The caller was answered already; the event changes nothing.
struct Ignore
{
};

using Any = std::variant<Send, QueryOutcome, Answer, Fail, Ignore>;

} // namespace AttemptAction

/// Decides, for one caller request at the ingress, what follows each event: where it may be sent again, when its
/// outcome is asked for and what the caller is told. At most one attempt or query is in progress at a time.
/// It holds no response, id or connection; the driver does.
class AttemptMachine
{
public:
    /// @param budget of the service; must outlive this object
    AttemptMachine(WorkKind work, RetryBudget &budget);

    /// @return what to do next; Answer and Fail are returned once, then always Ignore
    AttemptAction::Any on(const AttemptEvent::Any &event);

    /// Attempts started so far.
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
    /// The attempt definitely did not run.
    AttemptAction::Any afterNotRun(ErrorKind kind);
    /// The attempt may have run, and asking the home is of no use.
    AttemptAction::Any afterUncertain(ErrorKind kind);
    /// The attempt may have run, and the home may know.
    AttemptAction::Any resolve(ErrorKind kind);

    RetryBudget &budget;
    WorkKind work;
    State state = State::Idle;
    unsigned attempts = 0;
    unsigned queries = 0;
    std::optional<ErrorKind> uncertain; ///< Kind of the first attempt that may have run and stays unresolved.
    ErrorKind pending = ErrorKind::PeerLost; ///< Kind of the attempt whose outcome is asked for.
};

} // namespace Galenarack
