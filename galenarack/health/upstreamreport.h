#pragma once

#include <galenarack/core/clock.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Galenarack {

/// Route classes told apart in latency baselines of one upstream. Latency differs by route, so a fault on one
/// route would be diluted in a single baseline; routes beyond this number share classes.
constexpr std::uint32_t maxRouteClasses = 8;

/// @return the class of a route, by its position among the routes of its service
constexpr std::uint8_t routeClassOf(std::uint32_t routeIndex)
{
    return static_cast<std::uint8_t>(routeIndex % maxRouteClasses);
}

/// What the home says about one of its upstreams.
enum class HealthState : std::uint8_t {
    Serving, ///< Takes its full share.
    Cold, ///< Slow start: takes a growing share.
    Trial, ///< After an ejection: takes a small stream of repeatable requests.
    Ejected, ///< Takes only requests on which the ingress insists.
    Leaving, ///< Takes no new work.
};

/// Kind of evidence that weighs most in a verdict.
enum class HealthCause : std::uint8_t {
    None,
    Latency, ///< Slower than its own past and than its peers.
    Stall, ///< A request in flight is far older than any response takes.
    Failure, ///< Errors.
    Integrity, ///< Mismatched, truncated or overlong responses.
    Flapping, ///< Several short bad episodes in a row.
    Rule, ///< The document says so.
};

/// The home's report on one upstream; travels on responses, heartbeats and gossip.
struct UpstreamReport
{
    HealthState healthState = HealthState::Serving;
    HealthCause cause = HealthCause::None;
    float severity = 0.0F; ///< Evidence relative to the ejection threshold; ranks upstreams, 1 is the threshold.
    float weight = 1.0F; ///< Share for slow start, trial and load shedding, 0 to 1.
    std::uint32_t inFlight = 0; ///< Requests at the upstream.
    std::uint32_t queued = 0; ///< Requests that wait at the home for a slot.
    std::uint32_t slots = 1;
    std::uint8_t routeClass = 0; ///< Class that `latency` describes.
    Duration latency{0}; ///< Recent typical latency of that class; 0 means unknown.
};

/// @return lower-case name, e.g. "ejected"
std::string_view healthStateName(HealthState healthState);

/// @return the verdict with that name, or nothing
std::optional<HealthState> healthStateFromName(std::string_view name);

/// @return lower-case name, e.g. "latency"
std::string_view causeName(HealthCause cause);

/// @return the cause with that name, or nothing
std::optional<HealthCause> causeFromName(std::string_view name);

} // namespace Galenarack
