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

/// Shortest sample. Durations are reported in whole milliseconds.
constexpr double minSampleSeconds = 0.001;

/// @return mean of the samples, with outliers bounded by a multiple of the median
double boundedMean(std::array<double, DurationEstimate::firstSampleCount> samples)
{
    const auto middle = samples.begin() + samples.size() / 2;
    std::ranges::nth_element(samples, middle);
    const double most = *middle * maxSampleRatio;
    double sum = 0;
    for (const double sample : samples) {
        sum += std::min(sample, most);
    }
    return sum / static_cast<double>(samples.size());
}

} // namespace

Duration DurationEstimate::usual(std::string_view route, Duration target) const
{
    const auto entry = this->averages.find(route);
    if (entry == this->averages.end() || entry->second.samples < firstSampleCount) {
        return std::chrono::duration_cast<Duration>(target * initialTargetShare);
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(entry->second.seconds));
}

void DurationEstimate::observe(std::string_view route, Duration duration)
{
    auto entry = this->averages.find(route);
    if (entry == this->averages.end()) {
        entry = this->averages.emplace(route, Average()).first;
    }
    Average &average = entry->second;
    const double sample = std::max(std::chrono::duration<double>(duration).count(), minSampleSeconds);
    if (average.samples == firstSampleCount) {
        average.seconds += sampleWeight * (std::min(sample, average.seconds * maxSampleRatio) - average.seconds);
        return;
    }
    average.first[average.samples++] = sample;
    if (average.samples == firstSampleCount) {
        average.seconds = boundedMean(average.first);
    }
}

} // namespace Galenarack
