#pragma once

#include <galenarack/core/clock.h>

#include <array>
#include <cstdint>

namespace Galenarack {

/// The fleet's bound on repeated arrivals at one service.
struct RetryBound
{
    double ratio = 0.2; ///< Repeats per request, over any window.
    double slack = 10; ///< Repeats in a window beyond the ratio, for the whole fleet.
    Duration window = std::chrono::seconds(10);
};

/// One upstream's share of a fleet-wide retry bound, kept by its home without shared state: the ratio applies to the
/// requests that the upstream got, and the slack is divided by the number of upstreams of the service. A request that is
/// denied here can ask the home of another upstream, so the whole bound can be used wherever it is needed.
///
/// Answers failures that hit many requests at once, when unlimited retries would multiply the load of a service that fails.
class RetryAllowance
{
public:
    explicit RetryAllowance(RetryBound bound);

    /// A request reaches the upstream for the first time.
    void onRequest(TimePoint now);

    /// A repeat reaches the upstream.
    void onRepeat(TimePoint now);

    /// @param upstreams of the service
    /// @param urgency share of the allowance that this kind of request may use up, 0 to 1
    /// @return repeats that are left in the window; a fraction counts as one, so that an upstream with little traffic can take
    ///         a first repeat
    double remaining(TimePoint now, std::size_t upstreams, double urgency) const;

private:
    static constexpr std::size_t bucketCount = 10;
    struct Bucket
    {
        std::int64_t index = 0; ///< Time divided by the length of a bucket.
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    Bucket &bucketAt(TimePoint now);
    std::int64_t indexOf(TimePoint now) const;

    RetryBound bound;
    std::array<Bucket, bucketCount> buckets{};
};

} // namespace Galenarack
