#include <galenarack/routing/upstreamselector.h>

#include <algorithm>

namespace Galenarack {

namespace {

/// Section 4.5: older reports count as unknown.
constexpr Duration oldestReport = std::chrono::seconds(2);
/// The own failure domain has room while the better of two candidates has less work per slot than this.
constexpr float localRoom = 0.8F;
/// Lower bound of the share when loads are compared.
constexpr float smallestWeight = 0.05F;

} // namespace

UpstreamSelector::UpstreamSelector(const ReportTable &table, std::uint32_t failureDomain, std::mt19937_64 random)
    : table(table)
    , failureDomain(failureDomain)
    , random(random)
{
}

std::optional<Selection> UpstreamSelector::select(std::uint32_t service,
                                                  bool repeatable,
                                                  std::span<const std::uint32_t> exclude,
                                                  TimePoint now)
{
    this->gather(service, repeatable, exclude, now);
    if (this->candidates.empty()) {
        return std::nullopt;
    }
    const Candidate *local = this->drawBetter(true);
    if (local != nullptr && (local->trial || local->load < localRoom)) {
        return this->toSelection(*local);
    }
    const Candidate *any = this->drawBetter(false);
    if (local == nullptr || any->trial || any->load < local->load) {
        return this->toSelection(*any);
    }
    return this->toSelection(*local);
}

void UpstreamSelector::gather(std::uint32_t service, bool repeatable, std::span<const std::uint32_t> exclude, TimePoint now)
{
    this->candidates.clear();
    float knownLoad = 0.0F;
    std::uint32_t known = 0;
    for (const std::uint32_t index : this->table.services[service].rows) {
        const ReportRow &row = this->table.rows[index];
        const bool usable = row.isKept() || (row.trial && repeatable);
        if (!usable || std::find(exclude.begin(), exclude.end(), index) != exclude.end()) {
            continue;
        }
        const auto slots = static_cast<float>(std::max(1U, row.slots));
        Candidate candidate{index, std::max(row.weight, 0.001F), 0.0F, row.failureDomain == this->failureDomain, row.trial};
        if (row.reported && now - row.reportedAt <= oldestReport) {
            const auto work = static_cast<float>(row.report.inFlight + row.report.queued);
            candidate.load = work / slots;
            knownLoad += candidate.load;
            ++known;
        } else {
            candidate.load = -1.0F;
        }
        this->candidates.push_back(candidate);
    }
    // An upstream without a recent report is taken as average: neither avoided nor preferred.
    const float average = known == 0 ? 0.0F : knownLoad / static_cast<float>(known);
    for (Candidate &candidate : this->candidates) {
        const ReportRow &row = this->table.rows[candidate.row];
        const float reported = candidate.load < 0.0F ? average : candidate.load;
        candidate.load = reported + (static_cast<float>(row.sentSinceReport) / static_cast<float>(std::max(1U, row.slots)));
    }
}

const UpstreamSelector::Candidate *UpstreamSelector::draw(bool localOnly, const Candidate *other)
{
    float total = 0.0F;
    for (const Candidate &candidate : this->candidates) {
        total += (candidate.local || !localOnly) && &candidate != other ? candidate.weight : 0.0F;
    }
    float point = std::uniform_real_distribution<float>(0.0F, total)(this->random);
    const Candidate *last = nullptr;
    for (const Candidate &candidate : this->candidates) {
        if ((localOnly && !candidate.local) || &candidate == other) {
            continue;
        }
        last = &candidate;
        point -= candidate.weight;
        if (point <= 0.0F) {
            break;
        }
    }
    return last;
}

const UpstreamSelector::Candidate *UpstreamSelector::drawBetter(bool localOnly)
{
    const Candidate *first = this->draw(localOnly, nullptr);
    // An idle upstream on trial would win every comparison, so the draw alone limits its share.
    if (first == nullptr || first->trial) {
        return first;
    }
    const Candidate *second = this->draw(localOnly, first);
    if (second == nullptr || second->trial) {
        return first;
    }
    const auto cost = [this](const Candidate &candidate) {
        const auto slots = static_cast<float>(std::max(1U, this->table.rows[candidate.row].slots));
        return (candidate.load + (1.0F / slots)) / std::max(smallestWeight, candidate.weight);
    };
    return cost(*second) < cost(*first) ? second : first;
}

Selection UpstreamSelector::toSelection(const Candidate &candidate) const
{
    return {candidate.row, this->table.rows[candidate.row].insist, candidate.trial};
}

} // namespace Galenarack
