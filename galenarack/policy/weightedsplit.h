#pragma once

#include <galenarack/fleet/trafficconfig.h>

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
    /// @param offset start position in the cycle; it differs between nodes so that they do not all start with the same destination
    explicit WeightedSplit(std::uint32_t offset = 0);

    /// Selects the destination for the next request.
    /// @param destinations at least one destination; a change of their weights starts a new cycle
    /// @return index into the destinations
    std::size_t next(std::span<const WeightedService> destinations);

private:
    std::uint32_t offset;
    std::vector<std::int64_t> credits; ///< Credit of each destination; the one with the highest credit is next.
    std::vector<std::uint32_t> weights; ///< Weights of the destinations in the present cycle.
};

} // namespace Galenarack
