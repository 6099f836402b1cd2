#include <galenarack/policy/admissionqueue.h>

#include <algorithm>
#include <cassert>

namespace Galenarack {

namespace {

/// A request is not started when the time until its deadline is less than this share of its usual duration.
constexpr double minRemainingShare = 0.5;

/// Ratio between the values of two adjacent priorities: an urgent request outranks a shorter one of lower priority.
constexpr double priorityFactor = 2.0;

/// Accepted wait as a share of the latency target. The work itself and the requests that it sends on take most of the target.
constexpr double queueWaitShare = 0.25;

/// Wait that is accepted for every route: estimates are not exact enough to refuse a request for a shorter one.
constexpr Duration baseQueueWait = std::chrono::milliseconds(200);

/// Lower bound of the latency target in the ranking: routes with shorter targets rank no higher.
constexpr double minTargetSeconds = 0.05;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

bool canFinishInTime(const AdmissionRequest &request, TimePoint now)
{
    const auto minRemaining = std::chrono::duration_cast<Duration>(request.expected * minRemainingShare);
    return now + minRemaining < request.deadline;
}

} // namespace

Duration longestUsefulWait(Duration target, Duration remaining)
{
    const Duration maxUsefulWait = std::chrono::duration_cast<Duration>(target * queueWaitShare) + baseQueueWait;
    return std::max(std::min(remaining, maxUsefulWait), Duration::zero());
}

double valueDensity(const AdmissionRequest &request)
{
    double value = 1.0;
    for (std::uint32_t step = 0; step < std::min(request.priority, 8U); ++step) {
        value /= priorityFactor;
    }
    return value / std::max(seconds(request.target), minTargetSeconds);
}

AdmissionQueue::AdmissionQueue(std::uint32_t slots)
    : slots(slots)
{
}

void AdmissionQueue::setSlots(std::uint32_t slots)
{
    this->slots = slots;
}

void AdmissionQueue::push(const AdmissionRequest &request)
{
    this->queue.push_back(request);
}

bool AdmissionQueue::remove(std::uint64_t ticket)
{
    return std::erase_if(this->queue,
                         [ticket](const AdmissionRequest &request) {
                             return request.ticket == ticket;
                         })
           != 0;
}

void AdmissionQueue::release(std::uint64_t ticket)
{
    std::erase_if(this->active, [ticket](const Running &running) {
        return running.ticket == ticket;
    });
}

AdmissionOutcome AdmissionQueue::advance(TimePoint now)
{
    AdmissionOutcome outcome;
    std::erase_if(this->queue, [&outcome, now](const AdmissionRequest &request) {
        const bool expired = !canFinishInTime(request, now);
        if (expired) {
            outcome.expired.push_back(request.ticket);
        }
        return expired;
    });
    while (this->active.size() < this->slots && !this->queue.empty()) {
        const auto best = std::ranges::max_element(this->queue, {}, [](const AdmissionRequest &request) {
            return valueDensity(request);
        });
        this->active.push_back({best->ticket, now, best->expected});
        outcome.granted.push_back(best->ticket);
        this->queue.erase(best);
    }
    return outcome;
}

Duration AdmissionQueue::estimateWait(const AdmissionRequest &request, TimePoint now) const
{
    if (this->active.size() < this->slots && this->queue.empty()) {
        return Duration::zero();
    }
    // When all slots are busy for independent durations, the first one becomes free after about the mean duration divided by
    // the number of slots plus one. From then on slots become free at the rate at which work finishes.
    Duration running{};
    for (const Running &run : this->active) {
        running += std::max(run.expected, now - run.started);
    }
    const double density = valueDensity(request);
    Duration ahead{};
    for (const AdmissionRequest &other : this->queue) {
        if (valueDensity(other) >= density) {
            ahead += other.expected;
        }
    }
    const std::uint32_t busy = std::max<std::uint32_t>(static_cast<std::uint32_t>(this->active.size()), 1);
    const Duration first = this->active.size() < this->slots ? Duration::zero() : running / busy / (busy + 1);
    return first + ahead / std::max(this->slots, 1U);
}

} // namespace Galenarack
