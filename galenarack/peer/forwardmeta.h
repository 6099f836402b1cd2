#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/core/ids.h>
#include <galenarack/execution/executionledger.h>
#include <galenarack/peer/peermessage.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Galenarack {

/// What an ingress tells a home about a caller's request, in `galenarack-` header fields. Times are in the home's clock.
struct ForwardMeta
{
    RequestId id;
    Incarnation addressedTo; ///< Run of the home that the ingress means.
    std::int64_t receivedMs = 0; ///< When the ingress had received the request.
    std::int64_t expiryMs = 0; ///< The work must not be started from then on.
    std::string account;
    std::string upstream;
    std::uint64_t revision = 0; ///< Document revision that the ingress uses for the request.
    std::uint32_t routeClass = 0; ///< Latency class of the route.
    bool repeatable = false;
    bool insist = false; ///< The floor keeps the upstream although it is ejected.
    bool mayQueue = true; ///< When false, the home refuses at once if no slot is free.
    std::optional<IdempotencyKey> key;
    RequestFingerprint fingerprint; ///< Of non-repeatable work.
    std::int64_t serviceMedianUs = 0; ///< Median latency over the upstreams of the service; 0 when not known.

    /// Appends the fields to `headers`.
    void appendTo(HeaderList &headers) const;

    /// @return the data, or InvalidRequest when a field is missing or malformed
    static absl::StatusOr<ForwardMeta> fromHeaders(const HeaderList &headers);

    /// @return the request in the form of the execution ledger
    LedgerRequest toLedgerRequest() const;
};

} // namespace Galenarack
