#include <galenarack/policy/durationestimate.h>

#include <algorithm>

namespace Galenarack {

namespace {

/// Assumed ratio of the usual duration to the latency target: operators set targets at about 2.5 times the usual duration.
constexpr double initialTargetShare = 0.4;

/// Weight of a new sample in the moving average, which covers about the last twenty samples.
constexpr double sampleWeight = 0.05;

/// Upper bound of a sample as a multiple of the average, so that a few outliers do not change the estimate.
constexpr double maxSampleRatio = 4.0;

} // namespace

Duration DurationEstimate::usual(std::string_view route, Duration target) const
{
    const auto entry = this->averageSeconds.find(route);
    if (entry == this->averageSeconds.end()) {
        return std::chrono::duration_cast<Duration>(target * initialTargetShare);
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(entry->second));
}

void DurationEstimate::observe(std::string_view route, Duration target, Duration duration)
{
    const double average = std::chrono::duration<double>(this->usual(route, target)).count();
    const double sample = std::min(std::chrono::duration<double>(duration).count(), average * maxSampleRatio);
    this->averageSeconds.insert_or_assign(std::string(route), average + sampleWeight * (sample - average));
}

} // namespace Galenarack
