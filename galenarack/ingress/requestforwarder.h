#pragma once

#include <galenarack/core/log.h>
#include <galenarack/core/nodeidentity.h>
#include <galenarack/document/document.h>
#include <galenarack/execution/attemptmachine.h>
#include <galenarack/home/homenode.h>
#include <galenarack/ingress/upstreamdirectory.h>
#include <galenarack/operators/metrics.h>
#include <galenarack/peer/peerclient.h>
#include <galenarack/routing/accountlimiter.h>
#include <galenarack/routing/retrybudget.h>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace Galenarack {

/// A caller's complete request.
struct CallerRequest
{
    std::string method;
    std::string target; ///< Path and query.
    HeaderList headers; ///< Header fields with names in lower case.
    std::string body;
};

/// The ingress role of a node: handles a caller's request from the route and the account through the choice of an upstream,
/// the attempts and the outcome queries to the response.
class RequestForwarder
{
public:
    /// @param document returns the document in force, or null before the first one
    RequestForwarder(boost::asio::any_io_executor executor,
                     NodeIdentity identity,
                     std::function<std::shared_ptr<const Document>()> document,
                     HomeNode &home,
                     PeerClient &peers,
                     UpstreamDirectory &directory,
                     Metrics &metrics,
                     std::mt19937_64 random);

    /// Handles a caller's request.
    /// @param cancellation requested when the caller is gone
    /// @return the response for the caller; errors are problem+json (RFC 9457)
    boost::asio::awaitable<PeerResponse> forward(CallerRequest request, std::shared_ptr<Cancellation> cancellation);

    /// Called when the node is leaving: from now on refuses requests whose deadline is after `end`, since the process could cut them.
    void drainUntil(TimePoint end)
    {
        this->drainEnd = end;
    }

    /// Issues an idempotency key that is bound to a home which can be reached at this time.
    /// @param keyedRequest the request that the key is for: its method and target determine the route, its headers the account
    /// @return the response with the key, or an error when no home of the service can be reached
    boost::asio::awaitable<PeerResponse> issueKey(CallerRequest keyedRequest);

    /// Forwards an outcome query of an ingress that cannot reach the home itself.
    /// @return the response of the home, or PeerUnreachable
    boost::asio::awaitable<PeerResponse> relayOutcome(std::shared_ptr<PeerCall> call);

    /// Advances the account limits and the bound of the time of receipt. Must be called every 100 ms.
    void tick(TimePoint now);

    /// @return number of caller requests in progress
    std::size_t requestsInProgress() const
    {
        return this->inProgress;
    }

private:
    /// State of a caller's request that this ingress is working on.
    struct RequestContext
    {
        CallerRequest request;
        std::shared_ptr<const Document> document;
        const RouteRow *route = nullptr; ///< Route of the request in `document`; null until it was found.
        std::string account;
        bool repeatable = false; ///< Whether the route allows the request to run more than once.
        std::optional<IdempotencyKey> key; ///< Key that the caller sent; empty for a repeatable request.
        RequestFingerprint fingerprint; ///< Fingerprint of method, target and body; unset for a repeatable request.
        TimePoint started; ///< Time at which this ingress began to handle the request.
        TimePoint received; ///< Lower bound of the time of receipt, valid even when this process was paused meanwhile.
        TimePoint deadline;
        std::shared_ptr<Cancellation> cancellation;
        bool mayQueue = false; ///< Whether the next attempt may wait for a slot.
        std::set<std::string> tried; ///< Names of the upstreams of earlier attempts.
        RequestId id; ///< Id of the last attempt.
        UpstreamDirectory::Choice choice; ///< Upstream of the last attempt.
        Incarnation addressedTo; ///< Incarnation of the home of the last attempt.
        std::int64_t expiryMs = 0; ///< Deadline in milliseconds on the clock of the last attempt's home.
        std::int64_t receivedMs = 0; ///< `received` in milliseconds on the clock of the last attempt's home.
        std::optional<PeerResponse> response; ///< Response of the upstream to send to the caller.
        std::string detail; ///< Description of the last failure.
    };

    absl::Status prepare(RequestContext &context) const;
    absl::Status findRoute(RequestContext &context) const;
    absl::Status findAccount(RequestContext &context) const;
    boost::asio::awaitable<PeerResponse> run(RequestContext &context);
    boost::asio::awaitable<AttemptEvent::Any> attempt(RequestContext &context, unsigned number);
    boost::asio::awaitable<AttemptEvent::Any> queryOutcome(RequestContext &context, bool throughThirdNode);
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> send(const std::string &vm,
                                                              std::function<PeerRequest(const PeerView &)> makeRequest,
                                                              const RequestContext &context);
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> sendToSelf(PeerRequest request, const RequestContext &context);
    PeerRequest makeAttempt(RequestContext &context, unsigned number, const PeerView &view);
    ForwardMeta makeMeta(const RequestContext &context) const;
    AttemptEvent::Any interpretAttempt(RequestContext &context, absl::StatusOr<PeerResponse> response);
    std::optional<UpstreamDirectory::Choice> chooseUpstream(const RequestContext &context);
    boost::asio::awaitable<PeerResponse> runWithinLimits(RequestContext &context);
    void applyReport(const RequestContext &context, const PeerResponse &response);
    const std::string &serviceOf(const RequestContext &context) const;
    std::uint32_t routeClassOfRequest(const RequestContext &context) const;
    void count(const RequestContext &context, std::optional<ErrorKind> outcome);
    std::optional<std::string> chooseThirdNode(const RequestContext &context);
    PeerView selfView() const;
    RetryBudget &budgetOf(const RequestContext &context);
    PeerResponse toCallerResponse(RequestContext &context) const;
    RequestContext makeContext(CallerRequest request);
    PeerResponse failure(const RequestContext &context, ErrorKind kind);
    PeerResponse refuseLocally(const RequestContext &context, const absl::Status &status);

    boost::asio::any_io_executor executor;
    NodeIdentity identity;
    std::function<std::shared_ptr<const Document>()> document;
    HomeNode &home;
    PeerClient &peers;
    UpstreamDirectory &directory;
    Metrics &metrics;
    AccountLimiter limiter;
    std::optional<TimePoint> drainEnd; ///< Set while the node is leaving; requests have to end before this time.
    std::mt19937_64 random;
    KeyGenerator keyGenerator;
    std::map<std::string, RetryBudget, std::less<>> budgets; ///< Retry budgets by service name.
    std::uint64_t sequence = 0; ///< Sequence number of the last request id.
    TimePoint lastTick;
    TimePoint tickBeforeLast;
    std::size_t inProgress = 0; ///< Number of caller requests in progress.
    Log log;
};

/// Makes the response to a caller for an error: problem+json with the fields `galenarack-error` and `galenarack-execution`.
/// @param detail description for the caller; when empty, the title of the error kind is used
PeerResponse problemResponse(ErrorKind kind, std::string_view detail, std::string_view requestId);

/// Makes the response to a caller for an error whose statement about execution differs from the default of its kind.
PeerResponse problemResponse(ErrorKind kind, std::string_view detail, std::string_view requestId, Execution execution);

} // namespace Galenarack
