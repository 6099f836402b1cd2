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

/// What a home says about its upstream with each response.
struct UpstreamLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    double grayProbability = 0;
    double slowness = 1; ///< Duration of its work relative to the usual one.
    double shedShare = 0; ///< Share of the requests sent to it that it rejects without running them.
};

/// What an ingress believes about one upstream.
struct UpstreamView
{
    UpstreamEntry entry;
    TimePoint coldUntil;
    UpstreamLoad load;
    TimePoint loadReportedAt; ///< When the home reported it.
    std::uint32_t outstanding = 0; ///< Requests of this ingress that are on their way or running.
    TimePoint trialAt; ///< An ejected upstream takes no work before; from then on one idempotent request may try it.
    bool ejected = false; ///< The home handed a request back for lack of trust.
    TimePoint unreachableUntil; ///< The path to its home failed.
    unsigned pathFailures = 0; ///< In a row.
};

/// What a request asks of an upstream.
struct PlacementRequest
{
    std::string_view service;
    bool idempotent = false;
    Duration expected{}; ///< Usual duration of the work.
    Duration target{}; ///< Latency within which a response has its full value.
    bool allowTrial = false; ///< May go to an ejected upstream to see whether it has recovered.
    bool allowUnhealthy = false; ///< May go to an ejected upstream for want of a better one.
};

/// An upstream whose home handed a request back before running it.
struct DeclinedOffer
{
    std::string upstream; ///< Id.
    Duration wait{}; ///< For a slot there.
    double grayProbability = 0;
};

/// Choice of the upstream for a request: the least expected time until a good response.
///
/// Answers uneven load and upstreams of unequal trust. Reports of homes age within a second; the home hands a request back
/// when the belief was wrong, so the choice can be made from old reports.
class Placement
{
public:
    /// @param failureDomain of this node; other domains cost bytes between domains
    Placement(std::string failureDomain, std::mt19937_64 random);

    /// Takes the registered upstreams. Beliefs about those that stay are kept, unless they have been started again.
    void setEntries(std::span<const UpstreamEntry> entries, TimePoint now);

    /// @param excluded ids that are not chosen
    /// @return the upstream, or null when none can be chosen; valid until the next setEntries()
    UpstreamView *choose(const PlacementRequest &request, std::span<const std::string> excluded, TimePoint now);

    /// @return the upstream, or null
    UpstreamView *find(std::string_view id);

    /// Takes a report of a home.
    void report(std::string_view id, const UpstreamLoad &load, TimePoint now);

    /// The home gave a request back because it does not trust its upstream.
    void reportEjected(std::string_view id, Duration untilTrial, TimePoint now);

    /// The home could not be reached.
    void reportPathFailure(std::string_view id, TimePoint now);

    /// Chooses where a request queues, or runs without trust in the upstream, when all that were asked have handed it back.
    ///
    /// Answers overload while some upstreams are gray: a run that probably succeeds is better than a refusal, and a refusal
    /// that can be repeated is better than non-idempotent work that probably fails.
    /// @param maxQueueWait that is of use to the caller
    /// @return index of the upstream, or nothing when the caller is to be refused
    static std::optional<std::size_t> chooseDeclinedOffer(const PlacementRequest &request,
                                                          std::span<const DeclinedOffer> declinedOffers,
                                                          Duration maxQueueWait);

    /// @return cost of a failed run at the upstream, in time
    static Duration failureCost(const PlacementRequest &request, double grayProbability);

    /// @return estimated time until the upstream starts one more request
    static Duration expectedWait(const UpstreamView &view, Duration expected, TimePoint now);

    std::span<const UpstreamView> upstreams() const
    {
        return this->rows;
    }

private:
    double costSeconds(const UpstreamView &view, const PlacementRequest &request, TimePoint now);

    std::string failureDomain;
    std::mt19937_64 random;
    std::vector<UpstreamView> rows;
};

} // namespace Galenarack
