#include <galenarack/policy/retryallowance.h>

#include <algorithm>

namespace Galenarack {

namespace {

/// Share of the bound that is granted. The rest covers the requests that a repeated run sends on, which count as repeats at the
/// services that they go to. A request that is run after it was rejected may send on two.
constexpr double usableShare = 0.5;

/// Share of the slack that is granted within the first window after the start, so that a fleet that has just started can repeat single
/// requests although it has counted none yet.
constexpr double startSlackShare = 0.25;

} // namespace

RetryAllowance::RetryAllowance(RetryBound bound, TimePoint start)
    : bound(bound)
    , slackStart(start + bound.window)
{
}

std::int64_t RetryAllowance::indexOf(TimePoint now) const
{
    return now.time_since_epoch() / (this->bound.window / bucketsPerWindow);
}

RetryAllowance::Bucket &RetryAllowance::bucketAt(TimePoint now)
{
    const std::int64_t index = this->indexOf(now);
    Bucket &bucket = this->buckets[static_cast<std::size_t>(index) % bucketCount];
    if (bucket.index != index) {
        bucket = Bucket{index, 0, 0};
    }
    return bucket;
}

void RetryAllowance::onRequest(TimePoint now)
{
    ++this->bucketAt(now).requests;
}

double RetryAllowance::remaining(TimePoint now, std::size_t upstreams, double urgency) const
{
    const std::int64_t oldest = this->indexOf(now) - static_cast<std::int64_t>(bucketsPerWindow);
    double requests = 0;
    double repeats = 0;
    for (const Bucket &bucket : this->buckets) {
        // Part of the oldest bucket may lie before the window: its repeats count, its requests don't.
        requests += bucket.index > oldest ? bucket.requests : 0;
        repeats += bucket.index >= oldest ? bucket.repeats : 0;
    }
    const double fleetSlack = this->bound.slack * (now < this->slackStart ? startSlackShare : 1);
    const double slack = fleetSlack / static_cast<double>(std::max<std::size_t>(upstreams, 1));
    return urgency * usableShare * (this->bound.ratio * requests + slack) - repeats;
}

void RetryAllowance::onRepeat(TimePoint now)
{
    ++this->bucketAt(now).repeats;
}

} // namespace Galenarack
