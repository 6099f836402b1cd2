#include <galenarack/health/judgesystem.h>

#include <galenarack/health/observesystem.h>

#include <algorithm>
#include <cmath>

namespace Galenarack {

namespace {

using std::chrono::seconds;

/// Requests in flight together add at most this part of the threshold to the latency evidence; stalls count separately.
constexpr float inFlightShare = 0.75F;
/// Confirmed latency evidence still needs a typical latency of 1.6 times the reference at present.
constexpr float slowNow = 0.47F;
/// Multiples of the longest healthy response of late that two stalled requests and a single one must exceed. They cover services
/// whose healthy responses are sometimes far slower than typical ones.
constexpr float pairTailFactor = 2.0F;
constexpr float singleTailFactor = 3.0F;
/// A peers' median this young confirms latency evidence; without one, confirmation takes half as long again.
constexpr Duration newMedian = std::chrono::milliseconds(400);
/// An episode starts at this part of the threshold and ends at the other.
constexpr float episodeStart = 0.6F;
constexpr float episodeEnd = 0.1F;
/// So many episodes in the window eject, although none of them reached the threshold.
constexpr std::uint8_t flappingEpisodes = 3;
constexpr Duration flappingWindow = seconds(60);
/// Largest exponent of the growing ejection time.
constexpr std::uint32_t largestDoubling = 10;
/// An ejection is forgotten after this many times its length of serving.
constexpr int forgiveFactor = 6;
/// An ejection for latency is revoked when the peers' median follows within this time: the slowdown was common to the service.
constexpr Duration revocationTime = seconds(5);
/// A trial waits so long for a good probe; then it starts without one, since probes may not work at all.
constexpr Duration probePatience = seconds(3);
/// A trial without enough repeatable requests ends well after this time if so many probes succeeded.
constexpr Duration idleTrial = seconds(30);
constexpr std::uint32_t idleTrialProbes = 3;
constexpr Duration shortestTrial = seconds(1);

/// @param age, typical, tail in microseconds; `tail` is the longest healthy response of late
/// @return half of the threshold from the age at which two such requests eject, growing to all of it for a single one
float stallEvidence(const DetectionThresholds &profile, float age, float typical, float tail)
{
    const float stalled = std::max(static_cast<float>(profile.stallMinimum.count()), profile.stallFactor * typical);
    const float pairAge = std::max(stalled, pairTailFactor * tail);
    const float singleAge
        = std::max({static_cast<float>(profile.singleStallMinimum.count()), profile.singleStallGrowth * stalled, singleTailFactor * tail});
    if (age < pairAge) {
        return 0.0F;
    }
    return profile.threshold * (0.5F + (0.5F * std::min(1.0F, (age - pairAge) / (singleAge - pairAge))));
}

} // namespace

HealthEvaluationSystem::HealthEvaluationSystem(UpstreamTable &table)
    : table(table)
{
}

std::span<const HealthChange> HealthEvaluationSystem::tick(TimePoint now)
{
    this->changes.clear();
    this->table.noteTime(now);
    for (std::uint32_t row = 0; row < this->table.size(); ++row) {
        const Evidence evidence = this->collect(row, now);
        this->judge(row, evidence, now);
    }
    return this->changes;
}

HealthEvaluationSystem::Evidence HealthEvaluationSystem::collect(std::uint32_t row, TimePoint now)
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
    const DetectionThresholds &profile = detectionThresholds(this->table.profiles[row]);
    if (evidence.latency >= profile.threshold) {
        evidence.latencyConfirmed = this->isLatencyConfirmed(row, evidence.inFlight, now);
    }
    return evidence;
}

void HealthEvaluationSystem::addRequestsInFlight(std::uint32_t row, TimePoint now, Evidence &evidence) const
{
    const DetectionThresholds &profile = detectionThresholds(this->table.profiles[row]);
    float slowness = 0.0F;
    for (const InFlightRequest &request : this->table.inFlight[row]) {
        const auto age = static_cast<float>(std::max<Duration::rep>(1, (now - request.started).count()));
        const LatencyClass &latency = this->table.latencies[row][request.routeClass];
        const auto reference = this->table.reference(row, request.routeClass);
        float typical = static_cast<float>(profile.stallUnknown.count()) / profile.stallFactor;
        if (reference) {
            const float expected = *reference + this->table.coldAllowance(row, now);
            typical = std::exp(expected);
            slowness += std::max(0.0F, ObserveSystem::latencyEvidence(latency, std::log(age), expected));
        }
        evidence.stall += stallEvidence(profile, age, typical, std::exp(latency.tail));
    }
    evidence.inFlight = std::min(slowness, inFlightShare * profile.threshold);
    evidence.latency += evidence.inFlight;
}

