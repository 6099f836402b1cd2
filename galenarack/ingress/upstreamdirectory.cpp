#include <galenarack/ingress/upstreamdirectory.h>

#include <algorithm>
#include <limits>

namespace Galenarack {

UpstreamDirectory::UpstreamDirectory(NodeIdentity identity, PathTable &paths, Metrics &metrics, AuditTrail &audit, std::mt19937_64 random)
    : identity(std::move(identity))
    , paths(paths)
    , metrics(metrics)
    , audit(audit)
    , pathSystem(paths)
    , floorSystem(this->reports, paths)
    , selector(this->reports, std::numeric_limits<std::uint32_t>::max(), random)
{
}

void UpstreamDirectory::applyDocument(const Document &document, TimePoint now)
{
    this->reports.configure(document, now);
    for (ReportRow &row : this->reports.rows) {
        row.peer = row.vm == this->identity.vm ? noPeer : this->paths.add(row.vm, now);
    }
    const auto domain = std::ranges::find(this->reports.failureDomains, this->identity.failureDomain);
    this->selector.setFailureDomain(static_cast<std::uint32_t>(domain - this->reports.failureDomains.begin()));
    this->floorSystem.tick(now);
}

void UpstreamDirectory::report(std::string_view upstream, const UpstreamReport &report, TimePoint now)
{
    const auto row = this->reports.find(upstream);
    if (!row) {
        return;
    }
    const bool healthChanged = this->reports.rows[*row].report.healthState != report.healthState;
    this->reports.report(*row, report, now);
    if (healthChanged) {
        for (const UpstreamStateChange &change : this->floorSystem.tick(now)) {
            this->reportChange(change);
        }
    }
}

void UpstreamDirectory::applyMembers(const MemberTable &members, TimePoint now)
{
    for (const auto &[name, member] : members.all()) {
        const bool isLeaving = member.state == MemberState::Leaving || member.listLeaving;
        this->reports.setMembership(name, isLeaving, member.state == MemberState::Gone);
        this->applyMarks(name, member.marks, now);
    }
}

void UpstreamDirectory::applyMarks(const std::string &vm, std::span<const UpstreamMark> marks, TimePoint now)
{
    // Only changed marks are applied, since an unchanged one may be older than a report that came with a response.
    std::vector<UpstreamMark> &appliedMarks = this->marksByVm[vm];
    if (std::ranges::equal(appliedMarks, marks)) {
        return;
    }
    const auto applyMark = [this, &vm, now](const UpstreamMark &mark, HealthState healthState, float severity) {
        const auto row = this->reports.find(mark.upstream);
        if (row && this->reports.rows[*row].vm == vm) {
            this->reports.gossip(*row, healthState, HealthCause::None, severity, now);
        }
    };
    for (const UpstreamMark &mark : appliedMarks) {
        if (std::ranges::find(marks, mark) == marks.end()) {
            applyMark(mark, HealthState::Cold, 0.0F);
        }
    }
    for (const UpstreamMark &mark : marks) {
        if (std::ranges::find(appliedMarks, mark) == appliedMarks.end()) {
            applyMark(mark, mark.kind == UpstreamMarkKind::Leaving ? HealthState::Leaving : HealthState::Ejected, 1.0F);
        }
    }
    appliedMarks.assign(marks.begin(), marks.end());
}

void UpstreamDirectory::tick(TimePoint now)
{
    this->pathSystem.tick(now);
    for (const UpstreamStateChange &change : this->floorSystem.tick(now)) {
        this->reportChange(change);
    }
}

void UpstreamDirectory::reportChange(const UpstreamStateChange &change)
{
    if (!change.insist) {
        return;
    }
    const ReportRow &row = this->reports.rows[change.row];
    const ServiceReports &service = this->reports.services[row.service];
    FloorHit record;
    record.service = service.name;
    record.upstream = row.name;
    record.failureDomain = this->reports.failureDomains[row.failureDomain];
    record.kept = service.counts.serving + service.counts.cold;
    record.floor = service.counts.floor;
    record.evidence = std::string(causeName(change.cause)) + ", severity " + std::to_string(row.report.severity);
    this->audit.append(std::move(record));
    this->metrics.countFloorHit(service.name);
}

std::optional<UpstreamDirectory::Choice> UpstreamDirectory::select(
    std::string_view service, bool repeatable, std::string_view vm, const std::set<std::string> &tried, TimePoint now)
{
    const auto index = this->reports.findService(service);
    if (!index) {
        return std::nullopt;
    }
    if (!vm.empty()) {
        return this->selectOnVm(*index, vm, tried, now);
    }
    this->excluded.clear();
    for (const std::string &name : tried) {
        if (const auto row = this->reports.find(name)) {
            this->excluded.push_back(*row);
        }
    }
    const auto selection = this->selector.select(*index, repeatable, this->excluded, now);
    if (!selection) {
        return std::nullopt;
    }
    return this->commitChoice(selection->row, selection->insist);
}

std::optional<UpstreamDirectory::Choice> UpstreamDirectory::selectOnVm(std::uint32_t service,
                                                                       std::string_view vm,
                                                                       const std::set<std::string> &tried,
                                                                       TimePoint /*now*/)
{
    // The home is fixed, so the choice is only among its upstreams: those kept in use come first, then the one with the fewest
    // requests.
    std::optional<std::uint32_t> best;
    const auto rank = [this](std::uint32_t index) {
        const ReportRow &row = this->reports.rows[index];
        return std::pair(!row.isKept(), row.report.inFlight + row.report.queued + row.sentSinceReport);
    };
    for (const std::uint32_t index : this->reports.services[service].rows) {
        const ReportRow &row = this->reports.rows[index];
        const bool isEligible = row.vm == vm && row.state != UpstreamState::Leaving && !tried.contains(row.name);
        if (isEligible && (!best || rank(index) < rank(*best))) {
            best = index;
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return this->commitChoice(*best, this->reports.rows[*best].insist);
}

UpstreamDirectory::Choice UpstreamDirectory::commitChoice(std::uint32_t row, bool insist)
{
    this->reports.sent(row);
    return Choice{this->reports.rows[row].name, this->reports.rows[row].vm, insist};
}

Duration UpstreamDirectory::medianLatency(std::string_view service, std::uint32_t routeClass, TimePoint now) const
{
    const auto index = this->reports.findService(service);
    return index ? this->reports.medianLatency(*index, routeClassOf(routeClass), now) : Duration::zero();
}

std::vector<UpstreamStatus> UpstreamDirectory::status() const
{
    std::vector<UpstreamStatus> rows;
    for (const ReportRow &row : this->reports.rows) {
        UpstreamStatus status;
        status.name = row.name;
        status.service = this->reports.services[row.service].name;
        status.vm = row.vm;
        status.failureDomain = this->reports.failureDomains[row.failureDomain];
        status.state = upstreamStateName(row.state);
        status.reason = row.insist ? "kept for the floor" : std::string(causeName(row.report.cause));
        status.home = row.vm == this->identity.vm;
        status.weight = row.weight;
        status.inFlight = row.report.inFlight;
        status.queued = row.report.queued;
        status.slots = row.slots;
        status.latencyUs = row.report.latency > Duration::zero() ? row.report.latency.count() : -1;
        rows.push_back(std::move(status));
    }
    return rows;
}

} // namespace Galenarack
