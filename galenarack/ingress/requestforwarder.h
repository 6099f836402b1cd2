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
    /// @param wanted the request that the key is for; its headers name the account
    boost::asio::awaitable<PeerResponse> issueKey(CallerRequest wanted);

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
    struct Course
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

    absl::Status prepare(Course &course) const;
    absl::Status findRoute(Course &course) const;
    absl::Status findAccount(Course &course) const;
    boost::asio::awaitable<PeerResponse> run(Course &course);
    boost::asio::awaitable<AttemptEvent::Any> attempt(Course &course, unsigned number);
    boost::asio::awaitable<AttemptEvent::Any> queryOutcome(Course &course, bool throughThirdNode);
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> send(const std::string &vm,
                                                              std::function<PeerRequest(const PeerView &)> makeRequest,
                                                              const Course &course);
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> sendToSelf(PeerRequest request, const Course &course);
    PeerRequest makeAttempt(Course &course, unsigned number, const PeerView &view);
    ForwardMeta makeMeta(const Course &course) const;
    AttemptEvent::Any interpretAttempt(Course &course, absl::StatusOr<PeerResponse> response);
    std::optional<UpstreamDirectory::Choice> chooseUpstream(const Course &course);
    boost::asio::awaitable<PeerResponse> runWithinLimits(Course &course);
    void takeReport(const Course &course, const PeerResponse &response);
    const std::string &serviceOf(const Course &course) const;
    std::uint32_t routeClassOfCourse(const Course &course) const;
    void count(const Course &course, std::optional<ErrorKind> outcome);
    std::optional<std::string> chooseThirdNode(const Course &course);
    PeerView selfView() const;
    RetryBudget &budgetOf(const Course &course);
    PeerResponse toCallerResponse(Course &course) const;
    Course makeCourse(CallerRequest request);
    PeerResponse failure(const Course &course, ErrorKind kind);
    PeerResponse refuseLocally(const Course &course, const absl::Status &status);

    boost::asio::any_io_executor executor;
    NodeIdentity identity;
    std::function<std::shared_ptr<const Document>()> document;
    HomeNode &home;
    PeerClient &peers;
    UpstreamDirectory &directory;
    Metrics &metrics;
    AccountLimiter limiter;
    std::mt19937_64 random;
    KeyGenerator keyGenerator;
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
