#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Galenarack {

/// What is known about the execution of the work behind a request.
enum class Execution : std::uint8_t {
    NotRun, ///< The work did not run and will not run because of this request.
    Ran, ///< The work ran.
    MayHaveRun, ///< Nothing certain is known.
};

/// @return "not-run", "ran" or "may-have-run"
std::string_view executionName(Execution execution);

/// The closed list of errors that a caller, a peer or an operator can see.
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

/// One row of the table from error kind to answer.
struct ErrorRow
{
    ErrorKind kind; ///< Row key.
    std::string_view name; ///< Stable name in logs, metrics, headers and problem types, e.g. "deadline-passed".
    unsigned httpStatus; ///< Status of the answer to the caller.
    Execution execution; ///< What the kind says about execution.
    std::string_view title; ///< One line for people.
};

/// @return the whole table, one row per kind, in the order of the enumeration
std::span<const ErrorRow> errorTable();

/// @return the row of `kind`
const ErrorRow &errorRow(ErrorKind kind);

/// @return the kind with that name, or nothing
std::optional<ErrorKind> errorKindFromName(std::string_view name);

/// Makes a status that carries `kind` as payload.
/// @param detail what happened, with the values concerned
absl::Status makeError(ErrorKind kind, std::string_view detail);

/// @return the kind carried by a status that is not ok; Internal when it carries none
ErrorKind errorKindOf(const absl::Status &status);

/// @return the message of a status, in the string type of the standard library
std::string messageOf(const absl::Status &status);

/// Body of the answer to a caller (RFC 9457, application/problem+json), with the members
/// "type", "title", "status", "detail", "execution" and "request_id".
std::string problemBody(ErrorKind kind, std::string_view detail, std::string_view requestId);

/// As above, with another statement about execution than that of the kind: a request that was not sent on says nothing
/// about an earlier one with the same idempotency key.
std::string problemBody(ErrorKind kind, std::string_view detail, std::string_view requestId, Execution execution);

} // namespace Galenarack
