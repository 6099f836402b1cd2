#include <galenarack/policy/placement.h>

#include <algorithm>
#include <cmath>

namespace Galenarack {

namespace {

/// Time constant with which the weight of a load report decays.
constexpr double reportDecaySeconds = 1.0;

/// Probability of being gray that is assumed for an upstream without a recent report. It is less than the share of gray upstreams, or
/// upstreams that have started or come back would get no requests by which their homes learn their health.
constexpr double defaultGrayProbability = 0.03;

/// Above this probability of being gray an upstream gets no non-idempotent work, even when no better upstream is left.
constexpr double maxLastResortGrayProbability = 0.6;

/// Cost of traffic between failure domains, in target latencies.
constexpr double crossDomainCost = 0.25;

/// Cost of a request that fails at a gray upstream, in target latencies: an idempotent one is sent again, any other is lost.
constexpr double idempotentFailureCost = 1.0;
constexpr double nonIdempotentFailureCost = 6.0;

/// Cost of a rejection by an upstream that sheds load, in target latencies: another upstream has to be asked.
constexpr double rejectionCost = 0.5;

/// Time after the trial time at which an ejection expires if no report of the upstream has been received.
constexpr Duration ejectionExpiry = std::chrono::milliseconds(500);

/// Upper bound of the random part of the cost, in target latencies. Without it, nodes with the same reports would all choose the
/// same upstream.
constexpr double maxJitter = 0.05;

/// A limit may end or rise at any time, so a report on it only counts for this time. Then the home is asked again.
constexpr Duration limitReportLifetime = std::chrono::seconds(1);

/// Assumed slowness of an upstream during its cold start: work takes about twice as long.
constexpr double coldStartSlowness = 2.0;

/// Bounds of the time after which a failed path is tried again; it doubles with each consecutive failure.
constexpr Duration pathRetryMin = std::chrono::milliseconds(300);
constexpr Duration pathRetryMax = std::chrono::milliseconds(2400);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// @return weight of a report of this age, 0 to 1
double reportWeight(TimePoint reportedAt, TimePoint now)
{
    return std::exp(-std::max(seconds(now - reportedAt), 0.0) / reportDecaySeconds);
}

/// @return probability that the upstream is gray. Without reports it returns to the default, so that an upstream which has
///         recovered gets offers again; if it has not recovered, its home declines them.
double expectedGrayProbability(const UpstreamView &view, TimePoint now)
{
    const double weight = reportWeight(view.loadReportedAt, now);
    return defaultGrayProbability + (view.load.grayProbability - defaultGrayProbability) * weight;
}

} // namespace

Duration UpstreamView::remainingLimitWait(TimePoint now) const
{
    if (!this->load.limit || now - this->loadReportedAt > limitReportLifetime) {
        return Duration::zero();
    }
    return std::max<Duration>(this->loadReportedAt + this->load.limitWait - now, Duration::zero());
}

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
        if (const UpstreamView *known = this->find(entry.id); known != nullptr && known->entry.startTimeMs == entry.startTimeMs) {
            view = *known;
        }
        if (view.entry.position != entry.position) {
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
    double cost = seconds(expectedWait(view, request.expected, now)) * slowness + seconds(view.remainingLimitWait(now));
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

bool Placement::isEligible(const UpstreamView &view, const PlacementRequest &request, std::span<const std::string> excluded, TimePoint now)
{
    return view.entry.service == request.service && !view.entry.draining && now >= view.unreachableUntil
           && std::ranges::find(excluded, view.entry.id) == excluded.end();
}

std::vector<DeclinedOffer> Placement::limitedOffers(const PlacementRequest &request,
                                                    std::span<const std::string> excluded,
                                                    TimePoint now) const
{
    std::vector<DeclinedOffer> offers;
    for (const UpstreamView &view : this->rows) {
        const Duration wait = view.remainingLimitWait(now);
        if (wait > request.maxLimitWait && isEligible(view, request, excluded, now)) {
            offers.push_back({view.entry.id, wait, expectedGrayProbability(view, now)});
        }
    }
    return offers;
}

UpstreamView *Placement::choose(const PlacementRequest &request, std::span<const std::string> excluded, TimePoint now)
{
    UpstreamView *best = nullptr;
    double bestCost = 0;
    for (UpstreamView &view : this->rows) {
        if (!isEligible(view, request, excluded, now) || view.remainingLimitWait(now) > request.maxLimitWait) {
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
