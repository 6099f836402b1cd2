#pragma once

#include <galenarack/core/log.h>
#include <galenarack/fleet/fleetview.h>
#include <galenarack/fleet/revisiontracker.h>
#include <galenarack/ingress/requestforwarder.h>
#include <galenarack/operators/metrics.h>
#include <galenarack/policy/drainschedule.h>
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

/// Identity of the node that a RequestRouter belongs to.
struct RouterSettings
{
    std::string service; ///< Service of the upstream on this VM; sent as the caller's service with every request from this VM.
    std::string failureDomain; ///< Failure domain of this VM.
    boost::asio::ip::address vm; ///< Address of this VM.
};

/// Ingress side of request handling: matches a caller's request to a route, chooses an upstream, offers the request to that
/// upstream's home, and repeats or hedges it where the route allows.
class RequestRouter
{
public:
    RequestRouter(boost::asio::any_io_executor executor,
                  RouterSettings settings,
                  const Dialect &dialect,
                  FleetView &view,
                  HomeService &home,
                  PeerLinks &links,
                  RevisionTracker &revisions,
                  Metrics &metrics,
                  std::mt19937_64 random);

    /// Handles one request of a caller until its response is final.
    /// @param isConfigCurrent whether the node has the latest configuration; without it an unknown route is answered NotReady,
    ///        because the route may have been added since
    /// @return the response for the caller, also when the request fails
    boost::asio::awaitable<PeerResponse> route(CallerRequest request, std::shared_ptr<Cancellation> cancellation, bool isConfigCurrent);

    /// Called when the node is leaving: from now on starts only work that the schedule allows.
    void drain(const DrainSchedule &schedule);

    /// Refuses the requests that no upstream is running and that may no longer be sent to one, because the node is leaving. Call it
    /// every 100 ms while the node is leaving.
    void tickDrain(TimePoint now);

    /// Logs each request in progress, because the leaving node stops now and cuts it.
    void logCutRequests(TimePoint now) const;

    /// @return number of requests in progress
    std::size_t inProgress() const
    {
        return this->open.size();
    }

private:
    /// One offer of a request to a home, in progress or done.
    struct Attempt
    {
        std::string upstream; ///< Id of the upstream that the request is offered to.
        std::shared_ptr<Cancellation> cancellation = std::make_shared<Cancellation>();
        PeerProgress progress;
        TimePoint started;
        bool done = false; ///< The result is final.
        bool handled = false; ///< handleResult() has seen the result.
        absl::StatusOr<PeerResponse> result = PeerResponse();
        std::optional<OfferReport> report; ///< Report of the home; empty when there is no response or it carries none.
    };

    /// The upstream chosen for the next offer, and the terms of that offer.
    struct Target
    {
        UpstreamView *upstream = nullptr; ///< Null when no upstream can be chosen.
        Duration maxQueueWait{}; ///< Longest wait for a slot of this upstream.
        bool allowUnhealthy = false; ///< As Offer::allowUnhealthy.
        bool allowTrial = false; ///< As Offer::allowTrial.
    };

    /// State of one caller's request until its response is final.
    struct RequestContext
    {
        RequestContext(const boost::asio::any_io_executor &executor, CallerRequest request)
            : request(std::move(request))
            , wake(executor)
        {
        }
        CallerRequest request;
        std::string id; ///< Request id of the caller; may be empty.
        std::shared_ptr<const TrafficConfig> config; ///< Configuration in force when the request came; owns the route.
        const TrafficRoute *route = nullptr;
        std::string service; ///< Service that the request is sent to.
        TimePoint started;
        TimePoint deadline;
        TimePoint targetDeadline; ///< Time by which a response meets the latency target of the route.
        Duration expected{}; ///< Usual duration of the work.
        std::shared_ptr<Cancellation> cancellation;
        boost::asio::steady_timer wake; ///< Cancelled when the state of the request changes, so that run() continues.
        std::vector<std::shared_ptr<Attempt>> attempts;
        std::vector<std::string> excluded; ///< Upstreams that the request is not offered to again.
        std::string declineSummary; ///< Reports of the homes that declined the request, for the log.
        std::vector<DeclinedOffer> declinedOffers; ///< Upstreams whose home may still run the request, after a wait or at a risk.
        std::vector<std::string> sentTo; ///< Upstreams that received the request, or may have received it.
        std::vector<std::string> rejectedBy; ///< Upstreams that rejected the request without running it.
        unsigned offers = 0; ///< Number of offers made so far.
        std::optional<PeerResponse> failure; ///< Latest error response of an upstream; sent to the caller if all attempts fail.
        OfferOutcome lastOutcome = OfferOutcome::Unconnected;
        bool mayHaveRun = false; ///< An upstream ran the request, or may have run it.
        ErrorKind uncertainKind = ErrorKind::PeerLost; ///< Reported when it is not known whether the request ran.
        Duration retryAfter{}; ///< Longest wait for a slot that a home has reported.
        std::optional<Duration> limitWait; ///< Shortest wait for room in the limit of an upstream, among those without room.
        bool hedged = false; ///< The time to send a hedge has passed, whether or not one was sent.
    };

