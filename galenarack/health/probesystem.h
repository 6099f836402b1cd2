#pragma once

#include <galenarack/health/upstreamtable.h>

#include <cstdint>
#include <random>
#include <span>
#include <vector>

namespace Galenarack {

/// Decides when the home probes an upstream. Probes gate the trial after an ejection; they never add evidence for or against an
/// upstream. They use at most 1% of the slot time.
class ProbeSystem
{
public:
    /// @param table must outlive the system
    /// @param random generator that spreads probes over time
    ProbeSystem(UpstreamTable &table, std::mt19937_64 random);

    /// Selects the upstreams to probe.
    /// @return the indexes of their rows, valid until the next call; the caller calls finish() for each
    std::span<const std::uint32_t> tick(TimePoint now);

    /// Records the end of a probe.
    /// @param ok whether the health endpoint returned a successful response
    /// @param cost time that the probe held a slot
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
