#include <galenarack/health/detectionthresholds.h>

namespace Galenarack {

namespace {

using std::chrono::milliseconds;

// An upstream at 17.6 requests/s gives 6.3e7 samples in 1,000 hours. One false alarm in that time needs a threshold of
// h = ln(6.3e7) = 18, a tenth of a false alarm 20.3. The rest is margin for heavier tails than the model assumes and for the
// number of route classes.
constexpr DetectionThresholds claimsThresholds = {
    .threshold = 22.0F,
    .suspicionThreshold = 4.4F,
    .integrityEvidence = 12.0F,
    .trialThreshold = 7.0F,
    .trialSuccesses = 6,
    .stallFactor = 20.0F,
    .stallMinimum = milliseconds(500),
    .stallAgeWithoutBaseline = milliseconds(1500),
    .singleStallMinimum = milliseconds(1400),
    .singleStallFactor = 2.0F,
    .latencyConfirmation = milliseconds(1000),
};
constexpr DetectionThresholds authorityThresholds = {
    .threshold = 28.0F,
    .suspicionThreshold = 5.6F,
    .integrityEvidence = 10.0F,
    .trialThreshold = 9.0F,
    .trialSuccesses = 10,
    .stallFactor = 40.0F,
    .stallMinimum = milliseconds(1000),
    .stallAgeWithoutBaseline = milliseconds(3000),
    .singleStallMinimum = milliseconds(2000),
    .singleStallFactor = 2.0F,
    .latencyConfirmation = milliseconds(2500),
};

} // namespace

const DetectionThresholds &detectionThresholds(DetectionProfile profile)
{
    return profile == DetectionProfile::Claims ? claimsThresholds : authorityThresholds;
}

} // namespace Galenarack
