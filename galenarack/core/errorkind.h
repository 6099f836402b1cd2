#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Galenarack {

/// States whether the work of a request was executed.
enum class Execution : std::uint8_t {
    NotRun, ///< The work did not run and will not run as a result of this request.
    Ran, ///< The work ran.
    MayHaveRun, ///< It is not known whether the work ran.
};

/// @return "not-run", "ran" or "may-have-run"
std::string_view executionName(Execution execution);

/// Closed list of the errors that are reported to callers, peers and operators.
enum class ErrorKind : std::uint8_t {
    InvalidRequest,
    AmbiguousLength,
    HeaderTooLarge,
    BodyTooLarge,
    RouteNotFound,
    MethodNotAllowed,
    AccountUnknown,
    AccountLimited,
    KeyNotIssued,
    KeyExpired,
    KeyConflict,
    KeyHomeRestarted,
    KeyHomeUnreachable,
    NotReady,
    Draining,
    NoUpstream,
    UpstreamEjected,
    UpstreamUnknown,
    UpstreamConnectFailed,
    UpstreamShedding,
    UpstreamAnswerCut,
    UpstreamAnswerInvalid,
    UpstreamAnswerTooLarge,
    UpstreamAnswerAmbiguous,
    Overloaded,
    LedgerFull,
    StaleIncarnation,
    PeerUnreachable,
    PeerLost,
    DeadlinePassed,
    Timeout,
    Cancelled,
    Tombstoned,
    AnswerNotKept,
    OutcomeUnknown,
    ConnectionLimit,
    ConfigInvalid,
    ConfigStale,
    SettingInvalid,
    Internal,
};

/// Properties of one error kind: a row of errorTable().
struct ErrorRow
{
    ErrorKind kind; ///< Key of the row.
    std::string_view name; ///< Stable name of the kind in logs, metrics, headers and problem types, e.g. "deadline-passed".
    unsigned httpStatus; ///< HTTP status of the response to the caller.
    Execution execution; ///< Execution of the work that the kind implies.
    std::string_view title; ///< Human-readable description in one sentence.
};

/// @return all rows, one for each kind, in the order of the enumeration
std::span<const ErrorRow> errorTable();

/// @return the row of `kind`
const ErrorRow &errorRow(ErrorKind kind);

/// @return the kind with that name, or std::nullopt
std::optional<ErrorKind> errorKindFromName(std::string_view name);

/// Creates a status with `kind` as payload.
/// @param detail description of the error, with the values concerned
absl::Status makeError(ErrorKind kind, std::string_view detail);

/// @return the kind in the payload of an error status; Internal when it has no such payload
ErrorKind errorKindOf(const absl::Status &status);

/// @return the message of a status as std::string
std::string messageOf(const absl::Status &status);

/// Formats the body of an error response to a caller (RFC 9457, application/problem+json), with the members
/// "type", "title", "status", "detail", "execution" and "request_id".
std::string problemBody(ErrorKind kind, std::string_view detail, std::string_view requestId);

/// Formats the body with an execution other than that of the kind: if a request was not forwarded, an earlier request
/// with the same idempotency key may still have run.
std::string problemBody(ErrorKind kind, std::string_view detail, std::string_view requestId, Execution execution);

} // namespace Galenarack
