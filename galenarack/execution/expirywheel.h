#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/execution/indexlists.h>

#include <cstdint>
#include <optional>

namespace Galenarack {

/// Timing wheel over the indices of a table. It finds the indices that are due without visiting the others.
/// An index becomes due up to one granule (10 ms) late, never early.
class ExpiryWheel
{
public:
    /// @param span longest time ahead for which an index can be scheduled
    ExpiryWheel(Duration span, TimePoint now);

    /// Extends the wheel to the indices below `count`.
    void grow(std::uint32_t count);

    /// Schedules or reschedules `index`. A time beyond the span becomes due at the end of the span.
    void schedule(std::uint32_t index, TimePoint time);

    /// Removes `index` from the schedule. Does nothing when it is not scheduled.
    void cancel(std::uint32_t index);

    /// Removes one index that is due from the schedule.
    /// @return the index, or nothing when none is due
    std::optional<std::uint32_t> popDue(TimePoint now);

    /// @return memory held, in bytes
    std::size_t byteCount() const;

private:
    static constexpr Duration granule = std::chrono::milliseconds(10);

    std::uint32_t bucketCount;
    IndexLists buckets;
    std::int64_t current; ///< First granule, counted from the clock's epoch, whose bucket may still hold due indices.
};

} // namespace Galenarack