bool HealthEvaluationSystem::isSlowNow(std::uint32_t row, std::uint8_t routeClass, TimePoint now) const
{
    const auto reference = this->table.reference(row, routeClass);
    const Duration recent = this->table.recentLatency(row, routeClass, now);
    return reference && recent > Duration(0) && std::log(static_cast<float>(recent.count())) > *reference + slowNow;
}

bool HealthEvaluationSystem::isLatencyConfirmed(std::uint32_t row, float inFlight, TimePoint now)
{
    const DetectionThresholds &profile = detectionThresholds(this->table.profiles[row]);
    auto &classes = this->table.latencies[row];
    bool confirmed = false;
    bool anySlow = false;
    for (std::uint8_t i = 0; i < maxRouteClasses; ++i) {
        LatencyClass &latency = classes[i];
        if (!this->table.isRecent(row, i, now) && latency.evidence <= 0.0F) {
            continue;
        }
        if (!this->isSlowNow(row, i, now)) {
            // The median has followed, or the slowdown is over.
            latency.evidence = std::min(latency.evidence, 0.5F * profile.threshold);
            continue;
        }
        anySlow = true;
        confirmed = confirmed || this->isLasting(latency, latency.peerMedianAt, inFlight, profile, now);
        confirmed = confirmed || this->isLasting(this->table.pooled[row], latency.peerMedianAt, inFlight, profile, now);
    }
    if (!anySlow) {
        this->table.pooled[row].evidence = std::min(this->table.pooled[row].evidence, 0.5F * profile.threshold);
    }
    return confirmed;
}

bool HealthEvaluationSystem::isLasting(
    const LatencyClass &target, TimePoint peerMedianAt, float inFlight, const DetectionThresholds &profile, TimePoint now) const
{
    if (target.evidence + inFlight < profile.threshold || target.evidence < profile.suspicion) {
        return false;
    }
    const Duration lasted = now - target.onset;
    const bool medianIsNew = now - peerMedianAt <= newMedian;
    return lasted >= profile.latencyConfirmation * 3 / 2 || (lasted >= profile.latencyConfirmation && medianIsNew);
}

void HealthEvaluationSystem::judge(std::uint32_t row, const Evidence &evidence, TimePoint now)
{
    HealthEvaluation &judgement = this->table.evaluations[row];
    const float threshold = detectionThresholds(this->table.profiles[row]).threshold;
    judgement.severity = std::max({evidence.latency, evidence.stall, evidence.failure}) / threshold;
    if (judgement.healthState == HealthState::Serving || judgement.healthState == HealthState::Cold) {
        judgement.cause = this->dominantCause(row, evidence);
    }
    switch (judgement.healthState) {
    case HealthState::Serving:
    case HealthState::Cold:
        this->judgeWorking(row, evidence, now);
        break;
    case HealthState::Ejected:
        this->judgeEjected(row, now);
        break;
    case HealthState::Trial:
        if (judgement.severity * threshold >= detectionThresholds(this->table.profiles[row]).trialThreshold) {
            this->eject(row, judgement.cause, evidence, now);
        } else {
            this->judgeTrial(row, now);
        }
        break;
    case HealthState::Leaving:
        break;
    }
}

HealthCause HealthEvaluationSystem::dominantCause(std::uint32_t row, const Evidence &evidence) const
{
    const float worst = std::max({evidence.latency, evidence.stall, evidence.failure});
    if (worst < detectionThresholds(this->table.profiles[row]).suspicion) {
        return HealthCause::None;
    }
    if (worst <= evidence.failure) {
        return this->table.failures[row].cause;
    }
    return worst <= evidence.stall ? HealthCause::Stall : HealthCause::Latency;
}

