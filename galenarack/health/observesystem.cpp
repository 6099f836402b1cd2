#include <galenarack/health/observesystem.h>

#include <algorithm>
#include <cassert>
#include <cmath>

namespace Galenarack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Natural logarithm of the slowdown that the latency test is designed for: a factor of 3, the smallest with a detection target.
constexpr float designShift = 1.0986F;
/// Bounds of the evidence of one response. Real latency tails are heavier than lognormal, so no single response may decide.
constexpr float maxSampleEvidence = 6.0F;
constexpr float minSampleEvidence = -5.0F;
/// Bounds of the standard deviation of log latency.
constexpr float minDeviation = 0.3F;
constexpr float maxDeviation = 1.0F;
/// Maximum share of the ejection threshold that the evidence may grow by in one tick, unless a single sample exceeds it. Requests
/// that end together often share one cause, such as a garbage collection pause.
constexpr float maxTickGainShare = 0.25F;
/// Upper bound of the evidence as a multiple of the ejection threshold, so that an upstream that stays in use with `insist` can
/// recover its rank.
constexpr float evidenceLimit = 2.0F;
/// Baselines are not updated while the evidence is above this share of the ejection threshold, so that they do not adapt to a
/// fault.
constexpr float learningLimit = 0.3F;
/// Number of samples over which latency baselines average.
constexpr float baselineSamples = 1000.0F;
/// Number of samples over which the failure rate averages. It must be far larger than the number needed to detect an error rate
/// of 5%, or the baseline would adapt to the fault first.
constexpr float failureBaselineSamples = 20000.0F;
/// Weight of one response in the recent latency.
constexpr float recentWeight = 0.3F;
/// Weight of one received median in the peer median. Ingresses send medians of different ages; averaging prevents a single one
/// from determining the reference.
constexpr float peerWeight = 0.5F;
/// Minimum rise of the reference (10%) at which evidence is recomputed; smaller changes are noise of the median.
constexpr float minRebaseRise = 0.1F;
/// Share by which the latency tail decays towards the mean per response.
constexpr float tailDecay = 1e-4F;
/// Bounds of the failure rate of a healthy upstream, and the factor from it to the rate of an unhealthy one.
constexpr float minFailureRate = 0.0005F;
constexpr float maxFailureRate = 0.02F;
constexpr float badFailureFactor = 25.0F;
/// Load shedding reduces the traffic share by this factor, at most once per interval and not below the minimum.
constexpr float sheddingFactor = 0.7F;
constexpr float minSheddingWeight = 0.1F;
constexpr Duration sheddingInterval = milliseconds(100);
constexpr Duration maxRetryAfter = seconds(10);

/// Adds a log-likelihood ratio to a CUSUM within the limit for one tick.
template<typename Evidence>
void accumulate(Evidence &target, float increment, float threshold)
{
    const float limit = std::max(maxTickGainShare * threshold, increment);
    const float gain = std::min(target.windowGain + increment, limit) - target.windowGain;
    target.windowGain += gain;
    target.evidence = std::clamp(target.evidence + gain, 0.0F, evidenceLimit * threshold);
}

/// @return the variance of the log latency, limited to its bounds
float boundedVariance(const LatencyClass &latency)
{
    return std::clamp(latency.variance, minDeviation * minDeviation, maxDeviation * maxDeviation);
}

} // namespace

ObserveSystem::ObserveSystem(UpstreamTable &table)
    : table(table)
{
}

void ObserveSystem::start(std::uint32_t row, std::uint64_t token, std::uint8_t routeClass, TimePoint now)
{
    assert(row < this->table.size() && routeClass < maxRouteClasses);
    this->table.adjustForPause(now);
    this->table.inFlight[row].push_back({token, now, routeClass});
}

void ObserveSystem::finish(std::uint32_t row, std::uint64_t token, SampleOutcome outcome, TimePoint now, Duration retryAfter)
{
    assert(row < this->table.size());
    this->table.adjustForPause(now);
    auto &requests = this->table.inFlight[row];
    const auto found = std::find_if(requests.begin(), requests.end(), [token](const InFlightRequest &request) {
        return request.token == token;
    });
    if (found == requests.end()) {
        return;
    }
    const InFlightRequest request = *found;
    *found = requests.back();
    requests.pop_back();

    if (outcome == SampleOutcome::Shed) {
        this->recordShedding(row, retryAfter, now);
        return;
    }
    const auto age = std::max<Duration::rep>(1, (now - request.started).count());
    const bool censored = outcome == SampleOutcome::TimedOut || outcome == SampleOutcome::Cancelled;
    if (outcome == SampleOutcome::Ok || censored) {
        this->recordLatency(row, request.routeClass, std::log(static_cast<float>(age)), !censored, now);
    }
    if (!censored) {
        this->recordOutcome(row, outcome);
    }
}

void ObserveSystem::peerMedian(std::uint32_t row, std::uint8_t routeClass, Duration median, TimePoint now)
{
    this->table.adjustForPause(now);
    if (median <= Duration(0)) {
        return;
    }
    LatencyClass &latency = this->table.latencies[row][routeClass];
    const float value = std::log(static_cast<float>(median.count()));
    latency.peerMedian = latency.hasPeerMedian ? latency.peerMedian + (peerWeight * (value - latency.peerMedian)) : value;
    latency.hasPeerMedian = true;
    latency.peerMedianAt = now;
    if (const auto reference = this->table.reference(row, routeClass)) {
        this->rebase(row, routeClass, *reference);
    }
}

