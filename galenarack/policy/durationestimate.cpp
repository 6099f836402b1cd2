#include <galenarack/policy/durationestimate.h>

#include <algorithm>

namespace Galenarack {

namespace {

/// Assumed ratio of the usual duration to the latency target: operators set targets at about 2.5 times the usual duration.
constexpr double initialTargetShare = 0.4;

/// Least weight of a new sample in the moving average, which covers about the last twenty samples.
constexpr double minSampleWeight = 0.05;

/// Weight of the first estimate in the average of the first samples, in samples. The first estimate may be far off, since operators do
/// not have to set a target by the duration.
constexpr double initialWeight = 0.5;

/// Largest increase of the average by one sample, as a share of it, so that a few outliers do not change the estimate.
constexpr double maxIncrease = 0.15;

} // namespace

Duration DurationEstimate::usual(std::string_view route, Duration target) const
{
    const auto entry = this->averages.find(route);
    if (entry == this->averages.end()) {
        return std::chrono::duration_cast<Duration>(target * initialTargetShare);
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(entry->second.seconds));
}

void DurationEstimate::observe(std::string_view route, Duration target, Duration duration)
{
    const double before = std::chrono::duration<double>(this->usual(route, target)).count();
    auto entry = this->averages.find(route);
    if (entry == this->averages.end()) {
        entry = this->averages.emplace(std::string(route), Average{before, initialWeight}).first;
    }
    Average &average = entry->second;
    average.samples += 1;
    const double weight = std::max(1.0 / average.samples, minSampleWeight);
    const double change = weight * (std::chrono::duration<double>(duration).count() - before);
    average.seconds += std::min(change, before * maxIncrease);
}

} // namespace Galenarack
