#pragma once

#include <galenarack/fleet/trafficconfig.h>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace Galenarack {

/// Distributes the requests of one route over its destinations in the proportions of their weights.
///
/// Smooth weighted round robin: after any number of requests each destination is within one request of its share. Random
/// choice would deviate more at low request rates.
class WeightedSplit
{
public:
    /// @param offset random number that selects the start position in each cycle, so that the first requests of many nodes also follow
    ///               the weights
    explicit WeightedSplit(std::uint32_t offset = 0);

    /// Selects the destination for the next request.
    /// @param destinations at least one destination; a change of their weights starts a new cycle
    /// @return index into the destinations; nothing when all weights are 0
    std::optional<std::size_t> next(std::span<const WeightedService> destinations);

private:
    /// Starts a cycle at the position of the offset.
    void restart(std::span<const WeightedService> destinations);

    /// Advances the cycle by one request.
    /// @return index of the destination that the request goes to
    std::size_t advance();

    std::uint32_t offset;
    std::vector<std::int64_t> credits; ///< Credit of each destination; the one with the highest credit is next.
    std::vector<std::uint32_t> weights; ///< Weights of the destinations in the present cycle.
    std::int64_t total = 0; ///< Sum of the weights.
};

} // namespace Galenarack
