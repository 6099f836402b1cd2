#include <galenarack/policy/admissionqueue.h>

#include <algorithm>
#include <cassert>
#include <cmath>

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

/// Lower bound of the slot time in the ranking: routes with shorter work rank no higher.
constexpr double minSlotSeconds = 0.02;

/// Lower bound of the share of the slots, and of the limit, that requests of a higher value leave to others, in the estimated wait.
constexpr double minLeftShare = 0.05;

/// Time constant with which used slot time loses its weight.
constexpr double usageDecaySeconds = 3.0;

/// Usage below this is forgotten.
constexpr double minUsageSeconds = 0.001;

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double decayedUsage(double slotSeconds, TimePoint updated, TimePoint now)
{
    return slotSeconds * std::exp(-seconds(now - updated) / usageDecaySeconds);
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

AdmissionQueue::AdmissionQueue(std::uint32_t slots)
    : slots(slots)
{
}

void AdmissionQueue::setSlots(std::uint32_t slots)
{
    this->slots = slots;
}

void AdmissionQueue::setLimit(std::optional<double> perSecond, TimePoint now)
{
    this->arrivals.setRate(perSecond, now);
}

void AdmissionQueue::recordProbe(TimePoint now)
{
    this->arrivals.onProbe(now);
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

void AdmissionQueue::release(std::uint64_t ticket, TimePoint now)
{
    const auto ended = std::ranges::find_if(this->active, [ticket](const Running &running) {
        return running.request.ticket == ticket;
    });
    if (ended == this->active.end()) {
        return;
    }
    std::erase_if(this->usage, [now](const auto &row) {
        return decayedUsage(row.second.slotSeconds, row.second.updated, now) < minUsageSeconds;
    });
    RouteUsage &usage = this->usage[ended->request.route];
    usage.slotSeconds = decayedUsage(usage.slotSeconds, usage.updated, now) + seconds(now - ended->started);
    usage.requests = decayedUsage(usage.requests, usage.updated, now) + 1;
    usage.updated = now;
    usage.request = ended->request;
    this->active.erase(ended);
}

void AdmissionQueue::withdraw(std::uint64_t ticket, TimePoint now)
{
    const auto withdrawn = std::ranges::find_if(this->active, [ticket](const Running &running) {
        return running.request.ticket == ticket;
    });
    if (withdrawn != this->active.end()) {
        this->arrivals.onWithdrawn(withdrawn->started, now);
        this->active.erase(withdrawn);
    }
}

AdmissionQueue::PreferredUse AdmissionQueue::preferredUse(double density, TimePoint now) const
{
    double slotSeconds = 0;
    double requests = 0;
    for (const auto &[route, usage] : this->usage) {
        if (this->valueDensity(usage.request) > density) {
            slotSeconds += decayedUsage(usage.slotSeconds, usage.updated, now);
            requests += decayedUsage(usage.requests, usage.updated, now);
        }
    }
    return {slotSeconds / (usageDecaySeconds * std::max(this->slots, 1U)), requests / usageDecaySeconds};
}

void AdmissionQueue::recordDuration(std::string_view route, Duration duration)
{
    this->durations.observe(route, duration);
}

double AdmissionQueue::valueDensity(const AdmissionRequest &request) const
{
    const double value = std::pow(priorityFactor, -static_cast<double>(request.priority));
    return value / std::max(seconds(this->durations.usual(request.route, request.target)), minSlotSeconds);
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
    while (this->active.size() < this->slots && !this->queue.empty() && this->arrivals.hasRoom(now)) {
        const auto best = std::ranges::max_element(this->queue, {}, [this](const AdmissionRequest &request) {
            return this->valueDensity(request);
        });
        this->arrivals.onArrival(now);
        this->active.push_back({now, *best});
        outcome.granted.push_back(best->ticket);
        this->queue.erase(best);
    }
    return outcome;
}

Duration AdmissionQueue::estimateWait(const AdmissionRequest &request, TimePoint now) const
{
    const double density = this->valueDensity(request);
    const PreferredUse preferred = this->preferredUse(density, now);
    return std::max(this->slotWait(density, preferred, now), this->limitWait(density, preferred, now));
}

Duration AdmissionQueue::limitWait(double density, const PreferredUse &preferred, TimePoint now) const
{
    const std::optional<double> rate = this->arrivals.rate();
    if (!rate) {
        return Duration::zero();
    }
    const auto ahead = static_cast<std::size_t>(std::ranges::count_if(this->queue, [this, density](const AdmissionRequest &other) {
        return this->valueDensity(other) >= density;
    }));
    const std::optional<Duration> wait = this->arrivals.wait(ahead, now);
    if (!wait) {
        return Duration::max();
    }
    // As for the slots, requests of a higher value that arrive during the wait go first.
    const double left = 1.0 - preferred.requestsPerSecond / *rate;
    return std::chrono::duration_cast<Duration>(*wait / std::max(left, minLeftShare));
}

Duration AdmissionQueue::slotWait(double density, const PreferredUse &preferred, TimePoint now) const
{
    if (this->active.size() < this->slots && this->queue.empty()) {
        return Duration::zero();
    }
    // When all slots are busy for independent durations, the first one becomes free after about the mean duration divided by
    // the number of slots plus one. From then on slots become free at the rate at which work finishes.
    Duration running{};
    for (const Running &run : this->active) {
        running += std::max(run.request.expected, now - run.started);
    }
    Duration ahead{};
    for (const AdmissionRequest &other : this->queue) {
        if (this->valueDensity(other) >= density) {
            ahead += other.expected;
        }
    }
    const std::uint32_t busy = std::max<std::uint32_t>(static_cast<std::uint32_t>(this->active.size()), 1);
    const Duration first = this->active.size() < this->slots ? Duration::zero() : running / busy / (busy + 1);
    // Requests of a higher value that arrive during the wait go first, so only the slots that they leave shorten it.
    const double left = 1.0 - preferred.slotShare;
    return std::chrono::duration_cast<Duration>((first + ahead / std::max(this->slots, 1U)) / std::max(left, minLeftShare));
}

} // namespace Galenarack
