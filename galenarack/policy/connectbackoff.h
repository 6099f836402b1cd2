#pragma once

#include <galenarack/core/clock.h>

namespace Galenarack {

/// When an upstream that refuses connections is tried again.
///
/// Answers an upstream that is being started: a request that found no connection has not run, so any request can try again
/// soon, and a refused connection says nothing about how the upstream works once it is up.
class ConnectBackoff
{
public:
    /// A connection attempt failed.
    void onFailure(TimePoint now);

    /// The upstream took a connection.
    void onSuccess();

    /// @return how long no request is to be sent; zero when one may try
    Duration remaining(TimePoint now) const;

private:
    unsigned failuresInARow = 0; ///< In a row.
    TimePoint retryAt;
};

} // namespace Galenarack
