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

/// A caller's request, complete. Field names are lower case.
struct CallerRequest
{
    std::string method;
    std::string target; ///< Path and query.
    HeaderList headers;
    std::string body;
};

/// Takes a caller's request through the fleet: route, account, choice of upstream, attempts and outcome queries.
class RequestForwarder
{
public:
    /// @param document gives the document in force, or null before the first
    RequestForwarder(boost::asio::any_io_executor executor,
                     NodeIdentity identity,
                     std::function<std::shared_ptr<const Document>()> document,
                     HomeNode &home,
                     PeerClient &peers,
                     UpstreamDirectory &directory,
                     Metrics &metrics,
                     std::mt19937_64 random);

    /// @return the response for the caller; errors are problem+json (RFC 9457)
    boost::asio::awaitable<PeerResponse> forward(CallerRequest request, std::shared_ptr<Cancellation> cancellation);

    /// Issues an idempotency key for the route of the method and target, bound to a home that can be reached now.
    /// @param keyedRequest the request that the key is for; its headers name the account
    boost::asio::awaitable<PeerResponse> issueKey(CallerRequest keyedRequest);

    /// Answers an outcome query of another ingress that cannot reach the home itself.
    boost::asio::awaitable<PeerResponse> relayOutcome(std::shared_ptr<PeerCall> call);

    /// Call it every 100 ms.
    void tick(TimePoint now);

    /// @return caller requests in progress
    std::size_t requestsInProgress() const
    {
        return this->inProgress;
    }

private:
    /// One caller request on its way.
    struct RequestContext
    {
        CallerRequest request;
        std::shared_ptr<const Document> document;
        const RouteRow *route = nullptr;
        std::string account;
        bool repeatable = false;
        std::optional<IdempotencyKey> key;
        RequestFingerprint fingerprint;
        TimePoint started; ///< When the request was taken up.
        TimePoint received; ///< Surely not after the receipt, also when this process was paused meanwhile.
        TimePoint deadline;
        std::shared_ptr<Cancellation> cancellation;
        bool mayQueue = false; ///< The next attempt may wait for a slot.
        std::set<std::string> tried; ///< Upstreams of earlier attempts.
        RequestId id; ///< Of the last attempt.
        UpstreamDirectory::Choice choice; ///< Of the last attempt.
        Incarnation addressedTo; ///< Home of the last attempt.
        std::int64_t expiryMs = 0; ///< Of the last attempt.
        std::int64_t receivedMs = 0; ///< In the clock of the home of the last attempt.
        std::optional<PeerResponse> response;
        std::string detail; ///< Of the last failure.
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
    std::mt19937_64 random;
    KeyMint mint;
    std::map<std::string, RetryBudget, std::less<>> budgets; ///< By service.
    std::uint64_t sequence = 0;
    TimePoint lastTick;
    TimePoint tickBeforeLast;
    std::size_t inProgress = 0;
    Log log;
};

/// Makes the response for an error: problem+json with the fields `galenarack-error` and `galenarack-execution`.
PeerResponse problemResponse(ErrorKind kind, std::string_view detail, std::string_view requestId);

/// As above, with another statement about execution than that of the kind.
PeerResponse problemResponse(ErrorKind kind, std::string_view detail, std::string_view requestId, Execution execution);

} // namespace Galenarack
