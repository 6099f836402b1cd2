#include <galenarack/core/clock.h>

#include <ctime>

namespace Galenarack {

NodeClock::time_point NodeClock::now() noexcept
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace Galenarack
