#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/fleet/upstreamentry.h>
#include <galenarack/peer/peermessage.h>
#include <galenarack/policy/placement.h>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Galenarack {

/// Terms on which an ingress offers a request to a home. Durations count from the arrival of the offer; they are sent in
/// whole milliseconds.
struct Offer
{
    std::string upstream; ///< Id of the upstream that the request is offered to.
    std::string requestId; ///< Request id of the caller.
    std::string route; ///< Name of the route.
    bool idempotent = false; ///< The request may be run more than once.
    bool allowUnhealthy = false; ///< May run on an upstream considered unhealthy, for want of a better one.
    bool allowTrial = false; ///< May go to an ejected upstream to check whether it has recovered; is repeated if it fails.
    bool isRepeat = false; ///< The request may have reached an upstream before, or this offer is a hedge.
    std::uint32_t priority = 0; ///< Priority of the route; a smaller number is more urgent.
    Duration remaining{}; ///< Time left until the deadline.
    Duration target{}; ///< Latency target of the route.
    Duration expected{}; ///< Usual duration of the work.
    Duration maxQueueWait{}; ///< Longest wait for a slot; the home declines the offer if it expects a longer one.
    std::string callerService; ///< Service of the VM that the request comes from.
    std::string failureDomain; ///< Failure domain of the ingress.
    RegistryPosition registryPosition; ///< Registry position that the ingress has applied; revision 0 if unknown.
    std::optional<double> knownLimit; ///< Limit of the upstream, as last reported to the ingress; tells a home that has just started.

    /// Appends the offer to the header fields of a message.
    void appendTo(HeaderList &headers) const;

    /// Reads the offer from the header fields of a message.
    /// @return InvalidRequest when a field is missing or malformed
    static absl::StatusOr<Offer> fromHeaders(const HeaderList &headers);
};

/// How an offer ended. The values are sent between nodes as numbers.
enum class OfferOutcome : std::uint8_t {
    Answered, ///< The upstream ran the request; the response is its own.
    Busy, ///< Declined: the expected wait for a slot is longer than the ingress allows.
    Ejected, ///< Declined: the upstream is considered unhealthy or refuses connections.
    Leaving, ///< Declined: the upstream or its node is leaving, or the VM has a different upstream.
    Expired, ///< Not run: the work could not end before the deadline.
    Rejected, ///< The upstream rejected the request without running it.
    Unconnected, ///< Not run: the upstream accepts no connection.
    Broken, ///< The request was sent to the upstream, and no valid response was received.
    TimedOut, ///< The request was sent to the upstream, and no response was received before the deadline.
    RepeatLimit, ///< Declined: the retry allowance of the upstream is used up.
    Withdrawn, ///< The ingress cancelled the offer, or did not send the body of the request in time.
    Ambiguous, ///< The upstream failed the request with a status that implies that it has not run, but does not say so itself.
};

/// @return stable name for messages and logs
std::string_view offerOutcomeName(OfferOutcome outcome);

/// Report of a home to the ingress about an offer that has ended.
struct OfferReport
{
    OfferOutcome outcome = OfferOutcome::Answered;
    UpstreamLoad load; ///< Load and health of the upstream.
    Duration runDuration{}; ///< Time that the upstream took for the request; zero if it was not run.
    Duration retryAfter{}; ///< Expected time until the home would accept such a request; zero if unknown.
    std::optional<LeavingMark> leaving; ///< Set once the upstream has said in a response that it is shutting down.
    RegistryPosition registryPosition; ///< Registry position that the home has applied; revision 0 if unknown.

    /// Appends the report to the header fields of a message.
    void appendTo(HeaderList &headers) const;

    /// Reads the report from the header fields of a message.
    /// @return nothing when the field is missing or malformed
    static std::optional<OfferReport> fromHeaders(const HeaderList &headers);
};

} // namespace Galenarack
