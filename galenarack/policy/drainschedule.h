#pragma once

#include <galenarack/core/clock.h>

namespace Galenarack {

/// Times at which a leaving node stops to take requests, to accept connections and to run.
struct DrainSchedule
{
    /// @param start when the node began to leave
    /// @param grace time after which the process is killed
    static DrainSchedule forGrace(TimePoint start, Duration grace);

    /// @param deadline when a request ends at the latest, with or without a response
    /// @return whether a request may be sent to an upstream now. Only its deadline bounds the wait for a slot and the run, so from
    ///         `lateFrom` on it has to be before `workEnd`
    bool mayStart(TimePoint deadline, TimePoint now) const
    {
        return now < this->lateFrom || deadline <= this->workEnd;
    }

    TimePoint started; ///< When the node began to leave.
    /// Callers that follow the readiness, and nodes that were declined, send no new work from now on. No later than `acceptEnd`.
    TimePoint announced;
    /// Requests that arrive from now on are from callers that ignore the readiness, or from the upstream on this VM. No later than
    /// `acceptEnd`.
    TimePoint lateFrom;
    TimePoint workEnd; ///< Work that is sent to an upstream after `lateFrom` ends before this time.
    TimePoint acceptEnd; ///< No further connections are accepted, even if requests keep arriving.
    TimePoint exit; ///< The process ends, whatever is in progress.
};

} // namespace Galenarack
