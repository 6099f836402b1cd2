#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace Galenarack::StandIns {

/// Behaviour of one upstream. The control port accepts these member names in snake case.
struct UpstreamSettings
{
    std::uint32_t slots = 3; ///< Maximum number of concurrent runs.
    double baseDelayMs = 2.0; ///< Median duration of a run.
    double delaySpread = 0.1; ///< Sigma of the log-normal spread of the duration.
    std::uint32_t responseBytes = 0; ///< Length of the padding in the response body, in bytes.
    bool echo = true; ///< Whether responses repeat the request id in their header.
    bool draining = false; ///< Whether every response carries the drain signal and /drain answers 503.

    // Faults. They alternate between present and absent when flapPeriodMs is set.
    double slowFactor = 1.0; ///< Factor on the duration of runs.
    std::string slowPath; ///< Path prefix to which slowFactor is limited; empty means every path.
    bool hang = false; ///< Whether runs start but do not end.
    double errorShare = 0.0; ///< Share of runs that end with 500.
    double wrongShare = 0.0; ///< Share of runs answered with the response to an earlier request.
    double truncatedShare = 0.0; ///< Share of responses whose body is truncated, after which the connection is closed.
    double overlongShare = 0.0; ///< Share of responses followed by bytes beyond their Content-Length.
    double shedShare = 0.0; ///< Share of requests rejected with 503 and Retry-After without a run, as they state.
    std::uint32_t stuckSlots = 0; ///< Number of slots, counted from the first, in which runs do not end.

    double flapPeriodMs = 0.0; ///< Faults are present in the first half of each period; 0 means always.
    double coldMs = 0.0; ///< Length of the cold start, from the start of the upstream or the last change of this member.
    double coldFactor = 5.0; ///< Factor on the duration of runs during the cold start.
};

/// Changes the members named in `change`.
/// @throws std::exception when a member is unknown or has the wrong type; the settings are then unchanged
void applyChange(UpstreamSettings &settings, const nlohmann::json &change);

/// @return all members by name
nlohmann::json toJson(const UpstreamSettings &settings);

/// @return the settings without any fault
UpstreamSettings withoutFaults(UpstreamSettings settings);

} // namespace Galenarack::StandIns
