#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/peer/peermessage.h>
#include <galenarack/policy/placement.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Galenarack {

/// What an ingress tells a home about a request that it offers. Durations count from the arrival of the offer.
struct Offer
{
    std::string upstream; ///< Id of the upstream that is to run it.
    std::string requestId; ///< Of the caller.
    bool idempotent = false;
    bool allowUnhealthy = false; ///< No better upstream is left: run it even without trust in this one.
    bool allowTrial = false; ///< It can be sent again if it fails, so it may show whether an ejected upstream has recovered.
    bool isRepeat = false; ///< It has reached an upstream before.
    std::uint32_t priority = 0;
    Duration remaining{}; ///< Until the deadline.
    Duration target{}; ///< Latency target of the route.
    Duration expected{}; ///< Usual duration of the work.
    Duration patience{}; ///< Longest wait for a slot; beyond it the home hands the request back.
    std::string callerService; ///< Service of the VM where the request began.
    std::string failureDomain; ///< Of the ingress.

    /// Appends the offer to the header fields of a message.
    void appendTo(HeaderList &headers) const;

    /// @return InvalidRequest when a field is missing or malformed
    static absl::StatusOr<Offer> fromHeaders(const HeaderList &headers);
};

/// How a home ended an offer.
enum class OfferEnd : std::uint8_t {
    Answered, ///< The response is that of the upstream.
    Busy, ///< Handed back: the wait for a slot is longer than the ingress allows.
    Ejected, ///< Handed back: the upstream fails part of its work.
    Leaving, ///< Handed back: the upstream or its node is leaving, or is another one.
    Expired, ///< It cannot end before the deadline; it has not been run.
    Rejected, ///< The upstream says that it has not run the request.
    Unconnected, ///< The upstream accepts no connection; the request has not been run.
    Broken, ///< The request was sent, and no valid response came.
    TimedOut, ///< The request was sent, and no response came before the deadline.
    RepeatLimit, ///< Handed back: the upstream has got its share of repeats.
    Withdrawn, ///< The ingress took it back before it was run.
};

/// @return stable name, used in messages and logs
std::string_view offerEndName(OfferEnd end);

/// What a home says when it ends an offer.
struct OfferReport
{
    OfferEnd end = OfferEnd::Answered;
    UpstreamLoad load;
    Duration ran{}; ///< Time that the upstream took.
    Duration retryAfter{}; ///< Until the home may take such a request.

    /// Appends the report to the header fields of a message.
    void appendTo(HeaderList &headers) const;

    /// @return nothing when the field is missing or malformed
    static std::optional<OfferReport> fromHeaders(const HeaderList &headers);
};

} // namespace Galenarack
