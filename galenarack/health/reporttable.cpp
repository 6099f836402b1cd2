#include <galenarack/health/reporttable.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace Galenarack {

namespace {

/// Reported latencies older than this are excluded from the median.
constexpr Duration maxLatencyAge = std::chrono::seconds(10);

} // namespace

std::string_view upstreamStateName(UpstreamState state)
{
    constexpr std::array<std::string_view, 5> names = {"serving", "cold", "leaving", "ejected", "unreachable"};
    return names.at(static_cast<std::size_t>(state));
}

void ReportTable::configure(const Document &document, TimePoint now)
{
    ReportTable next;
    next.failureDomains = this->failureDomains;
    for (const ServiceRow &service : document.services) {
        next.serviceByName.emplace(service.name, static_cast<std::uint32_t>(next.services.size()));
        next.services.emplace_back();
        next.services.back().name = service.name;
        next.services.back().floor = service.floor;
    }
    for (const UpstreamRow &upstream : document.upstreams) {
        ReportRow row;
        if (const auto old = this->find(upstream.name)) {
            row = this->rows[*old];
        } else {
            row.healthStateAt = now;
        }
        row.peer = row.vm == upstream.vm ? row.peer : noPeer;
        row.name = upstream.name;
        row.vm = upstream.vm;
        row.service = upstream.service;
        row.failureDomain = next.failureDomainIndex(upstream.failureDomain);
        row.rule = upstream.rule;
        row.slots = upstream.slots;
        const auto index = static_cast<std::uint32_t>(next.rows.size());
        next.rowByName.emplace(row.name, index);
        next.rowsByVm[row.vm].push_back(index);
        next.services[upstream.service].rows.push_back(index);
        next.rows.push_back(std::move(row));
    }
    *this = std::move(next);
}

std::uint32_t ReportTable::failureDomainIndex(std::string_view name)
{
    const auto found = std::find(this->failureDomains.begin(), this->failureDomains.end(), name);
    if (found != this->failureDomains.end()) {
        return static_cast<std::uint32_t>(found - this->failureDomains.begin());
    }
    this->failureDomains.emplace_back(name);
    return static_cast<std::uint32_t>(this->failureDomains.size() - 1);
}

std::optional<std::uint32_t> ReportTable::find(std::string_view name) const
{
    return findIndex(this->rowByName, name);
}

std::optional<std::uint32_t> ReportTable::findService(std::string_view name) const
{
    return findIndex(this->serviceByName, name);
}

void ReportTable::report(std::uint32_t index, const UpstreamReport &report, TimePoint now)
{
    ReportRow &row = this->rows[index];
    this->recordChange(row, report);
    row.report = report;
    row.reported = true;
    row.reportedAt = now;
    row.healthStateAt = now;
    row.sentSinceReport = 0;
    if (report.latency > Duration(0) && report.routeClass < maxRouteClasses) {
        row.latency[report.routeClass] = std::log(static_cast<float>(report.latency.count()));
        row.latencyAt[report.routeClass] = now;
    }
}

void ReportTable::recordChange(const ReportRow &row, const UpstreamReport &next)
{
    // The severity is used only to rank upstreams that are not in state Serving.
    const bool ranked = next.healthState != HealthState::Serving && next.severity != row.report.severity;
    if (next.healthState != row.report.healthState || next.cause != row.report.cause || next.weight != row.report.weight || ranked) {
        this->services[row.service].changed = true;
    }
}

void ReportTable::gossip(std::uint32_t index, HealthState healthState, HealthCause cause, float severity, TimePoint now)
{
    ReportRow &row = this->rows[index];
    UpstreamReport next = row.report;
    next.healthState = healthState;
    next.cause = cause;
    next.severity = severity;
    this->recordChange(row, next);
    row.report = next;
    row.healthStateAt = now;
}

void ReportTable::setMembership(std::string_view vm, bool leaving, bool gone)
{
    const auto found = this->rowsByVm.find(vm);
    if (found == this->rowsByVm.end()) {
        return;
    }
    for (const std::uint32_t index : found->second) {
        ReportRow &row = this->rows[index];
        // An unchanged membership state must not trigger a new decision for the service.
        if (row.leaving != leaving || row.gone != gone) {
            row.leaving = leaving;
            row.gone = gone;
            this->services[row.service].changed = true;
        }
    }
}

Duration ReportTable::medianLatency(std::uint32_t service, std::uint8_t routeClass, TimePoint now) const
{
    this->scratch.clear();
    for (const std::uint32_t index : this->services[service].rows) {
        const ReportRow &row = this->rows[index];
        const bool known = row.latency[routeClass] > 0.0F && now - row.latencyAt[routeClass] <= maxLatencyAge;
        if (known && row.isKept()) {
            this->scratch.push_back(row.latency[routeClass]);
        }
    }
    if (this->scratch.size() < 2) {
        return Duration(0);
    }
    const auto middle = this->scratch.begin() + static_cast<std::ptrdiff_t>(this->scratch.size() / 2);
    std::nth_element(this->scratch.begin(), middle, this->scratch.end());
    float median = *middle;
    if (this->scratch.size() % 2 == 0) {
        median = (median + *std::max_element(this->scratch.begin(), middle)) / 2.0F;
    }
    return Duration(static_cast<Duration::rep>(std::exp(median)));
}

} // namespace Galenarack
