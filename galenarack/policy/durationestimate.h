#pragma once

#include <galenarack/core/clock.h>

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Galenarack {

/// Estimates the usual duration of the work of each route by a moving average over successful responses. It begins with the mean of the
/// first samples; before, the latency target gives the estimate.
class DurationEstimate
{
public:
    /// Number of samples from which on they alone give the estimate.
    static constexpr std::size_t firstSampleCount = 8;

    /// @param target latency target of the route
    /// @return usual duration of the work
    Duration usual(std::string_view route, Duration target) const;

    /// Updates the average with the duration of one successful response.
    void observe(std::string_view route, Duration duration);

private:
    struct Average
    {
        double seconds = 0; ///< Moving average, in seconds; valid after the first samples.
        std::size_t samples = 0; ///< Number of samples, at most firstSampleCount.
        std::array<double, firstSampleCount> first{}; ///< First samples, in seconds.
    };

    std::map<std::string, Average, std::less<>> averages; ///< By route.
};

} // namespace Galenarack
