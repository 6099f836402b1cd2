#include <galenarack/policy/admissionqueue.h>

#include <algorithm>
#include <cassert>

namespace Galenarack {

namespace {

/// A request that has less time left than this share of its usual duration is not started.
constexpr double leastShareOfDuration = 0.5;

/// Value of a response after its target, as a share of its full value.
constexpr double lateValue = 0.4;

/// Each step of priority is worth this factor, so that an urgent request outranks a shorter one of less urgency.
constexpr double priorityFactor = 2.0;

/// Lifts nested requests above all others of the same duration: the slot that their parent holds is lost while they wait.
constexpr double nestedFactor = 8.0;

/// Work shorter than this is not ranked higher still; the differences are below the accuracy of the estimates.
constexpr double shortestWorkSeconds = 0.02;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

bool canEndInTime(const AdmissionRequest &request, TimePoint now)
{
    const auto least = std::chrono::duration_cast<Duration>(request.expected * leastShareOfDuration);
    return now + least < request.deadline;
}

} // namespace

double valueDensity(const AdmissionRequest &request, TimePoint now)
{
    double value = 1.0;
    for (std::uint32_t step = 0; step < std::min(request.priority, 8U); ++step) {
        value /= priorityFactor;
    }
    if (request.nested) {
        value *= nestedFactor;
    }
    if (now + request.expected > request.targetBy) {
        value *= lateValue;
    }
    return value / std::max(seconds(request.expected), shortestWorkSeconds);
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
        const bool expired = !canEndInTime(request, now);
        if (expired) {
            outcome.expired.push_back(request.ticket);
        }
        return expired;
    });
    while (this->active.size() < this->slots && !this->queue.empty()) {
        const auto best = std::ranges::max_element(this->queue, {}, [now](const AdmissionRequest &request) {
            return valueDensity(request, now);
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
    // Work past its usual duration is expected to need another half of it.
    Duration ahead{};
    for (const Running &running : this->active) {
        ahead += std::max(running.started + running.expected - now, running.expected / 2);
    }
    const double density = valueDensity(request, now);
    for (const AdmissionRequest &other : this->queue) {
        if (valueDensity(other, now) >= density) {
            ahead += other.expected;
        }
    }
    // All slots busy: the first one to end is about one part of the work ahead away.
    return ahead / std::max(this->slots, 1U);
}

} // namespace Galenarack
