#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/document/document.h>

namespace Galenarack {

/// Thresholds for the detection of unhealthy upstreams. Evidence is a log-likelihood ratio, so a threshold h gives about one
/// false alarm in e^h samples.
struct DetectionThresholds
{
    float threshold; ///< Evidence at which an upstream is ejected.
    float suspicionThreshold; ///< Evidence from which reports name a cause and the onset of a slowdown is recorded.
    float integrityEvidence; ///< Evidence added by one mismatched, truncated or overlong response.
    float trialThreshold; ///< Evidence at which a trial fails.
    std::uint32_t trialSuccesses; ///< Number of successful responses after which a trial succeeds.
    float stallFactor; ///< Multiple of the typical latency from which a request in flight is stalled.
    Duration stallMinimum; ///< Minimum age of a stalled request.
    Duration stallAgeWithoutBaseline; ///< Age from which a request is stalled on a route class without a reference latency.
    Duration singleStallMinimum; ///< Minimum age at which a single stalled request ejects an upstream.
    float singleStallFactor; ///< Age at which a single stalled request ejects, as a multiple of the age at which two do.
    Duration latencyConfirmation; ///< Time that latency evidence must last, so that the peer median can follow a common slowdown.
};

/// @return the thresholds of a detection profile
const DetectionThresholds &detectionThresholds(DetectionProfile profile);

} // namespace Galenarack
