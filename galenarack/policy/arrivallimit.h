#pragma once

#include <galenarack/core/clock.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Galenarack {

/// Bound of the users' rules on the requests that reach an upstream which names a limit, within any window.
struct ArrivalBound
{
    Duration window = std::chrono::seconds(4); ///< Length of the sliding window.
    double factor = 1.5; ///< Allowed requests per request that the limit allows in a window.
    double slack = 5; ///< Allowed requests within a window in addition.
};

/// Keeps the requests that reach one upstream within the rate that the upstream has named.
///
/// A token bucket that holds the requests of about one second, so that a burst after an idle time stays below the bound. The bucket is
/// empty when a limit begins: another node, or an earlier process of this one, may just have used it. A count of the arrivals in the
/// window holds the bound as well when a limit falls or begins after many arrivals.
class ArrivalLimit
{
public:
    explicit ArrivalLimit(ArrivalBound bound = ArrivalBound());

    /// Changes the rate.
    /// @param perSecond requests per second, 0 or more; without a value there is no limit
    void setRate(std::optional<double> perSecond, TimePoint now);

    /// @return requests per second, or nothing without a limit
    std::optional<double> rate() const
    {
        return this->perSecond;
    }

    /// Records a request that is sent to the upstream, whether or not there is a limit.
    void onArrival(TimePoint now);

    /// Records a health check, which counts as an arrival, but leaves the tokens to the requests of callers.
    void onProbe(TimePoint now);

    /// Takes back a recorded request that was not sent after all.
    /// @param arrival time with which it was recorded
    void onWithdrawn(TimePoint arrival, TimePoint now);

    /// @return whether one more request may be sent now
    bool hasRoom(TimePoint now) const;

    /// @param ahead number of requests that are sent before
    /// @return time until one more request may be sent, or nothing when that is not known because the upstream takes none
    std::optional<Duration> wait(std::size_t ahead, TimePoint now) const;

private:
    static constexpr std::size_t bucketCount = 40;

    /// Arrivals within one part of the window.
    struct Bucket
    {
        std::int64_t index = 0; ///< Start time divided by the length of a bucket.
        std::uint32_t arrivals = 0;
    };

    std::int64_t indexOf(TimePoint time) const;
    Bucket &bucketAt(TimePoint time);

    /// @return requests that the bucket holds at most
    double capacity() const;
    double tokensAt(TimePoint now) const;

    /// @return time until the window has room for `arrivals` more requests
    Duration windowWait(double arrivals, TimePoint now) const;

    ArrivalBound bound;
    std::optional<double> perSecond;
    double tokens = 0; ///< Requests that may be sent at the time `updated`.
    TimePoint updated;
    std::array<Bucket, bucketCount> buckets{};
};

} // namespace Galenarack
