#pragma once

#include <cstdint>

namespace Galenarack {

/// Token buckets that limit the load which the retries and hedges of one ingress add to the upstreams of one service.
/// Each first attempt adds a fraction of a token for retries and for hedges, so that over time retries add at most a tenth
/// and hedges at most a twentieth of the first attempts.
class RetryBudget
{
public:
    /// Records that a first attempt has been started.
    void onFirstAttempt();

    /// Takes a token for a retry that could reach an upstream.
    /// @return false when the budget is exhausted; the retry must not be sent
    [[nodiscard]] bool tryRetry();

    /// Takes a token for a hedge of repeatable work.
    /// @return false when the budget is exhausted; the hedge must not be sent
    [[nodiscard]] bool tryHedge();

private:
    /// One token. Tokens are counted in hundredths, so that sums are exact.
    static constexpr std::uint32_t token = 100;
    static constexpr std::uint32_t retryEarned = 10; ///< Retry tokens that a first attempt adds, in hundredths.
    static constexpr std::uint32_t hedgeEarned = 5; ///< Hedge tokens that a first attempt adds, in hundredths.
    /// Capacity of each bucket; bounds the burst after a long time without retries or hedges.
    static constexpr std::uint32_t capacity = 10 * token;

    /// One initial token lets a service with little traffic retry its first failure.
    std::uint32_t retryTokens = token;
    std::uint32_t hedgeTokens = 0;
};

} // namespace Galenarack
