#include <galenarack/policy/durationestimate.h>

#include <algorithm>

namespace Galenarack {

namespace {

/// Operators set targets at about two and a half times the usual duration.
constexpr double usualShareOfTarget = 0.4;

/// Weight of a new sample: an average over about the last twenty.
constexpr double sampleWeight = 0.05;

/// Samples far above the average are cut, so that a few outliers do not change the estimate.
constexpr double largestSample = 4.0;

} // namespace

Duration DurationEstimate::usual(std::string_view route, Duration target) const
{
    const auto known = this->seconds.find(route);
    if (known == this->seconds.end()) {
        return std::chrono::duration_cast<Duration>(target * usualShareOfTarget);
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(known->second));
}

void DurationEstimate::observe(std::string_view route, Duration target, Duration duration)
{
    const double prior = std::chrono::duration<double>(this->usual(route, target)).count();
    const double sample = std::min(std::chrono::duration<double>(duration).count(), prior * largestSample);
    this->seconds.insert_or_assign(std::string(route), prior + sampleWeight * (sample - prior));
}

} // namespace Galenarack
