#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/execution/workid.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Galenarack {

/// Remembers work that must not run in a fixed amount of memory, for a ledger that has no entry left. It is a pair
/// of Bloom filters: work that was added is always found until its time is over. Other work is found by mistake
/// with a probability below 0.02% up to 100,000 live additions; it is then refused as not run, which is true.
class TombstoneFilter
{
public:
    void add(const WorkId &work, TimePoint until, TimePoint now);

    /// @return true for work that was added and whose time is not over
    bool mayContain(const WorkId &work, TimePoint now) const;

    std::size_t byteCount() const;

private:
    static constexpr std::size_t bitCount = std::size_t(1) << 21;
    static constexpr std::size_t wordBits = 64;
    static constexpr unsigned probeCount = 4;
    /// Additions after which the other generation is used, once its own have all ended.
    static constexpr std::size_t generationSize = 50'000;

    struct Generation
    {
        std::vector<std::uint64_t> words; ///< Empty until first used.
        TimePoint until; ///< Latest end of its additions.
        std::size_t additions = 0;
    };

    std::array<Generation, 2> generations;
    std::size_t active = 0;
};

} // namespace Galenarack
