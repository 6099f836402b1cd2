#include <galenarack/health/floorsystem.h>

#include <algorithm>
#include <cmath>

namespace Galenarack {

namespace {

using std::chrono::seconds;

/// Traffic share of an upstream that is kept only for the floor.
constexpr float insistWeight = 0.25F;
/// Traffic share of an upstream on trial.
constexpr float trialWeight = 0.05F;
/// Factor on the severity of an upstream that is already ejected, so that two similar ones at the floor do not alternate.
constexpr float ejectedSeverityFactor = 1.25F;
/// Natural logarithm of the factor (1.6) by which an upstream ejected for latency must exceed the median latency at this ingress.
constexpr float minLogSlowdown = 0.47F;
/// Services without a change are re-evaluated at this interval, because some conditions depend on time alone. Evaluating all of
/// 7,400 upstreams in each tick took 0.26% of a core.
constexpr Duration decisionInterval = seconds(1);
/// After a common slowdown, ejections for latency are ignored for this time. Some homes already have the raised median and no
/// longer suspect their upstreams, while one whose median lags has just ejected its own. Homes revoke such an ejection within the
/// same time.
constexpr Duration commonSlowdownHold = seconds(5);
/// Added to the severity of an upstream with the rule `aside`, so that it ranks above every upstream ejected by its home.
constexpr float asideSeverity = 1e6F;
/// An ejection without an update for this long is treated as a trial. If the upstream is still ejected, its home declines the
/// request as not run.
constexpr Duration ejectionStaleAge = seconds(30);

bool isEjectedByHome(const ReportRow &row)
{
    return row.report.healthState == HealthState::Ejected || row.report.healthState == HealthState::Trial;
}

} // namespace

std::uint32_t applyFloor(std::span<FloorEntry> entries, const FloorRule &rule)
{
    const auto total = static_cast<std::uint32_t>(entries.size());
    // Without the small term, rounding errors could raise 0.7 of 10 to 8.
    const auto byShare = static_cast<std::uint32_t>(std::ceil((std::clamp(rule.share, 0.0, 1.0) * total) - 1e-9));
    const std::uint32_t floor = std::min(total, std::max(rule.count, byShare));
    std::uint32_t kept = total;
    for (FloorEntry &entry : entries) {
        entry.ejected = false;
    }
    while (kept > floor) {
        FloorEntry *worst = nullptr;
        for (FloorEntry &entry : entries) {
            if (!entry.unhealthy || entry.ejected || (worst != nullptr && entry.severity <= worst->severity)) {
                continue;
            }
            const auto keptInDomain = std::count_if(entries.begin(), entries.end(), [&entry](const FloorEntry &other) {
                return !other.ejected && other.failureDomain == entry.failureDomain;
            });
            if (keptInDomain > static_cast<std::ptrdiff_t>(rule.perFailureDomain)) {
                worst = &entry;
            }
        }
        if (worst == nullptr) {
            break;
        }
        worst->ejected = true;
        --kept;
    }
    return floor;
}

FloorSystem::FloorSystem(ReportTable &table, const PathTable &paths)
    : table(table)
    , paths(paths)
{
}

std::span<const UpstreamStateChange> FloorSystem::tick(TimePoint now)
{
    this->changes.clear();
    const bool pathsChanged = this->updatePathStates();
    for (ServiceReports &service : this->table.services) {
        if (pathsChanged || service.changed || now - service.decidedAt >= decisionInterval) {
            this->decide(service, now);
            service.changed = false;
            service.decidedAt = now;
        }
    }
    return this->changes;
}

bool FloorSystem::updatePathStates()
{
    bool changed = this->lastPathStates.size() != this->paths.rows.size();
    this->lastPathStates.resize(this->paths.rows.size());
    for (std::size_t i = 0; i < this->lastPathStates.size(); ++i) {
        changed = changed || this->lastPathStates[i] != this->paths.rows[i].state;
        this->lastPathStates[i] = this->paths.rows[i].state;
    }
    return changed;
}

bool FloorSystem::isReachable(const ReportRow &row) const
{
    return !row.gone && (row.peer == noPeer || this->paths.isReachable(row.peer));
}

bool FloorSystem::isCommonSlowdown(const ServiceReports &service) const
{
    // Homes compare with a median that is up to 1 s old, so a slowdown of the whole service can look like a fault of their own
    // upstreams. Reports name latency as the cause from a fifth of the ejection threshold; if most do, the median itself has risen
    // and no upstream is worse than its peers.
    std::uint32_t reachable = 0;
    std::uint32_t slow = 0;
    for (const std::uint32_t index : service.rows) {
        const ReportRow &row = this->table.rows[index];
        if (this->isReachable(row) && !row.leaving) {
            ++reachable;
            slow += row.report.cause == HealthCause::Latency ? 1 : 0;
        }
    }
    return reachable >= 3 && 2 * slow > reachable;
}

bool FloorSystem::isSlowerThanPeers(const ReportRow &row, TimePoint now) const
{
    bool known = false;
    for (std::uint8_t i = 0; i < maxRouteClasses; ++i) {
        if (row.latency[i] <= 0.0F) {
            continue;
        }
        known = true;
        const Duration median = this->table.medianLatency(row.service, i, now);
        if (median <= Duration(0) || row.latency[i] > std::log(static_cast<float>(median.count())) + minLogSlowdown) {
            return true;
        }
    }
    // A health state received only by gossip comes without latency; the ejection by the home then stands.
    return !known;
}

FloorEntry FloorSystem::makeEntry(const ReportRow &row, bool commonSlowdown, TimePoint now) const
{
    FloorEntry entry;
    entry.failureDomain = row.failureDomain;
    const bool ejectedByHome = isEjectedByHome(row) && row.rule != UpstreamRule::Trust;
    const bool ejectedForLatency
        = ejectedByHome && row.report.healthState == HealthState::Ejected && row.report.cause == HealthCause::Latency;
    const bool exempt = ejectedForLatency && (commonSlowdown || !this->isSlowerThanPeers(row, now));
    entry.unhealthy = row.rule == UpstreamRule::Aside || (ejectedByHome && !exempt);
    entry.severity = row.rule == UpstreamRule::Aside ? asideSeverity + row.report.severity : row.report.severity;
    if (row.state == UpstreamState::Ejected) {
        entry.severity *= ejectedSeverityFactor;
    }
    return entry;
}

void FloorSystem::decide(ServiceReports &service, TimePoint now)
{
    if (this->isCommonSlowdown(service)) {
        service.commonSlowdownAt = now;
    }
    const bool commonSlowdown = service.commonSlowdownAt && now - *service.commonSlowdownAt <= commonSlowdownHold;
    this->entries.clear();
    this->entryRows.clear();
    for (const std::uint32_t index : service.rows) {
        const ReportRow &row = this->table.rows[index];
        if (row.leaving || row.rule == UpstreamRule::Retire || row.report.healthState == HealthState::Leaving) {
            this->apply(index, UpstreamState::Leaving, false, now);
        } else if (!this->isReachable(row)) {
            this->apply(index, UpstreamState::Unreachable, false, now);
        } else {
            this->entries.push_back(this->makeEntry(row, commonSlowdown, now));
            this->entryRows.push_back(index);
        }
    }
    const std::uint32_t floor = applyFloor(this->entries, service.floor);
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        const ReportRow &row = this->table.rows[this->entryRows[i]];
        const bool insist = (isEjectedByHome(row) && row.rule != UpstreamRule::Trust) || row.rule == UpstreamRule::Aside;
        if (this->entries[i].ejected) {
            this->apply(this->entryRows[i], UpstreamState::Ejected, false, now);
        } else if (row.report.healthState == HealthState::Cold) {
            this->apply(this->entryRows[i], UpstreamState::Cold, insist, now);
        } else {
            this->apply(this->entryRows[i], UpstreamState::Serving, insist, now);
        }
    }
    this->count(service, floor);
}

