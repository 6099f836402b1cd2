#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/execution/indexlists.h>

#include <cstdint>
#include <optional>

namespace Galenarack {

/// Timing wheel over the indices of a table: finds those whose time has come without looking at the others.
/// An index comes due up to one granule (10 ms) late, never early.
class ExpiryWheel
{
public:
    /// @param span longest time ahead that an index is scheduled for
    ExpiryWheel(Duration span, TimePoint now);

    /// Room for the indices below `count`.
    void grow(std::uint32_t count);

    /// Schedules `index`, which may be scheduled already. Times beyond the span come due at its end.
    void schedule(std::uint32_t index, TimePoint time);

    /// Does nothing when `index` is not scheduled.
    void cancel(std::uint32_t index);

    /// Takes one index that is due.
    /// @return nothing when none is left
    std::optional<std::uint32_t> popDue(TimePoint now);

    std::size_t byteCount() const;

private:
    static constexpr Duration granule = std::chrono::milliseconds(10);

    std::uint32_t bucketCount;
    IndexLists buckets;
    std::int64_t current; ///< First granule that is not yet emptied.
};

} // namespace Galenarack
