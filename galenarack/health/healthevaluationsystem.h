#pragma once

#include <galenarack/health/upstreamtable.h>

#include <span>
#include <vector>

namespace Galenarack {

/// A change of the health state of one upstream, reported for the audit trail.
struct HealthChange
{
    std::uint32_t row; ///< Index of the upstream in the UpstreamTable.
    HealthState from;
    HealthState to;
    HealthCause cause;
    float severity; ///< Strongest evidence at the time of the change as a multiple of the ejection threshold.
    float latencyEvidence;
    float stallEvidence;
    float failureEvidence;
    Duration ejectionTime; ///< Time from an ejection to the earliest trial; 0 for other changes.
};

/// Evaluates the health of each upstream of this home by the evidence in its row.
class HealthEvaluationSystem
{
public:
    /// @param table must outlive the system
    explicit HealthEvaluationSystem(UpstreamTable &table);

    /// Evaluates all rows; called once per tick of 100 ms. @return the changes, valid until the next call
    std::span<const HealthChange> tick(TimePoint now);

private:
    /// Evidence against one upstream; each kind is a log-likelihood ratio.
    struct Evidence
    {
        float latency = 0.0F; ///< Evidence of completed responses and of requests in flight.
        float inFlight = 0.0F; ///< Part of `latency` that comes from requests in flight.
        float stall = 0.0F;
        float failure = 0.0F;
        bool latencyConfirmed = false;
    };

    Evidence collectEvidence(std::uint32_t row, TimePoint now);
    void addRequestsInFlight(std::uint32_t row, TimePoint now, Evidence &evidence) const;
    bool isLatencyConfirmed(std::uint32_t row, float inFlight, TimePoint now);
    bool isSustained(
        const LatencyClass &target, TimePoint peerMedianAt, float inFlight, const DetectionThresholds &thresholds, TimePoint now) const;
    bool isCurrentlySlow(std::uint32_t row, std::uint8_t routeClass, TimePoint now) const;
    void evaluate(std::uint32_t row, const Evidence &evidence, TimePoint now);
    HealthCause dominantCause(std::uint32_t row, const Evidence &evidence) const;
    void evaluateServing(std::uint32_t row, const Evidence &evidence, TimePoint now);
    void evaluateEjected(std::uint32_t row, TimePoint now);
    bool isNoLongerSlow(std::uint32_t row, TimePoint now) const;
    void evaluateTrial(std::uint32_t row, TimePoint now);
    void recordEpisode(HealthEvaluation &evaluation, TimePoint now);
    void eject(std::uint32_t row, HealthCause cause, const Evidence &evidence, TimePoint now);
    void setHealthState(std::uint32_t row, HealthState to, HealthCause cause, const Evidence &evidence, TimePoint now);
    void clearEvidence(std::uint32_t row);

    UpstreamTable &table;
    std::vector<HealthChange> changes;
};

} // namespace Galenarack