    /// Next step of a request after one of its attempts is done.
    enum class NextStep : std::uint8_t {
        Respond, ///< The response of the attempt is final.
        TryNext, ///< The request is offered to another upstream.
        Fail, ///< No further attempt is allowed.
    };

    /// Fills the context from the request and the configuration.
    /// @return false when the request is refused, with the refusal for the caller
    bool prepare(RequestContext &context, PeerResponse &refusal, bool isConfigCurrent);

    boost::asio::awaitable<PeerResponse> run(std::shared_ptr<RequestContext> context);

    /// @return false when no further offer can be made
    bool startAttempt(const std::shared_ptr<RequestContext> &context, bool isHedge);

    /// @return whether the upstream has an offer or a run of the request whose result has not been handled
    static bool hasUnhandledAttempt(const RequestContext &context, std::string_view upstream);

    /// @return ids of the upstreams that the request may not be offered to: excluded ones, and those that have an offer or a run of it
    static std::vector<std::string> unavailableUpstreams(const RequestContext &context);

    Target chooseTarget(RequestContext &context, bool isHedge);

    /// Chooses an upstream that has rejected the request before, once the limit on upstreams that receive it is reached.
    Target chooseRejectingUpstream(RequestContext &context, TimePoint now);

    /// Chooses where the request waits for a slot or runs on an unhealthy upstream, when no upstream is left that would run it
    /// soon.
    Target chooseFallback(RequestContext &context, PlacementRequest request, TimePoint now);

    /// @return true Retry-After of a request that no upstream takes now
    Duration retryAfter(const RequestContext &context, TimePoint now) const;

    Duration maxQueueWait(const RequestContext &context, TimePoint now) const;

    /// @return when the request is hedged, or nothing when it is not to be
    std::optional<TimePoint> hedgeTime(const RequestContext &context) const;

    void startHedge(const std::shared_ptr<RequestContext> &context);
    boost::asio::awaitable<void> runAttempt(std::shared_ptr<RequestContext> context, std::shared_ptr<Attempt> attempt, PeerRequest request);
    PeerRequest makeOffer(const RequestContext &context, const Target &target) const;
    NextStep handleResult(RequestContext &context, Attempt &attempt);

    /// Handles an offer that the home ended before the upstream received the request.
    NextStep handleDeclined(RequestContext &context, const Attempt &attempt);

    /// Handles a failed attempt whose request reached an upstream, or may have.
    NextStep handleSent(RequestContext &context, const Attempt &attempt, bool mayHaveRun);

    /// @return whether one more attempt may send the request to an upstream
    bool mayRepeat(const RequestContext &context) const;

    /// @return false when the leaving node could stop before the request ends
    bool mayStart(const RequestContext &context, TimePoint now) const;

    /// @return whether the request was released to a home that may run it and has not responded yet
    bool isRunning(const RequestContext &context) const;

    bool hasOpenAttempt(const RequestContext &context) const;

    /// Offers the request to the home on this node.
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
    FleetView &view;
    HomeService &home;
    PeerLinks &links;
    RevisionTracker &revisions;
    Metrics &metrics;
    std::mt19937_64 random;
    Placement placement;
    DurationEstimate durations;
    std::map<std::string, WeightedSplit, std::less<>> splits; ///< Traffic splits by name of the route.
    std::uint64_t viewGeneration = 0; ///< Generation of the fleet view that the placement was last updated from.
    std::set<std::shared_ptr<RequestContext>> open; ///< Requests in progress.
    std::optional<DrainSchedule> drainSchedule; ///< Set while the node is leaving.
    Log log{"router"};
};

} // namespace Galenarack
