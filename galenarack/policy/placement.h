#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/fleet/upstreamentry.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// Load and health of an upstream, which its home reports with each response.
struct UpstreamLoad
{
    std::uint32_t running = 0; ///< Number of requests that hold a slot.
    std::uint32_t waiting = 0; ///< Number of requests that wait for a slot.
    std::uint32_t slots = 1; ///< Number of slots.
    double grayProbability = 0; ///< Probability that the upstream is gray, 0 to 1.
    double slowness = 1; ///< Ratio of the actual to the usual duration of the upstream's work.
    double shedShare = 0; ///< Share of the requests that the upstream rejects without running them, 0 to 1.
    std::optional<double> limit{}; ///< Requests per second that the upstream takes from all nodes; empty without a limit.
    Duration limitWait{}; ///< Time from the report until the limit has room for a further request.
};

/// State of one upstream as its ingress knows it from reports and its own requests.
struct UpstreamView
{
    UpstreamEntry entry; ///< Registered entry of the upstream.
    TimePoint coldUntil; ///< End of the cold start, during which work takes longer.
    UpstreamLoad load; ///< Last report of the home.
    TimePoint loadReportedAt; ///< Time at which the load report was received.
    std::uint32_t outstanding = 0; ///< Number of requests from this ingress that are in transit or running.
    TimePoint trialAt; ///< Earliest time at which an idempotent request may go to the ejected upstream as a trial.
    bool ejected = false; ///< Whether the home has declined an offer because it considers the upstream unhealthy.
    TimePoint unreachableUntil; ///< End of the pause after the path to the home has failed.
    unsigned pathFailures = 0; ///< Number of consecutive failures of the path to the home.

    /// @return time until the limit of the upstream has room, as last reported; zero without a limit or a recent report
    Duration remainingLimitWait(TimePoint now) const;
};

/// Properties of a request that decide which upstream it goes to.
struct PlacementRequest
{
    std::string_view service; ///< Name of the service that the request is for.
    bool idempotent = false; ///< Whether the request may run more than once.
    Duration expected{}; ///< Usual duration of the work.
    Duration target{}; ///< Latency target of the route, within which a response has its full value.
    Duration maxLimitWait{}; ///< Longest wait for room in the limit of an upstream; others are not chosen.
    bool allowTrial = false; ///< Whether the request may go to an ejected upstream to check whether it has recovered.
    bool allowUnhealthy = false; ///< Whether the request may run on an ejected upstream when no better one is left.
};

/// An offer of a request that the home of an upstream has declined without running it.
struct DeclinedOffer
{
    std::string upstream; ///< Id of the upstream.
    Duration wait{}; ///< Expected wait for a slot of this upstream.
    double grayProbability = 0; ///< Probability that this upstream is gray, 0 to 1.
};

/// Chooses the upstream for a request: the one with the least expected time until a successful response.
///
/// Designed for uneven load and upstreams of unequal health. Load reports are out of date within a second; the choice can
/// still be made from old reports, because a home declines an offer when the upstream is not in the expected state.
class Placement
{
public:
    /// @param failureDomain failure domain of this node; an upstream in another one costs traffic between failure domains
    /// @param random random number generator for the random part of the cost
    Placement(std::string failureDomain, std::mt19937_64 random);

    /// Replaces the registered upstreams. Keeps the state of upstreams that stay, unless they have been restarted.
    void setEntries(std::span<const UpstreamEntry> entries, TimePoint now);

    /// Chooses the upstream of the lowest cost, or an ejected one that is due for a trial when the request allows it.
    /// @param excluded ids of upstreams that are not considered
    /// @return the upstream, or null when there is none to choose; valid until the next setEntries()
    UpstreamView *choose(const PlacementRequest &request, std::span<const std::string> excluded, TimePoint now);

    /// Lists the upstreams that choose() passes over only because their limit has no room soon enough, as if their homes had declined an
    /// offer.
    /// @param excluded ids of upstreams that are not considered
    std::vector<DeclinedOffer> limitedOffers(const PlacementRequest &request, std::span<const std::string> excluded, TimePoint now) const;

    /// @return the upstream with this id, or null when there is none; valid until the next setEntries()
    UpstreamView *find(std::string_view id);

    /// Records a load report from the home. The upstream counts as reachable and not ejected from then on.
    void report(std::string_view id, const UpstreamLoad &load, TimePoint now);

    /// Records that the home has declined an offer because it considers its upstream unhealthy.
    /// @param untilTrial time until the next trial of the upstream
    void reportEjected(std::string_view id, Duration untilTrial, TimePoint now);

    /// Records that the home could not be reached. The upstream is not chosen for a time that doubles with each consecutive
    /// failure.
    void reportPathFailure(std::string_view id, TimePoint now);

    /// Chooses the upstream at which a request waits, or runs although the upstream may be gray, after all homes that were
    /// asked have declined the offer.
    ///
    /// Designed for overload while some upstreams are gray: a run that probably succeeds is better than a refusal, and a
    /// refusal that can be repeated is better than non-idempotent work that probably fails.
    /// @param maxQueueWait longest wait for a slot that is of use to the caller
    /// @return index into the declined offers, or nothing when the request is to be refused
    static std::optional<std::size_t> chooseDeclinedOffer(const PlacementRequest &request,
                                                          std::span<const DeclinedOffer> declinedOffers,
                                                          Duration maxQueueWait);

    /// @return expected cost of a failed run at an upstream with this probability of being gray, as a duration
    static Duration failureCost(const PlacementRequest &request, double grayProbability);

    /// @param expected usual duration of the work
    /// @return estimated time until a slot of the upstream is free for one more request
    static Duration expectedWait(const UpstreamView &view, Duration expected, TimePoint now);

    /// @return all registered upstreams; valid until the next setEntries()
    std::span<const UpstreamView> upstreams() const
    {
        return this->rows;
    }

private:
    /// @return whether the request may go to the upstream at all, apart from its health and its limit
    static bool isEligible(const UpstreamView &view, const PlacementRequest &request, std::span<const std::string> excluded, TimePoint now);

    /// @return expected time until a successful response from the upstream in seconds, with a random part
    double costSeconds(const UpstreamView &view, const PlacementRequest &request, TimePoint now);

    std::string failureDomain;
    std::mt19937_64 random;
    std::vector<UpstreamView> rows;
};

} // namespace Galenarack
