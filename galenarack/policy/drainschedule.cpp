#include <galenarack/policy/drainschedule.h>

#include <algorithm>

namespace Galenarack {

namespace {

/// Callers on this VM send new requests until two readiness checks, a second apart, have failed.
constexpr Duration announceTime = std::chrono::milliseconds(2600);

/// Time from the start after which a request counts as late. The two readiness checks have failed by then.
constexpr Duration lateRequestTime = std::chrono::milliseconds(2800);

/// The process exits this long before it would be killed.
constexpr Duration killMargin = std::chrono::milliseconds(300);

/// Time to send the response of the work that ended last.
constexpr Duration responseMargin = std::chrono::milliseconds(200);

/// Time before the kill to answer the requests on connections that were accepted last.
constexpr Duration lastAcceptMargin = std::chrono::milliseconds(900);

} // namespace

DrainSchedule DrainSchedule::forGrace(TimePoint start, Duration grace)
{
    DrainSchedule schedule;
    schedule.started = start;
    schedule.acceptEnd = start + grace - lastAcceptMargin;
    schedule.announced = std::min<TimePoint>(start + announceTime, schedule.acceptEnd);
    schedule.lateFrom = std::min<TimePoint>(start + lateRequestTime, schedule.acceptEnd);
    schedule.exit = start + grace - killMargin;
    schedule.workEnd = schedule.exit - responseMargin;
    return schedule;
}

} // namespace Galenarack
