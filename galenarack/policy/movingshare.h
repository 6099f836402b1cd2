#pragma once

#include <galenarack/core/clock.h>

namespace Galenarack {

/// Share of the recent events that had a property; it falls to zero when no events come.
class MovingShare
{
public:
    /// Takes one event.
    void observe(bool hasProperty, TimePoint now);

    /// @return the share, 0 to 1
    double value(TimePoint now) const;

private:
    double share = 0;
    TimePoint updated;
};

} // namespace Galenarack