float ObserveSystem::latencyEvidence(const LatencyClass &latency, float logLatency, float reference)
{
    const float ratio = (designShift / boundedVariance(latency)) * (logLatency - reference - (designShift / 2.0F));
    return std::clamp(ratio, minSampleEvidence, maxSampleEvidence);
}

void ObserveSystem::recordLatency(std::uint32_t row, std::uint8_t routeClass, float logLatency, bool complete, TimePoint now)
{
    LatencyClass &latency = this->table.latencies[row][routeClass];
    LatencyClass &all = this->table.pooled[row];
    const DetectionThresholds &thresholds = detectionThresholds(this->table.profiles[row]);
    if (const auto reference = this->table.reference(row, routeClass)) {
        float increment = latencyEvidence(latency, logLatency, *reference + this->table.coldAllowance(row, now));
        // A request that timed out or was cancelled would have taken longer, so it is never evidence of good health.
        increment = complete ? increment : std::max(0.0F, increment);
        for (LatencyClass *target : {&latency, &all}) {
            const bool wasSuspect = target->evidence >= thresholds.suspicionThreshold;
            accumulate(*target, increment, thresholds.threshold);
            if (!wasSuspect) {
                target->onset = now;
            }
        }
        countEvidenceSample(latency, *reference);
    }
    if (!complete) {
        return;
    }
    latency.recent = latency.samples == 0 ? logLatency : latency.recent + (recentWeight * (logLatency - latency.recent));
    latency.lastSample = now;
    all.lastSample = now;
    this->updateBaseline(latency, logLatency, std::max(latency.evidence, all.evidence) > learningLimit * thresholds.threshold);
}

void ObserveSystem::countEvidenceSample(LatencyClass &target, float reference)
{
    if (target.evidence <= 0.0F) {
        target.evidenceSamples = 0;
        target.evidenceReference = reference;
    } else {
        ++target.evidenceSamples;
    }
}

void ObserveSystem::rebase(std::uint32_t row, std::uint8_t routeClass, float reference)
{
    LatencyClass &latency = this->table.latencies[row][routeClass];
    LatencyClass &all = this->table.pooled[row];
    const float rise = reference - latency.evidenceReference;
    if (latency.evidenceSamples == 0 || rise < minRebaseRise) {
        return;
    }
    // The peer median has risen after a slowdown: the evidence of each response since it was last 0 decreases by the difference
    // that the higher reference makes.
    const float lossPerSample = std::min(maxSampleEvidence, designShift * rise / boundedVariance(latency));
    const float loss = lossPerSample * static_cast<float>(latency.evidenceSamples);
    latency.evidence = std::max(0.0F, latency.evidence - loss);
    all.evidence = std::max(0.0F, all.evidence - loss);
    latency.evidenceReference = reference;
}

void ObserveSystem::updateBaseline(LatencyClass &latency, float logLatency, bool suspected)
{
    if (suspected) {
        return;
    }
    ++latency.samples;
    const float step = std::max(1.0F / static_cast<float>(latency.samples), 1.0F / baselineSamples);
    const float limit = 3.0F * std::sqrt(latency.variance);
    const float residual = latency.samples == 1 ? logLatency : logLatency - latency.mean;
    const float bounded = latency.samples <= 5 ? residual : std::clamp(residual, -limit, limit);
    latency.mean += step * bounded;
    if (latency.samples > 1) {
        // The initial variance has the weight of 10 samples.
        const float varianceStep = std::max(1.0F / (static_cast<float>(latency.samples) + 10.0F), 1.0F / baselineSamples);
        latency.variance += varianceStep * ((bounded * bounded) - latency.variance);
    }
    latency.tail = std::max(latency.tail + (tailDecay * (latency.mean - latency.tail)), logLatency);
}

void ObserveSystem::recordOutcome(std::uint32_t row, SampleOutcome outcome)
{
    FailureEvidence &failure = this->table.failures[row];
    const DetectionThresholds &thresholds = detectionThresholds(this->table.profiles[row]);
    const float healthy = std::clamp(4.0F * failure.rate, minFailureRate, maxFailureRate);
    const float bad = std::min(0.5F, badFailureFactor * healthy);
    float increment = std::log((1.0F - bad) / (1.0F - healthy));
    if (outcome == SampleOutcome::IntegrityError) {
        increment = thresholds.integrityEvidence;
        failure.cause = HealthCause::Integrity;
    } else if (outcome == SampleOutcome::Failed) {
        increment = std::log(bad / healthy);
        failure.cause = HealthCause::Failure;
    }
    accumulate(failure, increment, thresholds.threshold);

    HealthEvaluation &evaluation = this->table.evaluations[row];
    if (evaluation.healthState == HealthState::Trial && outcome == SampleOutcome::Ok) {
        ++evaluation.trialSuccesses;
    }
    if (failure.evidence <= learningLimit * thresholds.threshold) {
        failure.rate += (1.0F / failureBaselineSamples) * ((outcome == SampleOutcome::Ok ? 0.0F : 1.0F) - failure.rate);
    }
}

void ObserveSystem::recordShedding(std::uint32_t row, Duration retryAfter, TimePoint now)
{
    SheddingState &shed = this->table.shedding[row];
    if (now - shed.lastReduction < sheddingInterval && shed.weight < 1.0F) {
        return;
    }
    shed.weight = std::max(minSheddingWeight, sheddingFactor * this->table.sheddingShare(row, now));
    shed.lastReduction = now;
    shed.until = now + std::clamp(retryAfter, Duration(0), maxRetryAfter);
}

} // namespace Galenarack
