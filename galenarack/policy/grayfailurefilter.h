#pragma once

#include <galenarack/core/clock.h>

#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// What a finished or overdue request shows about its upstream.
enum class RequestEvidence : std::uint8_t {
    Success,
    Failure, ///< An error of the upstream itself, a broken response or none at all.
    Overdue, ///< Running for many times its usual duration.
};

/// Rates of the model behind a GrayFailureFilter.
struct GrayFailureModel
{
    double failureRateWhenGray = 0.8; ///< Share of requests that a gray upstream fails.
    double failureRateWhenHealthy = 0.015; ///< Share that a sound upstream fails.
    double overdueRateWhenGray = 0.4;
    double overdueRateWhenHealthy = 0.02;
    double onsetRatePerSecond = 0.03; ///< Sound upstreams that turn gray.
    double recoveryRatePerSecond = 0.12; ///< Gray upstreams that recover.
    double singleDomainShare = 0.2; ///< Gray upstreams that fail the callers of one failure domain only.
};

/// Probability that an upstream is gray: the forward filter of a Markov model whose hidden state is seen through the outcomes
/// of requests. The upstream is sound, gray for all callers, or gray for the callers of one failure domain.
///
/// Answers load in which upstreams pass their health checks and fail part of their work for some seconds: one failure raises
/// the probability enough to keep non-idempotent work away, a second one ejects, a few successes bring the upstream back. The
/// outcomes of all failure domains count for all, so that an upstream with little traffic from each is judged by all of it.
class GrayFailureFilter
{
public:
    /// @param start of the upstream's run: it is taken as sound until shown otherwise, and less surely so as time goes by
    explicit GrayFailureFilter(TimePoint start, GrayFailureModel model = {});

    /// Takes one outcome.
    /// @param failureDomain of the ingress
    void observe(std::string_view failureDomain, RequestEvidence evidence, TimePoint now);

    /// @return the probability that the upstream is gray for callers of a failure domain, 0 to 1
    double grayProbability(std::string_view failureDomain, TimePoint now) const;

private:
    /// The upstream is gray for the callers of one failure domain.
    struct DomainState
    {
        std::string failureDomain;
        double probability = 0;
    };

    /// @return share of upstreams that are gray at any time
    double stationaryGrayProbability() const;

    /// @return how much of the last verdict still holds, 0 to 1
    double priorWeight(TimePoint now) const;

    /// Moves all probabilities to the time given.
    void advance(TimePoint now);

    void addDomain(std::string_view failureDomain);

    /// Makes the probabilities add up to 1.
    void normalize();

    GrayFailureModel model;
    double healthy;
    double grayForAll;
    std::vector<DomainState> domains; ///< One for each failure domain that evidence came from.
    TimePoint updated;
};

} // namespace Galenarack
