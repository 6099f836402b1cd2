#include <galenarack/execution/expirywheel.h>

#include <algorithm>

namespace Galenarack {

ExpiryWheel::ExpiryWheel(Duration span, TimePoint now)
    : bucketCount(static_cast<std::uint32_t>(span / granule) + 2)
    , buckets(this->bucketCount)
    , current(now.time_since_epoch() / granule)
{
}

void ExpiryWheel::grow(std::uint32_t count)
{
    this->buckets.grow(count);
}

void ExpiryWheel::schedule(std::uint32_t index, TimePoint time)
{
    this->buckets.remove(index);
    // Rounded up, so that no index becomes due early.
    const std::int64_t target = (time.time_since_epoch() + granule - Duration(1)) / granule;
    const std::int64_t due = std::clamp(target, this->current, this->current + this->bucketCount - 1);
    this->buckets.append(static_cast<std::uint32_t>(due % this->bucketCount), index);
}

void ExpiryWheel::cancel(std::uint32_t index)
{
    this->buckets.remove(index);
}

std::optional<std::uint32_t> ExpiryWheel::popDue(TimePoint now)
{
    const std::int64_t last = now.time_since_epoch() / granule;
    // After a pause longer than the span, one turn of the wheel is enough to visit every bucket.
    this->current = std::max(this->current, last - this->bucketCount + 1);
    for (; this->current <= last; ++this->current) {
        const auto index = this->buckets.front(static_cast<std::uint32_t>(this->current % this->bucketCount));
        if (index) {
            this->buckets.remove(*index);
            return index;
        }
    }
    return std::nullopt;
}

std::size_t ExpiryWheel::byteCount() const
{
    return this->buckets.byteCount();
}

} // namespace Galenarack
