#include <galenarack/health/upstreamtable.h>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace Galenarack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Number of responses from which an upstream's own baseline is used as a reference.
constexpr std::uint32_t minBaselineSamples = 20;
/// The recent latency of a route class is current if it had a response within this time.
constexpr Duration recentWindow = seconds(10);
/// Length of slow start and the traffic share at its beginning.
constexpr Duration slowStart = seconds(10);
constexpr float slowStartWeight = 0.1F;
/// Natural logarithm of the factor by which an upstream that has just started may exceed its reference latency.
constexpr float maxColdLogSlowdown = 1.3F;
/// Traffic share during a trial.
constexpr float trialWeight = 0.05F;
/// Increase of the traffic share per second after load shedding.
constexpr float sheddingRecoveryPerSecond = 0.1F;
/// The systems tick every 100 ms; a gap above this is a pause of this process.
constexpr Duration pauseThreshold = milliseconds(300);

float toSeconds(Duration duration)
{
    return std::chrono::duration<float>(duration).count();
}

} // namespace

std::uint32_t UpstreamTable::add(std::string_view name, std::uint32_t slotCount, DetectionProfile profile, UpstreamRule rule, TimePoint now)
{
    assert(slotCount > 0);
    this->names.emplace_back(name);
    this->slots.push_back(slotCount);
    this->profiles.push_back(profile);
    this->rules.push_back(rule);
    this->evaluations.emplace_back();
    this->evaluations.back().since = now;
    this->latencies.emplace_back();
    this->pooled.emplace_back();
    this->failures.emplace_back();
    this->inFlight.emplace_back();
    this->inFlight.back().reserve(slotCount + 2);
    this->probes.emplace_back();
    this->probes.back().lastSent = now;
    this->shedding.emplace_back();
    return this->size() - 1;
}

void UpstreamTable::moveRow(UpstreamTable &from, std::uint32_t row)
{
    this->evaluations.back() = from.evaluations[row];
    this->latencies.back() = from.latencies[row];
    this->pooled.back() = from.pooled[row];
    this->failures.back() = from.failures[row];
    this->inFlight.back() = std::move(from.inFlight[row]);
    this->probes.back() = from.probes[row];
    this->shedding.back() = from.shedding[row];
}

void UpstreamTable::configure(const Document &document, std::string_view vm, TimePoint now)
{
    UpstreamTable next;
    next.ejectionBase = document.timings.ejectionBase;
    next.ejectionMax = document.timings.ejectionMax;
    next.lastActiveAt = this->lastActiveAt;
    next.wasActive = this->wasActive;
    for (const UpstreamRow &upstream : document.upstreams) {
        if (upstream.vm != vm) {
            continue;
        }
        next.add(upstream.name, upstream.slots, document.services[upstream.service].profile, upstream.rule, now);
        if (const auto row = this->find(upstream.name)) {
            next.moveRow(*this, *row);
        }
        if (upstream.rule == UpstreamRule::Retire) {
            next.markLeaving(next.size() - 1, now);
        }
    }
    *this = std::move(next);
}

std::optional<std::uint32_t> UpstreamTable::find(std::string_view name) const
{
    const auto found = std::find(this->names.begin(), this->names.end(), name);
    if (found == this->names.end()) {
        return std::nullopt;
    }
    return static_cast<std::uint32_t>(found - this->names.begin());
}

void UpstreamTable::markLeaving(std::uint32_t row, TimePoint now)
{
    HealthEvaluation &evaluation = this->evaluations[row];
    if (evaluation.healthState != HealthState::Leaving) {
        evaluation.healthState = HealthState::Leaving;
        evaluation.cause = HealthCause::None;
        evaluation.since = now;
    }
}

void UpstreamTable::markCold(std::uint32_t row, TimePoint now)
{
    HealthEvaluation &evaluation = this->evaluations[row];
    this->latencies[row] = {};
    this->pooled[row] = {};
    evaluation.startedCold = true;
    // A restart does not end an ejection; otherwise an upstream in a crash loop would return to service after each restart.
    if (evaluation.healthState == HealthState::Serving || evaluation.healthState == HealthState::Leaving) {
        evaluation.healthState = HealthState::Cold;
        evaluation.since = now;
    }
}

void UpstreamTable::adjustForPause(TimePoint now)
{
    if (this->wasActive && now - this->lastActiveAt > pauseThreshold) {
        const Duration pause = now - this->lastActiveAt;
        for (auto &requests : this->inFlight) {
            for (InFlightRequest &request : requests) {
                request.started += pause;
            }
        }
    }
    this->lastActiveAt = std::max(this->lastActiveAt, now);
    this->wasActive = true;
}

