#pragma once

#include <galenarack/core/clock.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Galenarack {

/// Usual duration of the work behind each route: a moving average over successful responses.
class DurationEstimate
{
public:
    /// @param target latency target of the route; stands in for the average until the first samples
    /// @return usual duration of the work
    Duration usual(std::string_view route, Duration target) const;

    /// Takes the duration of one successful run.
    void observe(std::string_view route, Duration target, Duration duration);

private:
    std::map<std::string, double, std::less<>> averageSeconds; ///< Average by route.
};

} // namespace Galenarack