void FloorSystem::apply(std::uint32_t index, UpstreamState state, bool insist, TimePoint now)
{
    ReportRow &row = this->table.rows[index];
    if (row.state != state || row.insist != insist) {
        const HealthCause cause = row.rule == UpstreamRule::Aside ? HealthCause::Rule : row.report.cause;
        this->changes.push_back({index, row.state, state, cause, insist});
    }
    row.state = state;
    row.insist = insist;
    const bool stale = row.report.healthState == HealthState::Ejected && now - row.healthStateAt >= ejectionStaleAge;
    row.trial
        = state == UpstreamState::Ejected && row.rule != UpstreamRule::Aside && (row.report.healthState == HealthState::Trial || stale);
    const float path = row.peer == noPeer ? 1.0F : this->paths.weight(row.peer);
    if (insist) {
        row.weight = insistWeight * path;
    } else if (row.trial) {
        row.weight = trialWeight * path;
    } else {
        row.weight = row.isKept() ? row.report.weight * path : 0.0F;
    }
}

void FloorSystem::count(ServiceReports &service, std::uint32_t floor)
{
    StateCounts counts;
    counts.floor = floor;
    for (const std::uint32_t index : service.rows) {
        const ReportRow &row = this->table.rows[index];
        counts.serving += row.state == UpstreamState::Serving ? 1 : 0;
        counts.cold += row.state == UpstreamState::Cold ? 1 : 0;
        counts.leaving += row.state == UpstreamState::Leaving ? 1 : 0;
        counts.ejected += row.state == UpstreamState::Ejected ? 1 : 0;
        counts.unreachable += row.state == UpstreamState::Unreachable ? 1 : 0;
        counts.insisted += row.insist ? 1 : 0;
    }
    service.counts = counts;
    service.atFloor = counts.insisted > 0;
}

} // namespace Galenarack
