#pragma once

#include <galenarack/fleet/trafficconfig.h>

#include <span>
#include <string>
#include <vector>

namespace Galenarack {

/// Distributes the requests of one route over its destinations in the proportions of their weights.
///
/// Smooth weighted round robin: after any number of requests each destination is within one request of its share, which
/// random choice is not at low rates.
class WeightedSplit
{
public:
    /// @param offset start of the cycle, so that nodes of a fleet do not all begin with the same destination
    explicit WeightedSplit(std::uint32_t offset = 0);

    /// @param destinations at least one; a change of them starts a new cycle
    /// @return index of the destination for the next request
    std::size_t next(std::span<const WeightedService> destinations);

private:
    std::uint32_t offset;
    std::vector<std::int64_t> credits; ///< By destination.
    std::vector<std::uint32_t> weights; ///< That the credit belongs to.
};

} // namespace Galenarack
