#include <galenarack/routing/upstreamselector.h>

#include <algorithm>

namespace Galenarack {

namespace {

/// Section 4.5: a load report that is older than this is not used.
constexpr Duration maxReportAge = std::chrono::seconds(2);
/// The request stays in the ingress's failure domain while the less loaded of two candidates there has less work per slot than this.
constexpr float maxLocalLoad = 0.8F;
/// Lower bound of the weight by which loads are divided when they are compared.
constexpr float minComparedWeight = 0.05F;

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
    this->collectCandidates(service, repeatable, exclude, now);
    if (this->candidates.empty()) {
        return std::nullopt;
    }
    const Candidate *local = this->drawLessLoaded(true);
    if (local != nullptr && (local->trial || local->load < maxLocalLoad)) {
        return this->toSelection(*local);
    }
    const Candidate *any = this->drawLessLoaded(false);
    if (local == nullptr || any->trial || any->load < local->load) {
        return this->toSelection(*any);
    }
    return this->toSelection(*local);
}

void UpstreamSelector::collectCandidates(std::uint32_t service, bool repeatable, std::span<const std::uint32_t> exclude, TimePoint now)
{
    this->candidates.clear();
    float reportedLoadSum = 0.0F;
    std::uint32_t reportCount = 0;
    for (const std::uint32_t index : this->table.services[service].rows) {
        const ReportRow &row = this->table.rows[index];
        const bool usable = row.isKept() || (row.trial && repeatable);
        if (!usable || std::find(exclude.begin(), exclude.end(), index) != exclude.end()) {
            continue;
        }
        const auto slots = static_cast<float>(std::max(1U, row.slots));
        Candidate candidate{index, std::max(row.weight, 0.001F), 0.0F, row.failureDomain == this->failureDomain, row.trial};
        if (row.reported && now - row.reportedAt <= maxReportAge) {
            const auto work = static_cast<float>(row.report.inFlight + row.report.queued);
            candidate.load = work / slots;
            reportedLoadSum += candidate.load;
            ++reportCount;
        } else {
            candidate.load = -1.0F;
        }
        this->candidates.push_back(candidate);
    }
    // An upstream without a recent report is assumed to have the average load: it is neither avoided nor preferred.
    const float average = reportCount == 0 ? 0.0F : reportedLoadSum / static_cast<float>(reportCount);
    for (Candidate &candidate : this->candidates) {
        const ReportRow &row = this->table.rows[candidate.row];
        const float reported = candidate.load < 0.0F ? average : candidate.load;
        candidate.load = reported + (static_cast<float>(row.sentSinceReport) / static_cast<float>(std::max(1U, row.slots)));
    }
}

const UpstreamSelector::Candidate *UpstreamSelector::drawByWeight(bool localOnly, const Candidate *excluded)
{
    float total = 0.0F;
    for (const Candidate &candidate : this->candidates) {
        total += (candidate.local || !localOnly) && &candidate != excluded ? candidate.weight : 0.0F;
    }
    float point = std::uniform_real_distribution<float>(0.0F, total)(this->random);
    const Candidate *last = nullptr;
    for (const Candidate &candidate : this->candidates) {
        if ((localOnly && !candidate.local) || &candidate == excluded) {
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

const UpstreamSelector::Candidate *UpstreamSelector::drawLessLoaded(bool localOnly)
{
    const Candidate *first = this->drawByWeight(localOnly, nullptr);
    // An idle upstream on trial would win every comparison, so only the draw by weight decides whether it is selected.
    if (first == nullptr || first->trial) {
        return first;
    }
    const Candidate *second = this->drawByWeight(localOnly, first);
    if (second == nullptr || second->trial) {
        return first;
    }
    const auto cost = [this](const Candidate &candidate) {
        const auto slots = static_cast<float>(std::max(1U, this->table.rows[candidate.row].slots));
        return (candidate.load + (1.0F / slots)) / std::max(minComparedWeight, candidate.weight);
    };
    return cost(*second) < cost(*first) ? second : first;
}

Selection UpstreamSelector::toSelection(const Candidate &candidate) const
{
    return {candidate.row, this->table.rows[candidate.row].insist, candidate.trial};
}

} // namespace Galenarack
