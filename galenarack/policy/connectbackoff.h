#pragma once

#include <galenarack/core/clock.h>

namespace Galenarack {

/// Exponential backoff for an upstream that refuses connections.
///
/// Designed for an upstream that is being started: a request that found no connection has not run, so any request can be sent
/// again soon, and a refused connection is no evidence of the health of the upstream once it is up.
class ConnectBackoff
{
public:
    /// Records a failed connection attempt.
    void onFailure(TimePoint now);

    /// Records that the upstream accepted a connection, and ends the backoff.
    void onSuccess();

    /// @return time until a request may be sent; zero when it may be sent now
    Duration remaining(TimePoint now) const;

private:
    unsigned consecutiveFailures = 0; ///< Number of failures since the last accepted connection.
    TimePoint retryAt; ///< End of the backoff.
};

} // namespace Galenarack
