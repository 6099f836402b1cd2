#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace Galenarack::StandIns {

/// Behaviour of one upstream. The control port changes members by these names in snake case.
struct UpstreamSettings
{
    std::uint32_t slots = 3; ///< Requests that run at the same time.
    double baseDelayMs = 2.0; ///< Median duration of a run.
    double delaySpread = 0.1; ///< Sigma of the log-normal spread of the duration.
    std::uint32_t responseBytes = 0; ///< Padding of the response body.
    bool echo = true; ///< Echo the request id in the response header.
    bool draining = false; ///< Drain sign on every response, and 503 on /drain.

    // Faults; these alternate between present and absent when flapPeriodMs is set.
    double slowFactor = 1.0;
    std::string slowPath; ///< Path prefix to which slowFactor is limited; empty means every path.
    bool hang = false; ///< Runs start and do not end while set.
    double errorShare = 0.0; ///< Share of runs that end with 500.
    double wrongShare = 0.0; ///< Share of runs answered with the response to an earlier request.
    double truncatedShare = 0.0; ///< Share of responses cut in the middle, with the connection closed.
    double overlongShare = 0.0; ///< Share of responses followed by bytes beyond their Content-Length.
    double shedShare = 0.0; ///< Share of requests refused with 503 and Retry-After without a run.
    std::uint32_t stuckSlots = 0; ///< Runs in this many of the slots do not end while set.

    double flapPeriodMs = 0.0; ///< Faults are present in the first half of each period; 0 means always.
    double coldMs = 0.0; ///< Length of the cold start; counted from the start or the last change of this member.
    double coldFactor = 5.0; ///< Slowdown during the cold start.
};

/// Changes the members named in `change`.
/// @throws std::exception when a member is unknown or has the wrong type
void applyChange(UpstreamSettings &settings, const nlohmann::json &change);

/// @return all members by name
nlohmann::json toJson(const UpstreamSettings &settings);

/// @return the settings without any fault
UpstreamSettings withoutFaults(UpstreamSettings settings);

} // namespace Galenarack::StandIns
