#pragma once

#include <galenarack/core/clock.h>

#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// Evidence of the health of an upstream from one request.
enum class RequestEvidence : std::uint8_t {
    Success, ///< The upstream answered correctly.
    Failure, ///< The upstream answered with an error of its own, with an invalid response or not at all.
    Overdue, ///< The request has been running for many times its usual duration.
};

/// Parameters of the Markov model of a GrayFailureFilter.
struct GrayFailureModel
{
    double failureRateWhenGray = 0.8; ///< Share of its requests that a gray upstream fails.
    double failureRateWhenHealthy = 0.015; ///< Share of its requests that a healthy upstream fails.
    double overdueRateWhenGray = 0.4; ///< Share of the requests of a gray upstream that become overdue.
    double overdueRateWhenHealthy = 0.02; ///< Share of the requests of a healthy upstream that become overdue.
    double onsetRatePerSecond = 0.03; ///< Rate at which a healthy upstream turns gray, per second.
    double recoveryRatePerSecond = 0.12; ///< Rate at which a gray upstream recovers, per second.
    double singleDomainShare = 0.2; ///< Share of gray upstreams that are gray for the callers of a single failure domain.
};

/// Estimates the probability that an upstream is gray with the forward algorithm of a hidden Markov model, whose observations
/// are the outcomes of requests. The upstream is healthy, gray for all callers, or gray for the callers of one failure domain.
///
/// Designed for upstreams that pass their health checks but fail part of their work for some seconds: one failure raises the
/// probability enough to keep non-idempotent work away, a second one ejects the upstream, and a few successes reinstate it.
/// Outcomes from all failure domains count for all of them, so that an upstream with little traffic from each failure domain
/// is evaluated on its whole traffic.
class GrayFailureFilter
{
public:
    /// @param start time at which the upstream started. It is assumed to be healthy at that time; without evidence the
    ///              probabilities move towards the stationary distribution of the model.
    /// @param model parameters of the Markov model
    explicit GrayFailureFilter(TimePoint start, GrayFailureModel model = {});

    /// Updates the probabilities with the evidence from one request.
    /// @param failureDomain failure domain of the ingress that sent the request
    void observe(std::string_view failureDomain, RequestEvidence evidence, TimePoint now);

    /// @return probability that the upstream is gray for the callers of a failure domain, 0 to 1
    double grayProbability(std::string_view failureDomain, TimePoint now) const;

private:
    /// State in which the upstream is gray for the callers of one failure domain.
    struct DomainState
    {
        std::string failureDomain;
        double probability = 0;
    };

    /// @return stationary probability that an upstream is gray, for all callers or for one failure domain
    double stationaryGrayProbability() const;

    /// @return weight of the probabilities of the last update at a later time, 0 to 1
    double priorWeight(TimePoint now) const;

    /// Applies the state transitions between the last update and the given time to all probabilities.
    void advance(TimePoint now);

    /// Adds the state of a failure domain unless it exists.
    void addDomain(std::string_view failureDomain);

    /// Scales the probabilities so that they add up to 1.
    void normalize();

    GrayFailureModel model;
    double healthy; ///< Probability that the upstream is healthy.
    double grayForAll; ///< Probability that the upstream is gray for all callers.
    std::vector<DomainState> domains; ///< States of the failure domains that evidence came from.
    TimePoint updated; ///< Time of the last update.
};

} // namespace Galenarack
