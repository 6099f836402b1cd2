#include <galenarack/policy/connectbackoff.h>

#include <algorithm>

namespace Galenarack {

namespace {

/// First backoff, which doubles with each consecutive failure. A process starts within a few hundred milliseconds.
constexpr Duration minBackoff = std::chrono::milliseconds(100);

/// Longest backoff. Nodes that were notified of it wait at most another 0.5 s, so a recovered upstream gets work within a second.
constexpr Duration maxBackoff = std::chrono::milliseconds(400);

} // namespace

void ConnectBackoff::onFailure(TimePoint now)
{
    // Failures of concurrent requests count as one.
    if (now < this->retryAt) {
        return;
    }
    constexpr unsigned maxDoublings = 2;
    this->retryAt = now + std::min(minBackoff * (1U << std::min(this->consecutiveFailures, maxDoublings)), maxBackoff);
    ++this->consecutiveFailures;
}

void ConnectBackoff::onSuccess()
{
    this->consecutiveFailures = 0;
    this->retryAt = TimePoint();
}

Duration ConnectBackoff::remaining(TimePoint now) const
{
    return std::max(this->retryAt - now, Duration::zero());
}

} // namespace Galenarack
