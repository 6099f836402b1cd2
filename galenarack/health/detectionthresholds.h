#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/document/document.h>

namespace Galenarack {

/// Thresholds of the judgement. Evidence is a log-likelihood ratio, so a threshold h admits about one false alarm in
/// e^h samples.
struct DetectionThresholds
{
    float threshold; ///< Evidence that ejects.
    float suspicionThreshold; ///< Evidence from which a report names its cause and latency counts as suspect.
    float integrityEvidence; ///< Evidence of one mismatched or truncated response.
    float trialThreshold; ///< Evidence that ends a trial.
    std::uint32_t trialSuccesses; ///< Good responses that end a trial well.
    float stallFactor; ///< A request this many times older than a typical response is stalled.
    Duration stallMinimum; ///< No request younger than this is stalled.
    Duration stallAgeWithoutBaseline; ///< Age of a stalled request on a class without a baseline.
    Duration singleStallMinimum; ///< No single request younger than this ejects.
    float singleStallFactor; ///< A single stalled request ejects at this multiple of the age at which two do.
    Duration latencyConfirmation; ///< Time that latency evidence must last, so that the peers' median can follow a common slowdown.
};

/// @return the thresholds of a profile
const DetectionThresholds &detectionThresholds(TrustProfile profile);

} // namespace Galenarack
