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

/// Metadata of a caller's request that an ingress forwards to a home, sent in `galenarack-` header fields. Times are
/// milliseconds in the home's clock.
struct ForwardMeta
{
    RequestId id; ///< Identifies the request across the fleet.
    Incarnation addressedTo; ///< Incarnation of the home that the request is meant for.
    std::int64_t receivedMs = 0; ///< Time at which the ingress had received the request.
    std::int64_t expiryMs = 0; ///< Time from which the home must not start the request.
    std::string account; ///< Client account of the caller.
    std::string upstream; ///< Name of the upstream that runs the request.
    std::uint64_t revision = 0; ///< Revision of the document that the ingress applies to the request.
    std::uint32_t routeClass = 0; ///< Latency class of the route.
    bool repeatable = false; ///< Whether the request may run more than once.
    bool insist = false; ///< Whether the floor keeps the upstream although it is ejected, so that the home must accept the request.
    bool mayQueue = true; ///< Whether the request may wait for a slot; otherwise the home refuses it at once if none is free.
    std::optional<IdempotencyKey> key; ///< Idempotency key of the request, if it has one.
    RequestFingerprint fingerprint; ///< Fingerprint of a non-repeatable request; not sent for a repeatable one.
    std::int64_t serviceMedianUs = 0; ///< Median latency over the upstreams of the service, in microseconds; 0 when not known.

    /// Appends the metadata to `headers`.
    void appendTo(HeaderList &headers) const;

    /// @return the metadata, or InvalidRequest when a field is missing or malformed
    static absl::StatusOr<ForwardMeta> fromHeaders(const HeaderList &headers);

    /// @return the data by which the execution ledger identifies the request and its time limits
    LedgerRequest toLedgerRequest() const;
};

} // namespace Galenarack
