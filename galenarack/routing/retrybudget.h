#pragma once

#include <cstdint>

namespace Galenarack {

/// Limits how much load retries and hedges add to the upstreams of one service, at one ingress.
/// Each first attempt earns a fraction of a retry and of a hedge, so that over time retries add at most a tenth
/// and hedges at most a twentieth of the first attempts.
class RetryBudget
{
public:
    /// A first attempt was started.
    void onFirstAttempt();

    /// Takes a token for a retry that could reach an upstream.
    /// @return false when the budget is used up; the retry must not be sent
    [[nodiscard]] bool tryRetry();

    /// Takes a token for a hedge of repeatable work.
    /// @return false when the budget is used up; the hedge must not be sent
    [[nodiscard]] bool tryHedge();

private:
    /// Tokens in hundredths, so that sums are exact.
    static constexpr std::uint32_t token = 100;
    static constexpr std::uint32_t retryEarned = 10;
    static constexpr std::uint32_t hedgeEarned = 5;
    /// Bounds the burst of retries after a long time without any.
    static constexpr std::uint32_t capacity = 10 * token;

    /// One token at the start lets a service with little traffic retry its first failure.
    std::uint32_t retryTokens = token;
    std::uint32_t hedgeTokens = 0;
};

} // namespace Galenarack