void HealthEvaluationSystem::judgeWorking(std::uint32_t row, const Evidence &evidence, TimePoint now)
{
    HealthEvaluation &judgement = this->table.evaluations[row];
    const float threshold = detectionThresholds(this->table.profiles[row]).threshold;
    if (judgement.healthState == HealthState::Cold && this->table.isWarm(row, now)) {
        this->change(row, HealthState::Serving, HealthCause::None, evidence, now);
    }
    if (judgement.ejections > 0 && now >= judgement.forgiveAt) {
        --judgement.ejections;
        judgement.forgiveAt = now + (forgiveFactor * this->table.ejectionBase);
    }

    // Episodes that end before they reach the threshold add up.
    // Requests in flight are left out: a short pause would be an episode.
    const float worst = std::max(evidence.latency - evidence.inFlight, evidence.failure);
    if (!judgement.inEpisode && worst >= episodeStart * threshold) {
        this->countEpisode(judgement, now);
    } else if (judgement.inEpisode && worst <= episodeEnd * threshold) {
        judgement.inEpisode = false;
    }

    if (evidence.failure >= threshold) {
        this->eject(row, this->table.failures[row].cause, evidence, now);
    } else if (evidence.stall >= threshold) {
        this->eject(row, HealthCause::Stall, evidence, now);
    } else if (evidence.latencyConfirmed) {
        this->eject(row, HealthCause::Latency, evidence, now);
    } else if (judgement.episodes >= flappingEpisodes) {
        this->eject(row, HealthCause::Flapping, evidence, now);
    }
}

void HealthEvaluationSystem::countEpisode(HealthEvaluation &judgement, TimePoint now)
{
    judgement.inEpisode = true;
    if (judgement.episodes == 0 || now - judgement.firstEpisode > flappingWindow) {
        judgement.episodes = 0;
        judgement.firstEpisode = now;
    }
    ++judgement.episodes;
}

void HealthEvaluationSystem::judgeEjected(std::uint32_t row, TimePoint now)
{
    HealthEvaluation &judgement = this->table.evaluations[row];
    // Requests under `insist` still give evidence; without any, the upstream keeps the rank of its ejection.
    judgement.severity = std::max(judgement.severity, 0.1F);
    if (judgement.cause == HealthCause::Latency && now - judgement.since <= revocationTime && this->isRevoked(row, now)) {
        this->clearEvidence(row);
        --judgement.ejections;
        this->change(row, HealthState::Serving, HealthCause::None, {}, now);
        return;
    }
    if (now < judgement.ejectedUntil) {
        return;
    }
    const ProbeState &probe = this->table.probes[row];
    const bool probeGood = probe.lastOk && probe.lastResult > judgement.since;
    const bool probeBad = !probe.lastOk && probe.lastResult > judgement.since;
    if (probeGood || (!probeBad && now - judgement.ejectedUntil >= probePatience)) {
        this->clearEvidence(row);
        this->change(row, HealthState::Trial, judgement.cause, {}, now);
    }
}

bool HealthEvaluationSystem::isRevoked(std::uint32_t row, TimePoint now) const
{
    for (std::uint8_t i = 0; i < maxRouteClasses; ++i) {
        if (this->table.isRecent(row, i, now) && this->isSlowNow(row, i, now)) {
            return false;
        }
    }
    return true;
}

void HealthEvaluationSystem::judgeTrial(std::uint32_t row, TimePoint now)
{
    HealthEvaluation &judgement = this->table.evaluations[row];
    const DetectionThresholds &profile = detectionThresholds(this->table.profiles[row]);
    const bool goodByTraffic = judgement.trialGood >= profile.trialSuccesses && now - judgement.since >= shortestTrial;
    const bool goodByProbes = now - judgement.since >= idleTrial && this->table.probes[row].goodInRow >= idleTrialProbes;
    if (goodByTraffic || goodByProbes) {
        judgement.startedCold = false;
        judgement.forgiveAt = now + (forgiveFactor * (judgement.ejectedUntil - judgement.since + this->table.ejectionBase));
        this->change(row, HealthState::Cold, HealthCause::None, {}, now);
    }
}

void HealthEvaluationSystem::eject(std::uint32_t row, HealthCause cause, const Evidence &evidence, TimePoint now)
{
    HealthEvaluation &judgement = this->table.evaluations[row];
    const std::uint32_t doubling = std::min(judgement.ejections, largestDoubling);
    const Duration length = std::min(this->table.ejectionMax, this->table.ejectionBase * (1 << doubling));
    ++judgement.ejections;
    judgement.ejectedUntil = now + length;
    judgement.trialGood = 0;
    judgement.episodes = 0;
    judgement.inEpisode = false;
    this->change(row, HealthState::Ejected, cause, evidence, now);
    this->changes.back().ejectionTime = length;
}

void HealthEvaluationSystem::change(std::uint32_t row, HealthState to, HealthCause cause, const Evidence &evidence, TimePoint now)
{
    HealthEvaluation &judgement = this->table.evaluations[row];
    this->changes.push_back(
        {row, judgement.healthState, to, cause, judgement.severity, evidence.latency, evidence.stall, evidence.failure, Duration(0)});
    judgement.healthState = to;
    judgement.cause = cause;
    judgement.since = now;
    judgement.trialGood = 0;
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