std::optional<float> UpstreamTable::reference(std::uint32_t row, std::uint8_t routeClass) const
{
    const LatencyClass &latency = this->latencies[row][routeClass];
    const bool hasBaseline = latency.samples >= minBaselineSamples;
    if (hasBaseline && latency.hasPeerMedian) {
        return std::max(latency.mean, latency.peerMedian);
    }
    if (hasBaseline) {
        return latency.mean;
    }
    if (latency.hasPeerMedian) {
        return latency.peerMedian;
    }
    return std::nullopt;
}

Duration UpstreamTable::recentLatency(std::uint32_t row, std::uint8_t routeClass, TimePoint now) const
{
    const LatencyClass &latency = this->latencies[row][routeClass];
    // A request in flight that is older than the average counts as a response of that age, so the report does not lag behind a
    // slowdown.
    float recent = latency.recent;
    for (const InFlightRequest &request : this->inFlight[row]) {
        const auto age = static_cast<float>((now - request.started).count());
        if (request.routeClass == routeClass && age > 1.0F && std::log(age) > recent) {
            recent += 0.3F * (std::log(age) - recent);
        }
    }
    return latency.samples == 0 ? Duration(0) : Duration(static_cast<Duration::rep>(std::exp(recent)));
}

bool UpstreamTable::isRecent(std::uint32_t row, std::uint8_t routeClass, TimePoint now) const
{
    const LatencyClass &latency = this->latencies[row][routeClass];
    return latency.samples > 0 && now - latency.lastSample <= recentWindow;
}

bool UpstreamTable::isSlowStartOver(std::uint32_t row, TimePoint now) const
{
    return now - this->evaluations[row].since >= slowStart;
}

float UpstreamTable::sheddingShare(std::uint32_t row, TimePoint now) const
{
    const SheddingState &shed = this->shedding[row];
    return now <= shed.until ? shed.weight : std::min(1.0F, shed.weight + (sheddingRecoveryPerSecond * toSeconds(now - shed.until)));
}

float UpstreamTable::coldAllowance(std::uint32_t row, TimePoint now) const
{
    const HealthEvaluation &evaluation = this->evaluations[row];
    if (evaluation.healthState != HealthState::Cold || !evaluation.startedCold) {
        return 0.0F;
    }
    return maxColdLogSlowdown * std::clamp(1.0F - (toSeconds(now - evaluation.since) / toSeconds(slowStart)), 0.0F, 1.0F);
}

float UpstreamTable::weight(std::uint32_t row, TimePoint now) const
{
    const HealthEvaluation &evaluation = this->evaluations[row];
    const float share = this->sheddingShare(row, now);
    if (evaluation.healthState == HealthState::Cold) {
        const float progress = std::clamp(toSeconds(now - evaluation.since) / toSeconds(slowStart), 0.0F, 1.0F);
        return share * (slowStartWeight + ((1.0F - slowStartWeight) * progress));
    }
    return evaluation.healthState == HealthState::Trial ? share * trialWeight : share;
}

UpstreamReport UpstreamTable::report(std::uint32_t row, std::uint8_t routeClass, std::uint32_t queued, TimePoint now) const
{
    const HealthEvaluation &evaluation = this->evaluations[row];
    UpstreamReport result;
    result.healthState = evaluation.healthState;
    result.cause = evaluation.cause;
    result.severity = evaluation.severity;
    result.weight = this->weight(row, now);
    result.inFlight = static_cast<std::uint32_t>(this->inFlight[row].size());
    result.queued = queued;
    result.slots = this->slots[row];
    result.routeClass = routeClass;
    result.latency = this->recentLatency(row, routeClass, now);
    return result;
}

bool UpstreamTable::admits(std::uint32_t row, bool repeatable, bool insist) const
{
    const HealthState healthState = this->evaluations[row].healthState;
    if (healthState == HealthState::Leaving || this->rules[row] == UpstreamRule::Retire) {
        return false;
    }
    if (insist || this->rules[row] == UpstreamRule::Trust) {
        return true;
    }
    if (healthState == HealthState::Ejected || this->rules[row] == UpstreamRule::Aside) {
        return false;
    }
    return healthState != HealthState::Trial || (repeatable && this->inFlight[row].empty());
}

} // namespace Galenarack
