#include <galenarack/policy/weightedsplit.h>

#include <algorithm>
#include <cassert>
#include <numeric>

namespace Galenarack {

namespace {

/// Upper limit of the start position. It bounds the work at a change of weights; a destination with a smaller share than one request in
/// this many may start late in its cycle.
constexpr std::uint32_t maxStart = 4096;

} // namespace

WeightedSplit::WeightedSplit(std::uint32_t offset)
    : offset(offset)
{
}

std::optional<std::size_t> WeightedSplit::next(std::span<const WeightedService> destinations)
{
    assert(!destinations.empty());
    if (!std::ranges::equal(destinations, this->weights, {}, &WeightedService::weight)) {
        this->restart(destinations);
    }
    if (this->total == 0) {
        return std::nullopt;
    }
    return this->advance();
}

void WeightedSplit::restart(std::span<const WeightedService> destinations)
{
    this->weights.clear();
    this->total = 0;
    std::uint32_t divisor = 0;
    for (const WeightedService &destination : destinations) {
        this->weights.push_back(destination.weight);
        this->total += destination.weight;
        divisor = std::gcd(divisor, destination.weight);
    }
    this->credits.assign(this->weights.size(), 0);
    if (this->total == 0) {
        return;
    }
    const std::int64_t start = this->offset % std::min<std::int64_t>(this->total / divisor, maxStart);
    for (std::int64_t i = 0; i < start; ++i) {
        this->advance();
    }
}

std::size_t WeightedSplit::advance()
{
    std::size_t best = 0;
    for (std::size_t i = 0; i < this->credits.size(); ++i) {
        this->credits[i] += this->weights[i];
        if (this->credits[i] > this->credits[best]) {
            best = i;
        }
    }
    this->credits[best] -= this->total;
    return best;
}

} // namespace Galenarack
