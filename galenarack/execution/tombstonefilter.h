#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/execution/workid.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Galenarack {

/// Records work that must not run in a fixed amount of memory, for a ledger that has no free entry. It is a pair of
/// Bloom filters: work that was added is always found until it expires. The probability of a false positive is below
/// 0.02% with up to 100,000 unexpired additions; such work is refused as not run, which is true.
class TombstoneFilter
{
public:
    /// Adds work.
    /// @param until expiry of the addition
    void add(const WorkId &work, TimePoint until, TimePoint now);

    /// @return true for work that was added and has not expired, and rarely for other work
    bool mayContain(const WorkId &work, TimePoint now) const;

    /// @return memory held, in bytes
    std::size_t byteCount() const;

private:
    static constexpr std::size_t bitCount = std::size_t(1) << 21;
    static constexpr std::size_t wordBits = 64;
    static constexpr unsigned probeCount = 4;
    /// Number of additions after which the other generation becomes active, provided that all its additions have expired.
    static constexpr std::size_t generationSize = 50'000;

    struct Generation
    {
        std::vector<std::uint64_t> words; ///< Bits of the filter; empty until the first addition.
        TimePoint until; ///< Latest expiry of its additions.
        std::size_t additions = 0;
    };

    std::array<Generation, 2> generations;
    std::size_t active = 0;
};

} // namespace Galenarack
