#include <galenarack/health/healthevaluationsystem.h>

#include <galenarack/health/observesystem.h>

#include <algorithm>
#include <cmath>

namespace Galenarack {

namespace {

using std::chrono::seconds;

/// Requests in flight together add at most this share of the ejection threshold to the latency evidence. Stalls are evaluated
/// separately.
constexpr float maxInFlightShare = 0.75F;
/// Natural logarithm of the factor (1.6) by which the recent latency must exceed the reference for an ejection for latency.
constexpr float minLogSlowdown = 0.47F;
/// Multiples of the latency tail that the age of stalled requests must exceed, for two requests and for a single one. They allow
/// for services whose healthy responses are occasionally far slower than typical ones.
constexpr float pairTailFactor = 2.0F;
constexpr float singleTailFactor = 3.0F;
/// A peer median at most this old confirms latency evidence. Without one, confirmation takes 1.5 times as long.
constexpr Duration freshMedianAge = std::chrono::milliseconds(400);
/// Shares of the ejection threshold at which an episode of raised evidence starts and ends.
constexpr float episodeStartShare = 0.6F;
constexpr float episodeEndShare = 0.1F;
/// Number of episodes within the window that eject an upstream even if none of them reached the threshold.
constexpr std::uint8_t flappingEpisodes = 3;
constexpr Duration flappingWindow = seconds(60);
/// The ejection time doubles with each ejection in a row, at most this many times.
constexpr std::uint32_t maxEjectionDoublings = 10;
/// The count of ejections is lowered by one after the upstream has served for about this multiple of the ejection base time.
constexpr int ejectionDecayFactor = 6;
/// An ejection for latency is revoked if the peer median rises to the upstream's latency within this time, because the slowdown
/// then affects the whole service.
constexpr Duration revocationWindow = seconds(5);
/// Longest wait for a successful probe after the ejection time. The trial then starts without one, since the upstream may not
/// support probes.
constexpr Duration probeTimeout = seconds(3);
/// A trial without enough repeatable requests succeeds after this time if this many probes in a row succeeded.
constexpr Duration idleTrialDuration = seconds(30);
constexpr std::uint32_t idleTrialProbes = 3;
constexpr Duration minTrialDuration = seconds(1);

/// Returns the stall evidence of one request in flight.
/// @param age, typical, tail in microseconds; `tail` is the decaying maximum of healthy responses
/// @return 0 below the age at which two such requests eject the upstream, from then on half of the ejection threshold, rising
/// to the whole threshold at the age at which a single request ejects it
float stallEvidence(const DetectionThresholds &thresholds, float age, float typical, float tail)
{
    const float stalled = std::max(static_cast<float>(thresholds.stallMinimum.count()), thresholds.stallFactor * typical);
    const float pairAge = std::max(stalled, pairTailFactor * tail);
    const float singleAge = std::max(
        {static_cast<float>(thresholds.singleStallMinimum.count()), thresholds.singleStallFactor * stalled, singleTailFactor * tail});
    if (age < pairAge) {
        return 0.0F;
    }
    return thresholds.threshold * (0.5F + (0.5F * std::min(1.0F, (age - pairAge) / (singleAge - pairAge))));
}

} // namespace

HealthEvaluationSystem::HealthEvaluationSystem(UpstreamTable &table)
    : table(table)
{
}

std::span<const HealthChange> HealthEvaluationSystem::tick(TimePoint now)
{
    this->changes.clear();
    this->table.adjustForPause(now);
    for (std::uint32_t row = 0; row < this->table.size(); ++row) {
        const Evidence evidence = this->collectEvidence(row, now);
        this->evaluate(row, evidence, now);
    }
    return this->changes;
}

HealthEvaluationSystem::Evidence HealthEvaluationSystem::collectEvidence(std::uint32_t row, TimePoint now)
{
    Evidence evidence;
    this->table.pooled[row].windowGain = 0.0F;
    this->table.failures[row].windowGain = 0.0F;
    evidence.latency = this->table.pooled[row].evidence;
    evidence.failure = this->table.failures[row].evidence;
    for (LatencyClass &latency : this->table.latencies[row]) {
        latency.windowGain = 0.0F;
        evidence.latency = std::max(evidence.latency, latency.evidence);
    }
    this->addRequestsInFlight(row, now, evidence);
    const DetectionThresholds &thresholds = detectionThresholds(this->table.profiles[row]);
    if (evidence.latency >= thresholds.threshold) {
        evidence.latencyConfirmed = this->isLatencyConfirmed(row, evidence.inFlight, now);
    }
    return evidence;
}

void HealthEvaluationSystem::addRequestsInFlight(std::uint32_t row, TimePoint now, Evidence &evidence) const
{
    const DetectionThresholds &thresholds = detectionThresholds(this->table.profiles[row]);
    float slowness = 0.0F;
    for (const InFlightRequest &request : this->table.inFlight[row]) {
        const auto age = static_cast<float>(std::max<Duration::rep>(1, (now - request.started).count()));
        const LatencyClass &latency = this->table.latencies[row][request.routeClass];
        const auto reference = this->table.reference(row, request.routeClass);
        float typical = static_cast<float>(thresholds.stallAgeWithoutBaseline.count()) / thresholds.stallFactor;
        if (reference) {
            const float expected = *reference + this->table.coldAllowance(row, now);
            typical = std::exp(expected);
            slowness += std::max(0.0F, ObserveSystem::latencyEvidence(latency, std::log(age), expected));
        }
        evidence.stall += stallEvidence(thresholds, age, typical, std::exp(latency.tail));
    }
    evidence.inFlight = std::min(slowness, maxInFlightShare * thresholds.threshold);
    evidence.latency += evidence.inFlight;
}

bool HealthEvaluationSystem::isCurrentlySlow(std::uint32_t row, std::uint8_t routeClass, TimePoint now) const
{
    const auto reference = this->table.reference(row, routeClass);
    const Duration recent = this->table.recentLatency(row, routeClass, now);
    return reference && recent > Duration(0) && std::log(static_cast<float>(recent.count())) > *reference + minLogSlowdown;
}

bool HealthEvaluationSystem::isLatencyConfirmed(std::uint32_t row, float inFlight, TimePoint now)
{
    const DetectionThresholds &thresholds = detectionThresholds(this->table.profiles[row]);
    auto &classes = this->table.latencies[row];
    bool confirmed = false;
    bool anySlow = false;
    for (std::uint8_t i = 0; i < maxRouteClasses; ++i) {
        LatencyClass &latency = classes[i];
        if (!this->table.isRecent(row, i, now) && latency.evidence <= 0.0F) {
            continue;
        }
        if (!this->isCurrentlySlow(row, i, now)) {
            // The peer median has risen to the upstream's latency, or the slowdown is over.
            latency.evidence = std::min(latency.evidence, 0.5F * thresholds.threshold);
            continue;
        }
        anySlow = true;
        confirmed = confirmed || this->isSustained(latency, latency.peerMedianAt, inFlight, thresholds, now);
        confirmed = confirmed || this->isSustained(this->table.pooled[row], latency.peerMedianAt, inFlight, thresholds, now);
    }
    if (!anySlow) {
        this->table.pooled[row].evidence = std::min(this->table.pooled[row].evidence, 0.5F * thresholds.threshold);
    }
    return confirmed;
}

bool HealthEvaluationSystem::isSustained(
    const LatencyClass &target, TimePoint peerMedianAt, float inFlight, const DetectionThresholds &thresholds, TimePoint now) const
{
    if (target.evidence + inFlight < thresholds.threshold || target.evidence < thresholds.suspicionThreshold) {
        return false;
    }
    const Duration lasted = now - target.onset;
    const bool medianIsFresh = now - peerMedianAt <= freshMedianAge;
    return lasted >= thresholds.latencyConfirmation * 3 / 2 || (lasted >= thresholds.latencyConfirmation && medianIsFresh);
}

void HealthEvaluationSystem::evaluate(std::uint32_t row, const Evidence &evidence, TimePoint now)
{
    HealthEvaluation &evaluation = this->table.evaluations[row];
    const float threshold = detectionThresholds(this->table.profiles[row]).threshold;
    evaluation.severity = std::max({evidence.latency, evidence.stall, evidence.failure}) / threshold;
    if (evaluation.healthState == HealthState::Serving || evaluation.healthState == HealthState::Cold) {
        evaluation.cause = this->dominantCause(row, evidence);
    }
    switch (evaluation.healthState) {
    case HealthState::Serving:
    case HealthState::Cold:
        this->evaluateServing(row, evidence, now);
        break;
    case HealthState::Ejected:
        this->evaluateEjected(row, now);
        break;
    case HealthState::Trial:
        if (evaluation.severity * threshold >= detectionThresholds(this->table.profiles[row]).trialThreshold) {
            this->eject(row, evaluation.cause, evidence, now);
        } else {
            this->evaluateTrial(row, now);
        }
        break;
    case HealthState::Leaving:
        break;
    }
}

HealthCause HealthEvaluationSystem::dominantCause(std::uint32_t row, const Evidence &evidence) const
{
    const float worst = std::max({evidence.latency, evidence.stall, evidence.failure});
    if (worst < detectionThresholds(this->table.profiles[row]).suspicionThreshold) {
        return HealthCause::None;
    }
    if (worst <= evidence.failure) {
        return this->table.failures[row].cause;
    }
    return worst <= evidence.stall ? HealthCause::Stall : HealthCause::Latency;
}

void HealthEvaluationSystem::evaluateServing(std::uint32_t row, const Evidence &evidence, TimePoint now)
{
    HealthEvaluation &evaluation = this->table.evaluations[row];
    const float threshold = detectionThresholds(this->table.profiles[row]).threshold;
    if (evaluation.healthState == HealthState::Cold && this->table.isSlowStartOver(row, now)) {
        this->setHealthState(row, HealthState::Serving, HealthCause::None, evidence, now);
    }
    if (evaluation.ejections > 0 && now >= evaluation.ejectionsDecayAt) {
        --evaluation.ejections;
        evaluation.ejectionsDecayAt = now + (ejectionDecayFactor * this->table.ejectionBase);
    }

    // Counts episodes that end before the evidence reaches the threshold.
    // Requests in flight are excluded, since a short pause of the upstream would otherwise count as an episode.
    const float worst = std::max(evidence.latency - evidence.inFlight, evidence.failure);
    if (!evaluation.inEpisode && worst >= episodeStartShare * threshold) {
        this->recordEpisode(evaluation, now);
    } else if (evaluation.inEpisode && worst <= episodeEndShare * threshold) {
        evaluation.inEpisode = false;
    }

    if (evidence.failure >= threshold) {
        this->eject(row, this->table.failures[row].cause, evidence, now);
    } else if (evidence.stall >= threshold) {
        this->eject(row, HealthCause::Stall, evidence, now);
    } else if (evidence.latencyConfirmed) {
        this->eject(row, HealthCause::Latency, evidence, now);
    } else if (evaluation.episodes >= flappingEpisodes) {
        this->eject(row, HealthCause::Flapping, evidence, now);
    }
}

void HealthEvaluationSystem::recordEpisode(HealthEvaluation &evaluation, TimePoint now)
{
    evaluation.inEpisode = true;
    if (evaluation.episodes == 0 || now - evaluation.firstEpisode > flappingWindow) {
        evaluation.episodes = 0;
        evaluation.firstEpisode = now;
    }
    ++evaluation.episodes;
}

void HealthEvaluationSystem::evaluateEjected(std::uint32_t row, TimePoint now)
{
    HealthEvaluation &evaluation = this->table.evaluations[row];
    // Requests with `insist` still reach the upstream and add evidence. Without them the minimum keeps the upstream ranked worse
    // than healthy ones.
    evaluation.severity = std::max(evaluation.severity, 0.1F);
    if (evaluation.cause == HealthCause::Latency && now - evaluation.since <= revocationWindow && this->isNoLongerSlow(row, now)) {
        this->clearEvidence(row);
        --evaluation.ejections;
        this->setHealthState(row, HealthState::Serving, HealthCause::None, {}, now);
        return;
    }
    if (now < evaluation.ejectedUntil) {
        return;
    }
    const ProbeState &probe = this->table.probes[row];
    const bool probeGood = probe.lastOk && probe.lastResult > evaluation.since;
    const bool probeBad = !probe.lastOk && probe.lastResult > evaluation.since;
    if (probeGood || (!probeBad && now - evaluation.ejectedUntil >= probeTimeout)) {
        this->clearEvidence(row);
        this->setHealthState(row, HealthState::Trial, evaluation.cause, {}, now);
    }
}

bool HealthEvaluationSystem::isNoLongerSlow(std::uint32_t row, TimePoint now) const
{
    for (std::uint8_t i = 0; i < maxRouteClasses; ++i) {
        if (this->table.isRecent(row, i, now) && this->isCurrentlySlow(row, i, now)) {
            return false;
        }
    }
    return true;
}

void HealthEvaluationSystem::evaluateTrial(std::uint32_t row, TimePoint now)
{
    HealthEvaluation &evaluation = this->table.evaluations[row];
    const DetectionThresholds &thresholds = detectionThresholds(this->table.profiles[row]);
    const bool passedByTraffic = evaluation.trialSuccesses >= thresholds.trialSuccesses && now - evaluation.since >= minTrialDuration;
    const bool passedByProbes
        = now - evaluation.since >= idleTrialDuration && this->table.probes[row].consecutiveSuccesses >= idleTrialProbes;
    if (passedByTraffic || passedByProbes) {
        evaluation.startedCold = false;
        evaluation.ejectionsDecayAt = now + (ejectionDecayFactor * (evaluation.ejectedUntil - evaluation.since + this->table.ejectionBase));
        this->setHealthState(row, HealthState::Cold, HealthCause::None, {}, now);
    }
}

void HealthEvaluationSystem::eject(std::uint32_t row, HealthCause cause, const Evidence &evidence, TimePoint now)
{
    HealthEvaluation &evaluation = this->table.evaluations[row];
    const std::uint32_t doubling = std::min(evaluation.ejections, maxEjectionDoublings);
    const Duration length = std::min(this->table.ejectionMax, this->table.ejectionBase * (1 << doubling));
    ++evaluation.ejections;
    evaluation.ejectedUntil = now + length;
    evaluation.trialSuccesses = 0;
    evaluation.episodes = 0;
    evaluation.inEpisode = false;
    this->setHealthState(row, HealthState::Ejected, cause, evidence, now);
    this->changes.back().ejectionTime = length;
}

void HealthEvaluationSystem::setHealthState(std::uint32_t row, HealthState to, HealthCause cause, const Evidence &evidence, TimePoint now)
{
    HealthEvaluation &evaluation = this->table.evaluations[row];
    this->changes.push_back(
        {row, evaluation.healthState, to, cause, evaluation.severity, evidence.latency, evidence.stall, evidence.failure, Duration(0)});
    evaluation.healthState = to;
    evaluation.cause = cause;
    evaluation.since = now;
    evaluation.trialSuccesses = 0;
}

void HealthEvaluationSystem::clearEvidence(std::uint32_t row)
{
    for (LatencyClass &latency : this->table.latencies[row]) {
        latency.evidence = 0.0F;
        latency.windowGain = 0.0F;
        latency.recent = latency.mean;
    }
    this->table.pooled[row].evidence = 0.0F;
    this->table.failures[row].evidence = 0.0F;
}

} // namespace Galenarack
