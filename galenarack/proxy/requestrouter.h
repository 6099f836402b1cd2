#pragma once

#include <galenarack/core/log.h>
#include <galenarack/fleet/fleetview.h>
#include <galenarack/ingress/requestforwarder.h>
#include <galenarack/operators/metrics.h>
#include <galenarack/policy/durationestimate.h>
#include <galenarack/policy/placement.h>
#include <galenarack/policy/weightedsplit.h>
#include <galenarack/proxy/dialect.h>
#include <galenarack/proxy/homeservice.h>
#include <galenarack/proxy/peerlinks.h>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Galenarack {

/// Identity of a node for its router.
struct RouterSettings
{
    std::string service; ///< Of the upstream on this VM; every request that begins here is attributed to it.
    std::string failureDomain;
    boost::asio::ip::address vm;
};

/// Takes a caller's request through the fleet: route, choice of upstream, offers to homes, repeats and hedges.
class RequestRouter
{
public:
    RequestRouter(boost::asio::any_io_executor executor,
                  RouterSettings settings,
                  const Dialect &dialect,
                  const FleetView &view,
                  HomeService &home,
                  PeerLinks &links,
                  Metrics &metrics,
                  std::mt19937_64 random);

    /// @param isConfigCurrent whether an unknown route is surely unknown to the operators as well
    /// @return the final response for the caller
    boost::asio::awaitable<PeerResponse> route(CallerRequest request, std::shared_ptr<Cancellation> cancellation, bool isConfigCurrent);

    /// The node is leaving: requests that come now are taken only if their work will surely have ended by a time.
    void drainUntil(TimePoint end);

    /// Refuses the requests that no upstream works on: the node ends before they could be run.
    void refuseUnstarted();

    /// @return requests in progress
    std::size_t inProgress() const
    {
        return this->open.size();
    }

private:
    /// One offer to a home, while it is open and after.
    struct Attempt
    {
        std::string upstream;
        std::shared_ptr<Cancellation> cancellation = std::make_shared<Cancellation>();
        PeerProgress progress;
        TimePoint started;
        bool done = false;
        bool handled = false;
        absl::StatusOr<PeerResponse> result = PeerResponse();
        std::optional<OfferReport> report;
    };

    /// An upstream to ask, and on what terms.
    struct Target
    {
        UpstreamBelief *upstream = nullptr;
        Duration maxQueueWait{}; ///< Longest wait for a slot there.
        bool allowUnhealthy = false;
        bool allowTrial = false;
    };

    /// One caller's request on its way.
    struct RequestContext
    {
        RequestContext(const boost::asio::any_io_executor &executor, CallerRequest request)
            : request(std::move(request))
            , wake(executor)
        {
        }
        CallerRequest request;
        std::string id;
        std::shared_ptr<const TrafficConfig> config;
        const TrafficRoute *route = nullptr;
        std::string service;
        TimePoint started;
        TimePoint deadline;
        TimePoint targetDeadline;
        Duration expected{};
        std::shared_ptr<Cancellation> cancellation;
        boost::asio::steady_timer wake; ///< Cancelled when an attempt has ended or the caller has left.
        std::vector<std::shared_ptr<Attempt>> attempts;
        std::vector<std::string> excluded; ///< Upstreams that are not asked again.
        std::string declineSummary; ///< What each home said that handed the request back, for the log.
        std::vector<HandBack> declinedOffers; ///< Upstreams that can still have the request, at a cost.
        std::vector<std::string> sentTo; ///< Upstreams that got the request, or may have.
        std::vector<std::string> rejectedBy; ///< Upstreams that rejected it without running it.
        unsigned offers = 0;
        std::optional<PeerResponse> failure; ///< Of an upstream; sent on when no attempt does better.
        OfferOutcome lastOutcome = OfferOutcome::Unconnected;
        bool mayHaveRun = false;
        Duration retryAfter{};
        bool hedged = false;
        bool abandoned = false; ///< The node ends before the request can be started.
    };

    /// What to do after an attempt has ended.
    enum class NextStep : std::uint8_t {
        Respond, ///< The attempt has the final response.
        TryNext, ///< Ask another upstream.
        Fail, ///< No attempt can do better.
    };

    bool prepare(RequestContext &context, PeerResponse &refusal, bool isConfigCurrent);
    boost::asio::awaitable<PeerResponse> run(std::shared_ptr<RequestContext> context);
    bool startAttempt(const std::shared_ptr<RequestContext> &context, bool isHedge);
    Target chooseTarget(RequestContext &context, bool isHedge);
    Target chooseRejectingUpstream(RequestContext &context, TimePoint now);
    Target chooseFallback(RequestContext &context, PlacementRequest request, TimePoint now);
    Duration maxQueueWait(const RequestContext &context, TimePoint now) const;
    std::optional<TimePoint> hedgeTime(const RequestContext &context) const;
    void startHedge(const std::shared_ptr<RequestContext> &context);
    boost::asio::awaitable<void> runAttempt(std::shared_ptr<RequestContext> context, std::shared_ptr<Attempt> attempt, PeerRequest request);
    PeerRequest makeOffer(const RequestContext &context, const Target &target) const;
    NextStep handleResult(RequestContext &context, Attempt &attempt);
    NextStep handleDeclined(RequestContext &context, const Attempt &attempt);
    NextStep handleSent(RequestContext &context, const Attempt &attempt, bool mayHaveRun);
    bool mayRepeat(const RequestContext &context) const;
    bool isRunning(const RequestContext &context) const;
    bool hasOpenAttempt(const RequestContext &context) const;
    boost::asio::awaitable<PeerResponse> runLocally(Attempt &attempt, PeerRequest request);
    void recordOutcome(const RequestContext &context, const Attempt &attempt);
    PeerResponse respond(const RequestContext &context, Attempt &attempt);
    PeerResponse fail(RequestContext &context, bool timedOut);
    PeerResponse refuse(const RequestContext &context, ErrorKind kind, Duration retryAfter) const;
    void cancelAttempts(RequestContext &context);
    void refreshEntries(TimePoint now);

    boost::asio::any_io_executor executor;
    RouterSettings settings;
    Dialect dialect;
    const FleetView &view;
    HomeService &home;
    PeerLinks &links;
    Metrics &metrics;
    std::mt19937_64 random;
    Placement placement;
    DurationEstimate durations;
    std::map<std::string, WeightedSplit, std::less<>> splits; ///< By route.
    std::uint64_t viewGeneration = 0;
    std::set<std::shared_ptr<RequestContext>> open;
    std::optional<TimePoint> drainEnd; ///< Set when the node takes only work that ends by then.
    Log log{"router"};
};

} // namespace Galenarack
