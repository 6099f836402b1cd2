#pragma once

#include <galenarack/core/clock.h>

#include <array>
#include <cstdint>

namespace Galenarack {

/// Bound of the whole fleet on the repeats that arrive at one service within a window.
struct RetryBound
{
    double ratio = 0; ///< Allowed repeats per request within any window.
    double slack = 0; ///< Allowed repeats within a window in addition to the ratio, for the whole fleet.
    Duration window{}; ///< Length of the sliding window.
};

/// Share of one upstream in a fleet-wide retry bound, kept by its home without shared state: the ratio applies to the requests
/// that the upstream received, and the slack is divided by the number of upstreams of the service. A request that is denied
/// here can be offered to the home of another upstream, so the whole bound can be used wherever it is needed.
///
/// Designed for failures that hit many requests at once, when unlimited retries would multiply the load of a failing service.
class RetryAllowance
{
public:
    /// @param bound bound of the whole fleet
    /// @param start start of this process. Most of the slack is granted from one window later on, since the process before may have
    ///        used it.
    RetryAllowance(RetryBound bound, TimePoint start);

    /// Records a request that reaches the upstream for the first time.
    void onRequest(TimePoint now);

    /// Records a repeat that reaches the upstream.
    void onRepeat(TimePoint now);

    /// @param upstreams number of upstreams of the service
    /// @param urgency share of the allowance that requests of this urgency may use, 0 to 1
    /// @return number of repeats that are left in the window. Any positive value permits one repeat, so that an upstream with
    ///         little traffic can accept a first one.
    double remaining(TimePoint now, std::size_t upstreams, double urgency) const;

private:
    static constexpr std::size_t bucketsPerWindow = 10;
    /// A window that starts within a bucket ends within one more.
    static constexpr std::size_t bucketCount = bucketsPerWindow + 1;

    /// Requests and repeats within one tenth of the window.
    struct Bucket
    {
        std::int64_t index = 0; ///< Start time divided by the length of a bucket.
        std::uint32_t requests = 0; ///< Number of requests that reached the upstream for the first time.
        std::uint32_t repeats = 0; ///< Number of repeats that reached the upstream.
    };

    /// @return bucket of the given time, emptied when it still holds counts of an earlier window
    Bucket &bucketAt(TimePoint now);
    std::int64_t indexOf(TimePoint now) const;

    RetryBound bound;
    TimePoint slackStart; ///< Time from which the whole slack is granted.
    std::array<Bucket, bucketCount> buckets{};
};

} // namespace Galenarack
