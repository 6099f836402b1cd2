#pragma once

#include <galenarack/core/clock.h>

namespace Galenarack {

/// What a finished or overdue request shows about its upstream.
enum class TrustEvidence : std::uint8_t {
    Success,
    Failure, ///< An error of the upstream itself, a broken response or none at all.
    Overdue, ///< Running for many times its usual duration.
};

/// Rates of the two-state model behind a TrustFilter.
struct TrustModel
{
    double failsWhenGray = 0.8; ///< Share of requests that a gray upstream fails.
    double failsWhenSound = 0.015; ///< Share that a sound upstream fails.
    double overdueWhenGray = 0.4;
    double overdueWhenSound = 0.02;
    double onsetPerSecond = 0.03; ///< Sound upstreams that turn gray.
    double endPerSecond = 0.12; ///< Gray upstreams that recover.
};

/// Probability that an upstream is gray: the forward filter of a two-state Markov model (sound, gray) whose hidden state is
/// seen through the outcomes of requests.
///
/// Answers load in which upstreams pass their health checks and fail part of their work for some seconds: one failure raises
/// the probability enough to keep non-idempotent work away, a second one ejects, a few successes bring the upstream back.
class TrustFilter
{
public:
    explicit TrustFilter(TrustModel model = {});

    /// Takes one outcome.
    void observe(TrustEvidence evidence, TimePoint now);

    /// @return the probability that the upstream is gray, 0 to 1
    double grayProbability(TimePoint now) const;

private:
    double stationary() const;

    TrustModel model;
    double probability;
    TimePoint updated;
};

} // namespace Galenarack
