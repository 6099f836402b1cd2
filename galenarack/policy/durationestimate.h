#pragma once

#include <galenarack/core/clock.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Galenarack {

/// Estimates the usual duration of the work of each route by a moving average over successful responses. The first samples have more weight
/// than later ones.
class DurationEstimate
{
public:
    /// @param target latency target of the route, from which the duration is estimated until the first sample
    /// @return usual duration of the work
    Duration usual(std::string_view route, Duration target) const;

    /// Updates the average with the duration of one successful response.
    /// @param target latency target of the route
    void observe(std::string_view route, Duration target, Duration duration);

private:
    struct Average
    {
        double seconds = 0; ///< Moving average, in seconds.
        double samples = 0; ///< Number of samples, with the weight of the first estimate.
    };

    std::map<std::string, Average, std::less<>> averages; ///< By route.
};

} // namespace Galenarack
