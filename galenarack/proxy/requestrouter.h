#pragma once

#include <galenarack/core/log.h>
#include <galenarack/fleet/fleetview.h>
#include <galenarack/ingress/requestforwarder.h>
#include <galenarack/policy/durationestimate.h>
#include <galenarack/policy/placement.h>
#include <galenarack/policy/retryallowance.h>
#include <galenarack/policy/weightedsplit.h>
#include <galenarack/proxy/dialect.h>
#include <galenarack/proxy/homeservice.h>
#include <galenarack/proxy/peerlinks.h>

#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Galenarack {

/// Identity of a node for its router.
struct RouterSettings
{
    std::string service; ///< Of the upstream on this VM; every request that begins here is attributed to it.
    std::string failureDomain;
    boost::asio::ip::address vm;
    RetryBound retry;
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
                  std::mt19937_64 random);

    /// @param nested sent by the upstream on this VM while it runs other work
    /// @param isConfigCurrent whether an unknown route is surely unknown to the operators as well
    /// @return the final response for the caller
    boost::asio::awaitable<PeerResponse> route(CallerRequest request,
                                               std::shared_ptr<Cancellation> cancellation,
                                               bool nested,
                                               bool isConfigCurrent);

    /// @return requests in progress
    std::size_t inProgress() const
    {
        return this->open;
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
        bool nested = false;
        TimePoint started;
        TimePoint deadline;
        TimePoint targetBy;
        Duration expected{};
        std::shared_ptr<Cancellation> cancellation;
        boost::asio::steady_timer wake; ///< Cancelled when an attempt has ended or the caller has left.
        std::vector<std::shared_ptr<Attempt>> attempts;
        std::vector<std::string> excluded; ///< Upstreams that are not asked again.
        std::vector<std::pair<std::string, Duration>> busy; ///< Upstreams that handed the request back, with the wait there.
        unsigned arrivals = 0; ///< Attempts that reached an upstream, or may have.
        unsigned offers = 0;
        std::optional<PeerResponse> failure; ///< Of an upstream; sent on when no attempt does better.
        OfferEnd lastEnd = OfferEnd::Unconnected;
        bool mayHaveRun = false;
        Duration retryAfter{};
        TimePoint hedgeAt;
        bool hedged = false;
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
    UpstreamBelief *chooseUpstream(Course &course, bool isHedge, bool &insist);
    boost::asio::awaitable<void> runAttempt(std::shared_ptr<Course> course, std::shared_ptr<Attempt> attempt, PeerRequest request);
    PeerRequest makeOffer(const Course &course, const UpstreamBelief &belief, bool insist, bool isHedge) const;
    NextStep judge(Course &course, Attempt &attempt);
    NextStep afterHandBack(Course &course, const Attempt &attempt);
    NextStep afterFailure(Course &course, bool mayHaveRun);
    bool mayRepeat(Course &course);
    void learn(const Course &course, const Attempt &attempt);
    PeerResponse respond(const Course &course, Attempt &attempt);
    PeerResponse fail(Course &course, bool timedOut);
    PeerResponse refuse(const Course &course, ErrorKind kind, Duration retryAfter) const;
    void withdrawAll(Course &course);
    RetryAllowance &allowanceOf(const std::string &service);
    void refreshEntries(TimePoint now);

    boost::asio::any_io_executor executor;
    RouterSettings settings;
    Dialect dialect;
    const FleetView &view;
    HomeService &home;
    PeerLinks &links;
    std::mt19937_64 random;
    Placement placement;
    DurationEstimate durations;
    std::map<std::string, RetryAllowance, std::less<>> allowances; ///< By service.
    std::map<std::string, WeightedSplit, std::less<>> splits; ///< By route.
    std::uint64_t viewGeneration = 0;
    std::size_t open = 0;
    Log log{"router"};
};

} // namespace Galenarack
