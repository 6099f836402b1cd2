#pragma once

#include <galenarack/health/upstreamtable.h>

#include <cstdint>
#include <random>
#include <span>
#include <vector>

namespace Galenarack {

/// Decides when the home probes an upstream. Probes open the way back after an ejection and are never evidence of health or
/// ill health on their own. They use at most 1% of the slot time.
class ProbeSystem
{
public:
    /// @param table outlives the system
    /// @param random spreads probes over time
    ProbeSystem(UpstreamTable &table, std::mt19937_64 random);

    /// @return rows to probe now, valid until the next call; each must be followed by finish()
    std::span<const std::uint32_t> tick(TimePoint now);

    /// A probe ended.
    /// @param ok the health endpoint gave a good response
    /// @param cost time the probe held a slot
    void finish(std::uint32_t row, bool ok, Duration cost, TimePoint now);

private:
    bool isDue(std::uint32_t row, TimePoint now);

    UpstreamTable &table;
    std::mt19937_64 random;
    std::vector<std::uint32_t> due;
    TimePoint lastTick;
    bool ticked = false;
};

} // namespace Galenarack
