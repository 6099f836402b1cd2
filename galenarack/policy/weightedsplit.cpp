#include <galenarack/policy/weightedsplit.h>

#include <algorithm>
#include <cassert>
#include <numeric>

namespace Galenarack {

WeightedSplit::WeightedSplit(std::uint32_t offset)
    : offset(offset)
{
}

std::size_t WeightedSplit::next(std::span<const WeightedService> destinations)
{
    assert(!destinations.empty());
    if (destinations.size() == 1) {
        return 0;
    }
    const bool unchanged = std::ranges::equal(destinations, this->weights, {}, &WeightedService::weight);
    std::int64_t total = 0;
    for (const WeightedService &destination : destinations) {
        total += destination.weight;
    }
    if (!unchanged) {
        this->weights.clear();
        this->credits.clear();
        for (const WeightedService &destination : destinations) {
            this->weights.push_back(destination.weight);
            this->credits.push_back(0);
        }
        if (total > 0) {
            // Initial credits that add up to zero move the start of the cycle without changing the shares.
            const std::int64_t shift = this->offset % total;
            this->credits.front() += shift;
            this->credits.back() -= shift;
        }
    }
    std::size_t best = 0;
    for (std::size_t i = 0; i < destinations.size(); ++i) {
        this->credits[i] += destinations[i].weight;
        if (this->credits[i] > this->credits[best]) {
            best = i;
        }
    }
    this->credits[best] -= total;
    return best;
}

} // namespace Galenarack
