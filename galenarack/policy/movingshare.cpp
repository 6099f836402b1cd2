#include <galenarack/policy/movingshare.h>

#include <cmath>

namespace Galenarack {

namespace {

/// Weight of a new event in the moving average, which covers about the last seven events.
constexpr double eventWeight = 0.15;

/// Time constant of the decay: without events the share falls by two thirds in this time.
constexpr double decaySeconds = 2.0;

} // namespace

double MovingShare::value(TimePoint now) const
{
    return this->share * std::exp(-std::chrono::duration<double>(now - this->updated).count() / decaySeconds);
}

void MovingShare::observe(bool hasProperty, TimePoint now)
{
    const double previous = this->value(now);
    this->share = previous + eventWeight * ((hasProperty ? 1.0 : 0.0) - previous);
    this->updated = now;
}

} // namespace Galenarack
