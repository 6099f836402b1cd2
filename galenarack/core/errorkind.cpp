#include <galenarack/core/errorkind.h>

#include <absl/strings/cord.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cassert>

namespace Galenarack {

namespace {

constexpr std::string_view payloadUrl = "galenarack/error-kind";

constexpr std::array errorRows = {
    ErrorRow{ErrorKind::InvalidRequest, "invalid-request", 400, Execution::NotRun, "The request is malformed."},
    ErrorRow{ErrorKind::AmbiguousLength, "ambiguous-length", 400, Execution::NotRun, "The request states its length in two ways."},
    ErrorRow{ErrorKind::HeaderTooLarge, "header-too-large", 431, Execution::NotRun, "The header fields exceed the limit."},
    ErrorRow{ErrorKind::BodyTooLarge, "body-too-large", 413, Execution::NotRun, "The request body exceeds the limit."},
    ErrorRow{ErrorKind::RouteNotFound, "route-not-found", 404, Execution::NotRun, "No route matches the path."},
    ErrorRow{ErrorKind::MethodNotAllowed, "method-not-allowed", 405, Execution::NotRun, "The route does not allow the method."},
    ErrorRow{ErrorKind::AccountUnknown, "account-unknown", 403, Execution::NotRun, "The account is not in the document."},
    ErrorRow{ErrorKind::AccountLimited, "account-limited", 429, Execution::NotRun, "The account is over its limit."},
    ErrorRow{ErrorKind::KeyNotIssued,
             "key-not-issued",
             400,
             Execution::NotRun,
             "The idempotency key was not issued by this fleet; get one from POST /.galenarack/keys."},
    ErrorRow{ErrorKind::KeyExpired, "key-expired", 409, Execution::MayHaveRun, "The idempotency key is older than the retry horizon."},
    ErrorRow{
        ErrorKind::KeyConflict, "key-conflict", 422, Execution::MayHaveRun, "The idempotency key was used before with another request."},
    ErrorRow{ErrorKind::KeyHomeRestarted,
             "key-home-restarted",
             409,
             Execution::MayHaveRun,
             "The node that the idempotency key is bound to has restarted."},
    ErrorRow{ErrorKind::KeyHomeUnreachable,
             "key-home-unreachable",
             503,
             Execution::MayHaveRun,
             "The node that the idempotency key is bound to cannot be reached."},
    ErrorRow{ErrorKind::NotReady, "not-ready", 503, Execution::NotRun, "The node has no document in force yet."},
    ErrorRow{ErrorKind::Draining, "draining", 503, Execution::NotRun, "The node or the upstream is leaving."},
    ErrorRow{ErrorKind::NoUpstream, "no-upstream", 503, Execution::NotRun, "No upstream of the service can take the request."},
    ErrorRow{ErrorKind::UpstreamEjected, "upstream-ejected", 503, Execution::NotRun, "The upstream is ejected."},
    ErrorRow{ErrorKind::UpstreamUnknown, "upstream-unknown", 503, Execution::NotRun, "The node is not the home of the upstream."},
    ErrorRow{ErrorKind::UpstreamConnectFailed, "upstream-connect-failed", 502, Execution::NotRun, "The upstream refused the connection."},
    ErrorRow{ErrorKind::UpstreamShedding, "upstream-shedding", 503, Execution::NotRun, "The upstream sheds load."},
    ErrorRow{ErrorKind::UpstreamAnswerCut, "upstream-answer-cut", 502, Execution::MayHaveRun, "The answer of the upstream was cut short."},
    ErrorRow{ErrorKind::UpstreamAnswerInvalid,
             "upstream-answer-invalid",
             502,
             Execution::MayHaveRun,
             "The answer of the upstream is malformed or belongs to another request."},
    ErrorRow{ErrorKind::UpstreamAnswerTooLarge,
             "upstream-answer-too-large",
             502,
             Execution::MayHaveRun,
             "The answer of the upstream exceeds the limit."},
    ErrorRow{ErrorKind::UpstreamAnswerAmbiguous,
             "upstream-answer-ambiguous",
             502,
             Execution::MayHaveRun,
             "The upstream failed the request without stating whether it ran."},
    ErrorRow{ErrorKind::Overloaded, "overloaded", 503, Execution::NotRun, "The queue of the service is full."},
    ErrorRow{ErrorKind::LedgerFull, "ledger-full", 503, Execution::NotRun, "The execution ledger is full."},
    ErrorRow{ErrorKind::StaleIncarnation,
             "stale-incarnation",
             503,
             Execution::NotRun,
             "The request was addressed to an earlier run of the node."},
    ErrorRow{ErrorKind::PeerUnreachable, "peer-unreachable", 503, Execution::NotRun, "The home of the upstream cannot be reached."},
    ErrorRow{ErrorKind::PeerLost, "peer-lost", 502, Execution::MayHaveRun, "The connection to the home of the upstream was lost."},
    ErrorRow{ErrorKind::DeadlinePassed, "deadline-passed", 504, Execution::NotRun, "The deadline passed before the work was started."},
    ErrorRow{ErrorKind::Timeout, "timeout", 504, Execution::MayHaveRun, "No answer came within the deadline."},
    ErrorRow{ErrorKind::Cancelled, "cancelled", 499, Execution::MayHaveRun, "The caller cancelled the request."},
    ErrorRow{ErrorKind::Tombstoned, "tombstoned", 409, Execution::NotRun, "The request was declared as not run and will not run."},
    ErrorRow{ErrorKind::AnswerNotKept, "answer-not-kept", 409, Execution::Ran, "The work ran, but its answer is no longer kept."},
    ErrorRow{ErrorKind::OutcomeUnknown, "outcome-unknown", 502, Execution::MayHaveRun, "The outcome of the work is not known."},
    ErrorRow{ErrorKind::ConnectionLimit, "connection-limit", 503, Execution::NotRun, "The node has too many connections."},
    ErrorRow{ErrorKind::ConfigInvalid, "config-invalid", 500, Execution::NotRun, "The document is not valid."},
    ErrorRow{ErrorKind::ConfigStale, "config-stale", 500, Execution::NotRun, "The revision is older than the one in force."},
    ErrorRow{ErrorKind::SettingInvalid, "setting-invalid", 500, Execution::NotRun, "A setting is wrong, missing or contradicts another."},
    ErrorRow{ErrorKind::Internal, "internal", 500, Execution::MayHaveRun, "An internal error happened."},
};

/// errorRow() indexes the table by kind, so the rows must be in the order of the enumeration.
constexpr bool rowsAreInOrder()
{
    for (std::size_t i = 0; i < errorRows.size(); ++i) {
        if (static_cast<std::size_t>(errorRows[i].kind) != i) {
            return false;
        }
    }
    return true;
}
static_assert(rowsAreInOrder());
static_assert(errorRows.size() == static_cast<std::size_t>(ErrorKind::Internal) + 1);

absl::StatusCode statusCodeFor(const ErrorRow &row)
{
    if (row.execution == Execution::MayHaveRun) {
        return absl::StatusCode::kUnknown;
    }
    return row.httpStatus >= 500 ? absl::StatusCode::kUnavailable : absl::StatusCode::kFailedPrecondition;
}

} // namespace

std::string_view executionName(Execution execution)
{
    switch (execution) {
    case Execution::NotRun:
        return "not-run";
    case Execution::Ran:
        return "ran";
    case Execution::MayHaveRun:
        return "may-have-run";
    }
    return "may-have-run";
}

std::span<const ErrorRow> errorTable()
{
    return errorRows;
}

const ErrorRow &errorRow(ErrorKind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    assert(index < errorRows.size());
    return errorRows[index];
}

std::optional<ErrorKind> errorKindFromName(std::string_view name)
{
    const auto row = std::ranges::find(errorRows, name, &ErrorRow::name);
    if (row == errorRows.end()) {
        return std::nullopt;
    }
    return row->kind;
}

absl::Status makeError(ErrorKind kind, std::string_view detail)
{
    const ErrorRow &row = errorRow(kind);
    absl::Status status(statusCodeFor(row), std::string(detail));
    status.SetPayload(std::string(payloadUrl), absl::Cord(std::string(row.name)));
    return status;
}

ErrorKind errorKindOf(const absl::Status &status)
{
    const auto payload = status.GetPayload(std::string(payloadUrl));
    if (!payload) {
        return ErrorKind::Internal;
    }
    return errorKindFromName(std::string(*payload)).value_or(ErrorKind::Internal);
}

std::string messageOf(const absl::Status &status)
{
    return std::string(status.message());
}

std::string problemBody(ErrorKind kind, std::string_view detail, std::string_view requestId)
{
    return problemBody(kind, detail, requestId, errorRow(kind).execution);
}

std::string problemBody(ErrorKind kind, std::string_view detail, std::string_view requestId, Execution execution)
{
    const ErrorRow &row = errorRow(kind);
    nlohmann::ordered_json body;
    body["type"] = "urn:galenarack:error:" + std::string(row.name);
    body["title"] = row.title;
    body["status"] = row.httpStatus;
    body["detail"] = detail;
    body["execution"] = executionName(execution);
    body["request_id"] = requestId;
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

} // namespace Galenarack
