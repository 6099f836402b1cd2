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
    void refuseWaiting();

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
        bool judged = false;
        absl::StatusOr<PeerResponse> result = PeerResponse();
        std::optional<OfferReport> report;
    };

    /// An upstream to ask, and on what terms.
    struct Target
    {
        UpstreamView *belief = nullptr;
        Duration patience{}; ///< Longest wait for a slot there.
        bool allowUnhealthy = false;
        bool allowTrial = false;
    };

    /// One caller's request on its way.
    struct Course
    {
        Course(const boost::asio::any_io_executor &executor, CallerRequest request)
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
        TimePoint targetBy;
        Duration expected{};
        std::shared_ptr<Cancellation> cancellation;
        boost::asio::steady_timer wake; ///< Cancelled when an attempt has ended or the caller has left.
        std::vector<std::shared_ptr<Attempt>> attempts;
        std::vector<std::string> excluded; ///< Upstreams that are not asked again.
        std::string handBackText; ///< What each home said that handed the request back, for the log.
        std::vector<DeclinedOffer> handBacks; ///< Upstreams that can still have the request, at a cost.
        std::vector<std::string> sentTo; ///< Upstreams that got the request, or may have.
        std::vector<std::string> rejecting; ///< Upstreams that rejected it without running it.
        unsigned offers = 0;
        std::optional<PeerResponse> failure; ///< Of an upstream; sent on when no attempt does better.
        OfferEnd lastEnd = OfferEnd::Unconnected;
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

    bool prepare(Course &course, PeerResponse &refusal, bool isConfigCurrent);
    boost::asio::awaitable<PeerResponse> run(std::shared_ptr<Course> course);
    bool startAttempt(const std::shared_ptr<Course> &course, bool isHedge);
    Target chooseTarget(Course &course, bool isHedge);
    Target chooseRejecting(Course &course, TimePoint now);
    Target chooseLastResort(Course &course, PlacementRequest request, TimePoint now);
    Duration longestWait(const Course &course, TimePoint now) const;
    std::optional<TimePoint> hedgeTime(const Course &course) const;
    void startHedge(const std::shared_ptr<Course> &course);
    boost::asio::awaitable<void> runAttempt(std::shared_ptr<Course> course, std::shared_ptr<Attempt> attempt, PeerRequest request);
    PeerRequest makeOffer(const Course &course, const Target &target) const;
    NextStep judge(Course &course, Attempt &attempt);
    NextStep afterHandBack(Course &course, const Attempt &attempt);
    NextStep afterArrival(Course &course, const Attempt &attempt, bool mayHaveRun);
    bool mayRepeat(const Course &course) const;
    bool isWorking(const Course &course) const;
    bool hasOpenAttempt(const Course &course) const;
    boost::asio::awaitable<PeerResponse> runHere(Attempt &attempt, PeerRequest request);
    void learn(const Course &course, const Attempt &attempt);
    PeerResponse respond(const Course &course, Attempt &attempt);
    PeerResponse fail(Course &course, bool timedOut);
    PeerResponse refuse(const Course &course, ErrorKind kind, Duration retryAfter) const;
    void withdrawAll(Course &course);
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
    std::set<std::shared_ptr<Course>> open;
    std::optional<TimePoint> drainEnd; ///< Set when the node takes only work that ends by then.
    Log log{"router"};
};

} // namespace Galenarack
