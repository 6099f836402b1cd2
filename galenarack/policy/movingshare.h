#pragma once

#include <galenarack/core/clock.h>

namespace Galenarack {

/// Exponentially weighted share of the recent events that had a property. It decays to zero when no events occur.
class MovingShare
{
public:
    /// Updates the share with one event.
    void observe(bool hasProperty, TimePoint now);

    /// @return share of the recent events that had the property, 0 to 1
    double value(TimePoint now) const;

private:
    double share = 0; ///< Share at the time of the last event.
    TimePoint updated; ///< Time of the last event.
};

} // namespace Galenarack
