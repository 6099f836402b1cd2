#include <galenarack/policy/arrivallimit.h>

#include <algorithm>

namespace Galenarack {

namespace {

/// Requests that the token bucket holds: those of this time, and this number in addition, so that requests which arrive unevenly, or are
/// worth more than the waiting ones, find room.
constexpr double burstSeconds = 1.0;
constexpr double burstRequests = 2.0;

/// Upper limit of the reported wait for very small rates.
constexpr double maxWaitSeconds = 3600;

/// Rounding errors of the refill must not delay a request that is due.
constexpr double tokenTolerance = 1e-6;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double time)
{
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(std::min(time, maxWaitSeconds)));
}

} // namespace

ArrivalLimit::ArrivalLimit(ArrivalBound bound)
    : bound(bound)
{
}

void ArrivalLimit::setRate(std::optional<double> perSecond, TimePoint now)
{
    this->tokens = this->perSecond && perSecond ? this->tokensAt(now) : 0;
    this->updated = now;
    this->perSecond = perSecond;
    this->tokens = std::min(this->tokens, this->capacity());
}

std::int64_t ArrivalLimit::indexOf(TimePoint time) const
{
    return time.time_since_epoch() / (this->bound.window / bucketCount);
}

ArrivalLimit::Bucket &ArrivalLimit::bucketAt(TimePoint time)
{
    const std::int64_t index = this->indexOf(time);
    Bucket &bucket = this->buckets[static_cast<std::size_t>(index) % bucketCount];
    if (bucket.index != index) {
        bucket = {index, 0};
    }
    return bucket;
}

double ArrivalLimit::capacity() const
{
    return this->perSecond.value_or(0) * burstSeconds + burstRequests;
}

double ArrivalLimit::tokensAt(TimePoint now) const
{
    return std::min(this->capacity(), this->tokens + this->perSecond.value_or(0) * seconds(now - this->updated));
}

void ArrivalLimit::onArrival(TimePoint now)
{
    ++this->bucketAt(now).arrivals;
    this->tokens = this->tokensAt(now) - 1;
    this->updated = now;
}

void ArrivalLimit::onProbe(TimePoint now)
{
    ++this->bucketAt(now).arrivals;
}

void ArrivalLimit::onWithdrawn(TimePoint arrival, TimePoint now)
{
    Bucket &bucket = this->buckets[static_cast<std::size_t>(this->indexOf(arrival)) % bucketCount];
    if (bucket.index == this->indexOf(arrival) && bucket.arrivals > 0) {
        --bucket.arrivals;
    }
    this->tokens = std::min(this->capacity(), this->tokensAt(now) + 1);
    this->updated = now;
}

bool ArrivalLimit::hasRoom(TimePoint now) const
{
    return !this->perSecond || this->wait(0, now) == Duration::zero();
}

std::optional<Duration> ArrivalLimit::wait(std::size_t ahead, TimePoint now) const
{
    if (!this->perSecond) {
        return Duration::zero();
    }
    if (*this->perSecond <= 0) {
        return std::nullopt;
    }
    const double needed = static_cast<double>(ahead) + 1;
    const double missing = needed - this->tokensAt(now);
    const Duration refill = missing <= tokenTolerance ? Duration::zero() : fromSeconds(missing / *this->perSecond);
    return std::max(refill, this->windowWait(needed, now));
}

Duration ArrivalLimit::windowWait(double arrivals, TimePoint now) const
{
    // One less than the bound, since a request may arrive a little later than it is recorded.
    const double most = this->bound.factor * *this->perSecond * seconds(this->bound.window) + this->bound.slack - 1;
    const Duration length = this->bound.window / bucketCount;
    const std::int64_t current = this->indexOf(now);
    const auto oldest = current - static_cast<std::int64_t>(bucketCount) + 1;
    double count = std::min(arrivals, most);
    for (const Bucket &bucket : this->buckets) {
        count += bucket.index >= oldest && bucket.index <= current ? bucket.arrivals : 0;
    }
    // Buckets leave the window one by one.
    std::int64_t first = oldest;
    while (count > most && first <= current) {
        const Bucket &bucket = this->buckets[static_cast<std::size_t>(first) % bucketCount];
        count -= bucket.index == first ? bucket.arrivals : 0;
        ++first;
    }
    if (first == oldest) {
        return Duration::zero();
    }
    const TimePoint leaves((first - 1 + static_cast<std::int64_t>(bucketCount)) * length);
    return std::max<Duration>(leaves - now, Duration(1));
}

} // namespace Galenarack
