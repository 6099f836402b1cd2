#include <galenarack/policy/connectbackoff.h>

#include <algorithm>

namespace Galenarack {

namespace {

/// First pause; it doubles with each failure in a row. Processes start within some hundred milliseconds.
constexpr Duration minBackoff = std::chrono::milliseconds(100);

/// Longest pause. Nodes that were told of it wait another 0.5 s at most, so an upstream which is back has work within a second.
constexpr Duration maxBackoff = std::chrono::milliseconds(400);

} // namespace

void ConnectBackoff::onFailure(TimePoint now)
{
    // Requests that were under way together are one failure.
    if (now < this->retryAt) {
        return;
    }
    constexpr unsigned maxDoublings = 2;
    this->retryAt = now + std::min(minBackoff * (1U << std::min(this->failuresInARow, maxDoublings)), maxBackoff);
    ++this->failuresInARow;
}

void ConnectBackoff::onSuccess()
{
    this->failuresInARow = 0;
    this->retryAt = TimePoint();
}

Duration ConnectBackoff::remaining(TimePoint now) const
{
    return std::max(this->retryAt - now, Duration::zero());
}

} // namespace Galenarack
