#pragma once

#include <galenarack/core/clock.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace Galenarack {

/// Number of route classes with a latency baseline of their own at each upstream. Latency differs by route, so a fault on
/// one route would be diluted in a single baseline; routes beyond this number share classes.
constexpr std::uint32_t maxRouteClasses = 8;

/// @param routeIndex position of the route among the routes of its service
/// @return the class of the route, below `maxRouteClasses`
constexpr std::uint8_t routeClassOf(std::uint32_t routeIndex)
{
    return static_cast<std::uint8_t>(routeIndex % maxRouteClasses);
}

/// Health state of an upstream, as determined by its home.
enum class HealthState : std::uint8_t {
    Serving, ///< Receives its full traffic share.
    Cold, ///< In slow start: receives a growing traffic share.
    Trial, ///< On trial after an ejection: receives a small stream of repeatable requests.
    Ejected, ///< Receives only requests that an ingress sends with `insist`, to keep the floor.
    Leaving, ///< Receives no new requests.
};

/// Strongest kind of evidence behind a health state.
enum class HealthCause : std::uint8_t {
    None,
    Latency, ///< Responses are slower than the upstream's own baseline and than its peers.
    Stall, ///< Requests in flight are far older than healthy responses take.
    Failure, ///< Responses with an error status, or refused or broken connections.
    Integrity, ///< Mismatched, truncated or overlong responses.
    Flapping, ///< Repeated short episodes of raised evidence.
    Rule, ///< A rule of the document.
};

/// Report of a home on one of its upstreams, sent with responses, heartbeats and gossip.
struct UpstreamReport
{
    HealthState healthState = HealthState::Serving;
    HealthCause cause = HealthCause::None;
    float severity = 0.0F; ///< Evidence as a multiple of the ejection threshold; ranks unhealthy upstreams.
    float weight = 1.0F; ///< Traffic share after slow start, trial and load shedding, 0 to 1.
    std::uint32_t inFlight = 0; ///< Number of requests at the upstream.
    std::uint32_t queued = 0; ///< Number of requests that wait at the home for a slot.
    std::uint32_t slots = 1; ///< Number of requests that the upstream runs at once.
    std::uint8_t routeClass = 0; ///< Route class that `latency` describes.
    Duration latency{0}; ///< Recent average latency of the route class; 0 means unknown.
};

/// @return the lower-case name of a health state, e.g. "ejected"
std::string_view healthStateName(HealthState healthState);

/// @return the health state with this name, or nothing if the name is unknown
std::optional<HealthState> healthStateFromName(std::string_view name);

/// @return the lower-case name of a cause, e.g. "latency"
std::string_view causeName(HealthCause cause);

/// @return the cause with this name, or nothing if the name is unknown
std::optional<HealthCause> causeFromName(std::string_view name);

} // namespace Galenarack
