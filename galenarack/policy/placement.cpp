#include <galenarack/policy/placement.h>

#include <algorithm>
#include <cmath>

namespace Galenarack {

namespace {

/// Age at which a report of load has lost most of its meaning.
constexpr double loadAgeSeconds = 1.0;

/// Probability of being gray that is assumed of an upstream without a recent report.
constexpr double unknownGrayProbability = 0.05;

/// Above this probability a gray upstream gets no non-idempotent work, not even for want of a better one.
constexpr double lastResortLimit = 0.6;

/// Cost of bytes between failure domains, as a share of the target latency.
constexpr double crossDomainShare = 0.25;

/// Cost of a request that a gray upstream fails, in target latencies: an idempotent one is sent again, any other is lost.
constexpr double idempotentFailureCost = 1.0;
constexpr double otherFailureCost = 6.0;

/// Cost of a rejection by an upstream that sheds load, in target latencies: another one has to be asked.
constexpr double shedCost = 0.5;

/// An ejected upstream that this ingress has not heard of for this long after its trial time is chosen like any other.
constexpr Duration ejectionMemory = std::chrono::milliseconds(500);

/// Random part of the cost, as a share of the target latency, so that nodes with the same beliefs do not choose alike.
constexpr double jitterShare = 0.05;

/// Work on an upstream that has just started takes about twice as long.
constexpr double coldSlowness = 2.0;

/// A failed path is tried again after this time, which doubles with each failure in a row.
constexpr Duration pathRetryMin = std::chrono::milliseconds(300);
constexpr Duration pathRetryMax = std::chrono::milliseconds(2400);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// @return what is left of a report of this age, 0 to 1
double reportWeight(TimePoint reportedAt, TimePoint now)
{
    return std::exp(-std::max(seconds(now - reportedAt), 0.0) / loadAgeSeconds);
}

/// @return probability of being gray. It returns to that of an unknown upstream when no report comes, so that one which has
///         recovered is asked again; its home knows better and hands the request back if it has not.
double expectedGrayProbability(const UpstreamBelief &belief, TimePoint now)
{
    const double weight = reportWeight(belief.loadAt, now);
    return unknownGrayProbability + (belief.load.grayProbability - unknownGrayProbability) * weight;
}

} // namespace

Placement::Placement(std::string failureDomain, std::mt19937_64 random)
    : failureDomain(std::move(failureDomain))
    , random(random)
{
}

void Placement::setEntries(std::span<const UpstreamEntry> entries, TimePoint now)
{
    std::vector<UpstreamBelief> next;
    next.reserve(entries.size());
    for (const UpstreamEntry &entry : entries) {
        UpstreamBelief belief;
        if (const UpstreamBelief *known = this->find(entry.id); known != nullptr && known->entry.startTimeMs == entry.startTimeMs) {
            belief = *known;
        }
        if (belief.entry.revision != entry.revision) {
            belief.coldUntil = now + entry.coldRemaining;
        }
        belief.entry = entry;
        belief.load.slots = entry.slots;
        next.push_back(std::move(belief));
    }
    this->rows = std::move(next);
}

UpstreamBelief *Placement::find(std::string_view id)
{
    const auto row = std::ranges::find_if(this->rows, [id](const UpstreamBelief &belief) {
        return belief.entry.id == id;
    });
    return row == this->rows.end() ? nullptr : &*row;
}

Duration Placement::expectedWait(const UpstreamBelief &belief, Duration expected, TimePoint now)
{
    const double reported = (belief.load.running + belief.load.waiting) * reportWeight(belief.loadAt, now);
    const double load = std::max<double>(belief.outstanding, reported);
    const double excess = load - belief.entry.slots + 1.0;
    if (excess <= 0) {
        return Duration::zero();
    }
    return std::chrono::duration_cast<Duration>(expected * (excess / belief.entry.slots));
}

Duration Placement::failureCost(const PlacementRequest &request, double grayProbability)
{
    const double targets = request.idempotent ? idempotentFailureCost : otherFailureCost;
    return std::chrono::duration_cast<Duration>(request.target * (targets * grayProbability));
}

double Placement::costSeconds(const UpstreamBelief &belief, const PlacementRequest &request, TimePoint now)
{
    const double target = seconds(request.target);
    const double slowness = now < belief.coldUntil ? std::max(coldSlowness, belief.load.slowness) : belief.load.slowness;
    std::uniform_real_distribution<double> jitter(0.0, jitterShare);
    double cost = seconds(expectedWait(belief, request.expected, now)) * slowness;
    cost += seconds(request.expected) * (slowness - 1.0);
    cost += seconds(failureCost(request, expectedGrayProbability(belief, now)));
    cost += target * (shedCost * belief.load.shedShare + jitter(this->random));
    if (belief.entry.failureDomain != this->failureDomain) {
        cost += target * crossDomainShare;
    }
    return cost;
}

std::optional<std::size_t> Placement::chooseHandBack(const PlacementRequest &request,
                                                     std::span<const HandBack> handBacks,
                                                     Duration longestWait)
{
    std::optional<std::size_t> best;
    Duration bestCost{};
    for (std::size_t i = 0; i < handBacks.size(); ++i) {
        const HandBack &handBack = handBacks[i];
        if (handBack.wait > longestWait || (!request.idempotent && handBack.grayProbability > lastResortLimit)) {
            continue;
        }
        const Duration cost = handBack.wait + failureCost(request, handBack.grayProbability);
        if (!best || cost < bestCost) {
            best = i;
            bestCost = cost;
        }
    }
    return best;
}

UpstreamBelief *Placement::choose(const PlacementRequest &request, std::span<const std::string> excluded, TimePoint now)
{
    UpstreamBelief *best = nullptr;
    double bestCost = 0;
    for (UpstreamBelief &belief : this->rows) {
        const bool fits = belief.entry.service == request.service && !belief.entry.draining && now >= belief.unreachableUntil;
        if (!fits || std::ranges::find(excluded, belief.entry.id) != excluded.end()) {
            continue;
        }
        if (belief.ejected && now >= belief.trialAt && request.mayTry) {
            return &belief;
        }
        const bool isEjected = belief.ejected && now < belief.trialAt + ejectionMemory;
        if (isEjected && !request.acceptsGray) {
            continue;
        }
        const double cost = this->costSeconds(belief, request, now);
        if (best == nullptr || cost < bestCost) {
            best = &belief;
            bestCost = cost;
        }
    }
    return best;
}

void Placement::report(std::string_view id, const UpstreamLoad &load, TimePoint now)
{
    if (UpstreamBelief *belief = this->find(id)) {
        belief->load = load;
        belief->loadAt = now;
        belief->ejected = false;
        belief->pathFailures = 0;
        belief->unreachableUntil = TimePoint();
    }
}

void Placement::reportEjected(std::string_view id, Duration untilTrial, TimePoint now)
{
    if (UpstreamBelief *belief = this->find(id)) {
        belief->ejected = true;
        belief->trialAt = now + untilTrial;
    }
}

void Placement::reportPathFailure(std::string_view id, TimePoint now)
{
    if (UpstreamBelief *belief = this->find(id)) {
        const Duration pause = std::min(pathRetryMin * (1U << std::min(belief->pathFailures, 4U)), pathRetryMax);
        ++belief->pathFailures;
        belief->unreachableUntil = now + pause;
    }
}

} // namespace Galenarack
