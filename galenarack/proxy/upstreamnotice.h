#pragma once

#include <galenarack/peer/peermessage.h>
#include <galenarack/proxy/dialect.h>

#include <optional>

namespace Galenarack {

/// What an upstream says of itself in the header of a response.
struct UpstreamNotice
{
    /// Requests per second that the upstream takes from all nodes together, 0 or more; empty when it names no limit, or none that is
    /// valid.
    std::optional<double> limit;
    bool leaving = false; ///< The upstream is shutting down and must get no new requests.

    bool operator==(const UpstreamNotice &) const = default;

    /// Reads the notice from the header of a response. A limit that is no decimal number, or that is there twice with different values,
    /// is no limit, and neither is one above `maxRequestLimit`.
    static UpstreamNotice fromHeaders(const HeaderList &headers, const Dialect &dialect);
};

/// Limits above this many requests per second have no effect on any fleet.
inline constexpr double maxRequestLimit = 1e6;

} // namespace Galenarack
