#pragma once

#include <chrono>
#include <cstdint>

namespace Galenarack {

/// All durations of the library, in microseconds.
using Duration = std::chrono::microseconds;

/// A node's own clock. It never goes back and also counts while the VM is suspended (CLOCK_BOOTTIME),
/// so a process that wakes from a pause sees how long it was away. Values of different nodes cannot be compared.
struct NodeClock
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<NodeClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required by the standard

    /// @return the present time of this node
    static time_point now() noexcept;
};

/// Point on a node's own clock.
using TimePoint = NodeClock::time_point;

/// @return whole milliseconds since the start of the node's clock; the form used in messages
constexpr std::int64_t toMilliseconds(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/// Inverse of toMilliseconds().
constexpr TimePoint fromMilliseconds(std::int64_t milliseconds)
{
    return TimePoint(std::chrono::milliseconds(milliseconds));
}

} // namespace Galenarack
