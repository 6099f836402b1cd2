#include <galenarack/policy/placement.h>

#include <algorithm>
#include <cmath>

namespace Galenarack {

namespace {

/// Age at which a report of load has lost most of its meaning.
constexpr double reportDecaySeconds = 1.0;

/// Probability of being gray that is assumed of an upstream without a recent report.
constexpr double defaultGrayProbability = 0.05;

/// Above this probability a gray upstream gets no non-idempotent work, not even for want of a better one.
constexpr double maxLastResortGrayProbability = 0.6;

/// Cost of bytes between failure domains, as a share of the target latency.
constexpr double crossDomainCost = 0.25;

/// Cost of a request that a gray upstream fails, in target latencies: an idempotent one is sent again, any other is lost.
constexpr double idempotentFailureCost = 1.0;
constexpr double nonIdempotentFailureCost = 6.0;

/// Cost of a rejection by an upstream that sheds load, in target latencies: another one has to be asked.
constexpr double rejectionCost = 0.5;

/// An ejected upstream that this ingress has not heard of for this long after its trial time is chosen like any other.
constexpr Duration ejectionExpiry = std::chrono::milliseconds(500);

/// Random part of the cost, as a share of the target latency, so that nodes with the same beliefs do not choose alike.
constexpr double maxJitter = 0.05;

/// Work on an upstream that has just started takes about twice as long.
constexpr double coldStartSlowness = 2.0;

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
    return std::exp(-std::max(seconds(now - reportedAt), 0.0) / reportDecaySeconds);
}

/// @return probability of being gray. It returns to that of an unknown upstream when no report comes, so that one which has
///         recovered is asked again; its home knows better and hands the request back if it has not.
double expectedGrayProbability(const UpstreamView &view, TimePoint now)
{
    const double weight = reportWeight(view.loadReportedAt, now);
    return defaultGrayProbability + (view.load.grayProbability - defaultGrayProbability) * weight;
}

} // namespace

Placement::Placement(std::string failureDomain, std::mt19937_64 random)
    : failureDomain(std::move(failureDomain))
    , random(random)
{
}

void Placement::setEntries(std::span<const UpstreamEntry> entries, TimePoint now)
{
    std::vector<UpstreamView> next;
    next.reserve(entries.size());
    for (const UpstreamEntry &entry : entries) {
        UpstreamView view;
        if (const UpstreamView *known = this->find(entry.id); known != nullptr && known->entry.bornMs == entry.bornMs) {
            view = *known;
        }
        if (view.entry.revision != entry.revision) {
            view.coldUntil = now + entry.coldRemaining;
        }
        view.entry = entry;
        view.load.slots = entry.slots;
        next.push_back(std::move(view));
    }
    this->rows = std::move(next);
}

UpstreamView *Placement::find(std::string_view id)
{
    const auto row = std::ranges::find_if(this->rows, [id](const UpstreamView &view) {
        return view.entry.id == id;
    });
    return row == this->rows.end() ? nullptr : &*row;
}

Duration Placement::expectedWait(const UpstreamView &view, Duration expected, TimePoint now)
{
    const double reported = (view.load.running + view.load.waiting) * reportWeight(view.loadReportedAt, now);
    const double load = std::max<double>(view.outstanding, reported);
    const double excess = load - view.entry.slots + 1.0;
    if (excess <= 0) {
        return Duration::zero();
    }
    return std::chrono::duration_cast<Duration>(expected * (excess / view.entry.slots));
}

Duration Placement::failureCost(const PlacementRequest &request, double grayProbability)
{
    const double targets = request.idempotent ? idempotentFailureCost : nonIdempotentFailureCost;
    return std::chrono::duration_cast<Duration>(request.target * (targets * grayProbability));
}

double Placement::costSeconds(const UpstreamView &view, const PlacementRequest &request, TimePoint now)
{
    const double target = seconds(request.target);
    const double slowness = now < view.coldUntil ? std::max(coldStartSlowness, view.load.slowness) : view.load.slowness;
    std::uniform_real_distribution<double> jitter(0.0, maxJitter);
    double cost = seconds(expectedWait(view, request.expected, now)) * slowness;
    cost += seconds(request.expected) * (slowness - 1.0);
    cost += seconds(failureCost(request, expectedGrayProbability(view, now)));
    cost += target * (rejectionCost * view.load.shedShare + jitter(this->random));
    if (view.entry.failureDomain != this->failureDomain) {
        cost += target * crossDomainCost;
    }
    return cost;
}

std::optional<std::size_t> Placement::chooseDeclinedOffer(const PlacementRequest &request,
                                                          std::span<const DeclinedOffer> declinedOffers,
                                                          Duration maxQueueWait)
{
    std::optional<std::size_t> best;
    Duration bestCost{};
    for (std::size_t i = 0; i < declinedOffers.size(); ++i) {
        const DeclinedOffer &declinedOffer = declinedOffers[i];
        if (declinedOffer.wait > maxQueueWait || (!request.idempotent && declinedOffer.grayProbability > maxLastResortGrayProbability)) {
            continue;
        }
        const Duration cost = declinedOffer.wait + failureCost(request, declinedOffer.grayProbability);
        if (!best || cost < bestCost) {
            best = i;
            bestCost = cost;
        }
    }
    return best;
}

UpstreamView *Placement::choose(const PlacementRequest &request, std::span<const std::string> excluded, TimePoint now)
{
    UpstreamView *best = nullptr;
    double bestCost = 0;
    for (UpstreamView &view : this->rows) {
        const bool isEligible = view.entry.service == request.service && !view.entry.draining && now >= view.unreachableUntil;
        if (!isEligible || std::ranges::find(excluded, view.entry.id) != excluded.end()) {
            continue;
        }
        if (view.ejected && now >= view.trialAt && request.allowTrial) {
            return &view;
        }
        const bool isEjected = view.ejected && now < view.trialAt + ejectionExpiry;
        if (isEjected && !request.allowUnhealthy) {
            continue;
        }
        const double cost = this->costSeconds(view, request, now);
        if (best == nullptr || cost < bestCost) {
            best = &view;
            bestCost = cost;
        }
    }
    return best;
}

void Placement::report(std::string_view id, const UpstreamLoad &load, TimePoint now)
{
    if (UpstreamView *view = this->find(id)) {
        view->load = load;
        view->loadReportedAt = now;
        view->ejected = false;
        view->pathFailures = 0;
        view->unreachableUntil = TimePoint();
    }
}

void Placement::reportEjected(std::string_view id, Duration untilTrial, TimePoint now)
{
    if (UpstreamView *view = this->find(id)) {
        view->ejected = true;
        view->trialAt = now + untilTrial;
    }
}

void Placement::reportPathFailure(std::string_view id, TimePoint now)
{
    if (UpstreamView *view = this->find(id)) {
        const Duration pause = std::min(pathRetryMin * (1U << std::min(view->pathFailures, 4U)), pathRetryMax);
        ++view->pathFailures;
        view->unreachableUntil = now + pause;
    }
}

} // namespace Galenarack
