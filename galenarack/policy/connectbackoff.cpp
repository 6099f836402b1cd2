#include <galenarack/policy/connectbackoff.h>

#include <algorithm>

namespace Galenarack {

namespace {

/// First pause; it doubles with each failure in a row. Processes start within some hundred milliseconds.
constexpr Duration pauseMin = std::chrono::milliseconds(100);

/// Longest pause. Nodes that were told of it wait another 0.5 s at most, so an upstream which is back has work within a second.
constexpr Duration pauseMax = std::chrono::milliseconds(400);

} // namespace

void ConnectBackoff::onFailure(TimePoint now)
{
    // Requests that were under way together are one failure.
    if (now < this->until) {
        return;
    }
    constexpr unsigned mostDoublings = 2;
    this->until = now + std::min(pauseMin * (1U << std::min(this->failures, mostDoublings)), pauseMax);
    ++this->failures;
}

void ConnectBackoff::onSuccess()
{
    this->failures = 0;
    this->until = TimePoint();
}

Duration ConnectBackoff::remaining(TimePoint now) const
{
    return std::max(this->until - now, Duration::zero());
}

} // namespace Galenarack
