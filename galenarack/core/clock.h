#pragma once

#include <chrono>
#include <cstdint>

namespace Galenarack {

/// Duration type of the library, in microseconds.
using Duration = std::chrono::microseconds;

/// Monotonic clock of a node. It continues to advance while the VM is suspended (CLOCK_BOOTTIME), so a resumed
/// process can measure how long it was suspended. Values of different nodes are not comparable.
struct NodeClock
{
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<NodeClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): required by the standard

    /// @return the current time of this node
    static time_point now() noexcept;
};

/// Point in time on the clock of one node.
using TimePoint = NodeClock::time_point;

/// @return whole milliseconds since the epoch of the node's clock, as sent in messages
constexpr std::int64_t toMilliseconds(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

/// @return the time of day of this VM as Unix time, in milliseconds. It may jump, and differs between VMs.
std::int64_t unixMilliseconds();

/// Converts a value of toMilliseconds() back to a time point.
constexpr TimePoint fromMilliseconds(std::int64_t milliseconds)
{
    return TimePoint(std::chrono::milliseconds(milliseconds));
}

} // namespace Galenarack
