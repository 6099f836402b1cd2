#pragma once

#include <galenarack/core/clock.h>

#include <cmath>
#include <cstdint>
#include <limits>
#include <random>

namespace Galenarack::Model {

/// Random number generator of one run. The same seed gives the same sequence.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : engine(seed)
    {
    }
    double uniform()
    {
        return static_cast<double>(this->engine() >> 11U) * 0x1.0p-53;
    }
    std::uint32_t below(std::uint32_t limit)
    {
        return static_cast<std::uint32_t>(this->uniform() * limit);
    }
    double exponential(double mean)
    {
        return -mean * std::log(1.0 - this->uniform());
    }
    double normal()
    {
        // The Box-Muller transform gives two values; the second is kept for the next call.
        if (this->hasSpare) {
            this->hasSpare = false;
            return this->spare;
        }
        const double radius = std::sqrt(-2.0 * std::log(1.0 - this->uniform()));
        const double angle = 6.283185307179586 * this->uniform();
        this->spare = radius * std::sin(angle);
        this->hasSpare = true;
        return radius * std::cos(angle);
    }
    std::mt19937_64 engine;

private:
    double spare = 0.0;
    bool hasSpare = false;
};

inline Duration seconds(double value)
{
    return Duration(static_cast<Duration::rep>(value * 1e6));
}

/// Latency and errors of a healthy upstream with two route classes. Service times are lognormal, and 0.1% of them are outliers of
/// 5 times the length. A pause of 50 to 150 ms, as in garbage collection, stops all slots every 30 s on average. 1 request in 10,000
/// fails.
struct HealthyUpstream
{
    static constexpr double medianSeconds[2] = {0.020, 0.040};
    static constexpr double secondClassShare = 0.3;
    static constexpr double sigma = 0.5;
    static constexpr double errorRate = 1e-4;

    std::uint8_t drawClass(Random &random) const
    {
        return random.uniform() < secondClassShare ? 1 : 0;
    }
    Duration drawService(Random &random, std::uint8_t routeClass) const
    {
        const double outlier = random.uniform() < 0.001 ? 5.0 : 1.0;
        return seconds(medianSeconds[routeClass] * std::exp(sigma * random.normal()) * outlier);
    }
    /// Computes the end of a request, including pauses.
    /// @param start when the request starts; it may precede an earlier call's start by at most the longest service time
    /// @param service service time without pauses
    /// @return when the request ends
    TimePoint finish(Random &random, TimePoint start, Duration service)
    {
        while (this->pauseEnd <= start) {
            this->pauseStart = this->pauseEnd + seconds(random.exponential(30.0));
            this->pauseEnd = this->pauseStart + seconds(0.05 + (0.1 * random.uniform()));
        }
        const TimePoint begin = start >= this->pauseStart ? this->pauseEnd : start;
        const bool paused = begin < this->pauseStart && begin + service > this->pauseStart;
        return begin + service + (paused ? this->pauseEnd - this->pauseStart : Duration(0));
    }

private:
    TimePoint pauseStart;
    TimePoint pauseEnd;
};

} // namespace Galenarack::Model
