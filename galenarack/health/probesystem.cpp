#include <galenarack/health/probesystem.h>

#include <algorithm>

namespace Galenarack {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Share of the slot time that probes may use.
constexpr double slotTimeShare = 0.01;
/// Unused slot time accumulates over at most this time, which bounds a burst of probes after a time without any.
constexpr double budgetSeconds = 5.0;
/// Probes start this long before an ejection may end and are then sent at this interval.
constexpr Duration probeLeadTime = seconds(2);
constexpr Duration probeInterval = seconds(1);
/// Interval of probes to an upstream without traffic. They keep its probe cost up to date and are shown to operators.
constexpr Duration idleProbeInterval = seconds(30);
constexpr double costWeight = 0.2;

} // namespace

ProbeSystem::ProbeSystem(UpstreamTable &table, std::mt19937_64 random)
    : table(table)
    , random(random)
{
}

std::span<const std::uint32_t> ProbeSystem::tick(TimePoint now)
{
    this->due.clear();
    const double elapsed = this->ticked ? std::chrono::duration<double>(now - this->lastTick).count() : 0.0;
    this->lastTick = now;
    this->ticked = true;
    for (std::uint32_t row = 0; row < this->table.size(); ++row) {
        ProbeState &probe = this->table.probes[row];
        const double rate = slotTimeShare * this->table.slots[row];
        probe.budget = std::min(rate * budgetSeconds, probe.budget + (rate * elapsed));
        if (!probe.outstanding && probe.budget >= probe.cost && this->isDue(row, now)) {
            probe.budget -= probe.cost;
            probe.outstanding = true;
            probe.lastSent = now;
            this->due.push_back(row);
        }
    }
    return this->due;
}

bool ProbeSystem::isDue(std::uint32_t row, TimePoint now)
{
    const HealthEvaluation &evaluation = this->table.evaluations[row];
    const ProbeState &probe = this->table.probes[row];
    const Duration idle = now - probe.lastSent;
    const bool returning = evaluation.healthState == HealthState::Trial
                           || (evaluation.healthState == HealthState::Ejected && now + probeLeadTime >= evaluation.ejectedUntil);
    if (returning) {
        return idle >= probeInterval;
    }
    if (evaluation.healthState == HealthState::Leaving || evaluation.healthState == HealthState::Ejected) {
        return false;
    }
    const bool hasTraffic = !this->table.inFlight[row].empty() || now - this->table.pooled[row].lastSample < idleProbeInterval;
    // The random part prevents the probes of many upstreams from falling on the same tick.
    return !hasTraffic && idle >= idleProbeInterval + milliseconds(this->random() % 5000);
}

void ProbeSystem::finish(std::uint32_t row, bool ok, Duration cost, TimePoint now)
{
    ProbeState &probe = this->table.probes[row];
    const double spent = std::chrono::duration<double>(cost).count();
    probe.budget -= spent - probe.cost;
    probe.cost += costWeight * (spent - probe.cost);
    probe.outstanding = false;
    probe.lastOk = ok;
    probe.lastResult = now;
    probe.consecutiveSuccesses = ok ? probe.consecutiveSuccesses + 1 : 0;
}

} // namespace Galenarack
