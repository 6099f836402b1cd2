#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/document/document.h>
#include <galenarack/health/detectionthresholds.h>
#include <galenarack/health/upstreamreport.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// A request that the home has dispatched to an upstream and that has not ended yet.
struct InFlightRequest
{
    std::uint64_t token; ///< Chosen by the home, unique among the upstream's requests in flight.
    TimePoint started; ///< Time of dispatch to the upstream, moved forward by the length of each pause of the home's process.
    std::uint8_t routeClass;
};

/// Latency statistics of one route class at one upstream. Latencies are natural logarithms of microseconds.
struct LatencyClass
{
    float mean = 0.0F; ///< Mean latency of the upstream's own baseline.
    float variance = 0.36F; ///< Variance of the log latency in the baseline.
    float tail = 0.0F; ///< Decaying maximum of the responses in the baseline.
    float recent = 0.0F; ///< Moving average over the last few responses.
    float peerMedian = 0.0F; ///< Moving average of the service's median latency, as sent by ingresses.
    float evidence = 0.0F; ///< CUSUM of log-likelihood ratios; at least 0.
    float windowGain = 0.0F; ///< Evidence added since the last tick.
    std::uint32_t samples = 0; ///< Responses that have entered the baseline.
    bool hasPeerMedian = false;
    TimePoint onset; ///< When the evidence last rose to the suspicion threshold of the detection profile.
    TimePoint peerMedianAt; ///< When `peerMedian` was last updated.
    std::uint32_t evidenceSamples = 0; ///< Number of responses since the evidence was last 0.
    float evidenceReference = 0.0F; ///< Highest reference latency that the evidence was computed with.
    TimePoint lastSample; ///< Time of the last complete response.
};

/// Evidence of failed requests at one upstream.
struct FailureEvidence
{
    float evidence = 0.0F; ///< CUSUM of log-likelihood ratios; at least 0.
    float windowGain = 0.0F; ///< Evidence added since the last tick.
    float rate = 0.0005F; ///< Long-term share of failed requests, 0 to 1; the initial value is a prior.
    HealthCause cause = HealthCause::Failure; ///< Kind of the last failure: Failure or Integrity.
};

/// Result of the health evaluation of one upstream.
struct HealthEvaluation
{
    HealthState healthState = HealthState::Cold;
    HealthCause cause = HealthCause::None;
    float severity = 0.0F; ///< Strongest evidence as a multiple of the ejection threshold.
    TimePoint since; ///< Start of the present health state.
    TimePoint ejectedUntil; ///< Earliest start of a trial while ejected.
    TimePoint ejectionsDecayAt; ///< When `ejections` is next lowered by one.
    std::uint32_t ejections = 0; ///< Ejections in a row; each doubles the next ejection time.
    std::uint32_t trialSuccesses = 0; ///< Successful responses in the present trial.
    bool startedCold = true; ///< Whether the upstream is cold because it has started, not because it returned from an ejection.
    std::uint8_t episodes = 0; ///< Episodes of raised evidence within the flapping window.
    bool inEpisode = false; ///< Whether an episode is in progress.
    TimePoint firstEpisode; ///< Start of the first episode within the flapping window.
};

/// Probes of one upstream and their budget of slot time.
struct ProbeState
{
    double budget = 0.0; ///< Slot time in seconds that probes may use at present.
    double cost = 0.025; ///< Moving average of the slot time of one probe in seconds.
    bool outstanding = false; ///< Whether a probe is in progress.
    TimePoint lastSent;
    TimePoint lastResult; ///< When the last probe ended.
    bool lastOk = false; ///< Whether the last probe succeeded.
    std::uint32_t consecutiveSuccesses = 0; ///< Probes that succeeded since the last failed one.
};

/// Reduction of the traffic share of an upstream that sheds load.
struct SheddingState
{
    float weight = 1.0F; ///< Share after the last reduction, 0 to 1.
    TimePoint until; ///< Time from which the share recovers.
    TimePoint lastReduction; ///< When the share was last reduced.
};

/// Health data of the upstreams of this home, one row per upstream, as a structure of arrays: each system runs over the columns
/// that it needs.
class UpstreamTable
{
public:
    /// Replaces the rows by the upstreams of one VM in a document. Upstreams that were there before keep their state.
    void configure(const Document &document, std::string_view vm, TimePoint now);

    /// Adds one row.
    /// @param slots greater than 0
    /// @return the index of the row
    std::uint32_t add(std::string_view name, std::uint32_t slots, DetectionProfile profile, UpstreamRule rule, TimePoint now);

    /// @return the index of the upstream's row, or nothing if it is unknown; configure() changes the indexes
    std::optional<std::uint32_t> find(std::string_view name) const;

    std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(this->names.size());
    }

    /// Sets the state Leaving: the upstream receives no new requests.
    void markLeaving(std::uint32_t row, TimePoint now);

    /// Records a restart of the upstream's process: begins slow start and discards the latency baselines.
    void markCold(std::uint32_t row, TimePoint now);

    /// Excludes pauses of this process from the age of requests in flight, since they are not evidence against an upstream.
    /// The systems call this before they record samples.
    void adjustForPause(TimePoint now);

    /// @return the log latency expected of a healthy response of this class: the larger of the upstream's own baseline and the
    /// peer median, or nothing without either
    std::optional<float> reference(std::uint32_t row, std::uint8_t routeClass) const;

    /// @return the recent average latency of a class, including requests still in flight; 0 without samples
    Duration recentLatency(std::uint32_t row, std::uint8_t routeClass, TimePoint now) const;

    /// @return whether the class had a response within the last 10 s, so that its recent latency is current
    bool isRecent(std::uint32_t row, std::uint8_t routeClass, TimePoint now) const;

    /// @return whether slow start is over
    bool isSlowStartOver(std::uint32_t row, TimePoint now) const;

    /// @return the traffic share of the upstream after slow start, trial and load shedding, 0 to 1
    float weight(std::uint32_t row, TimePoint now) const;

    /// @return the part of the traffic share that remains after load shedding, 0 to 1
    float sheddingShare(std::uint32_t row, TimePoint now) const;

    /// @return the log latency by which a just started upstream may exceed the reference; decreases to 0 during slow start
    float coldAllowance(std::uint32_t row, TimePoint now) const;

    /// @param queued number of requests that wait at the home for a slot
    /// @return the report sent with responses and heartbeats
    UpstreamReport report(std::uint32_t row, std::uint8_t routeClass, std::uint32_t queued, TimePoint now) const;

    /// @return whether the home accepts a request for the upstream: an ejected one only with `insist`, one on trial a single
    /// repeatable request at a time, a leaving one none
    bool admits(std::uint32_t row, bool repeatable, bool insist) const;

    std::vector<std::string> names;
    std::vector<std::uint32_t> slots;
    std::vector<DetectionProfile> profiles;
    std::vector<UpstreamRule> rules;
    std::vector<HealthEvaluation> evaluations;
    std::vector<std::array<LatencyClass, maxRouteClasses>> latencies;
    std::vector<LatencyClass> pooled; ///< Evidence over all route classes; only its evidence, gain, onset and last sample are used.
    std::vector<FailureEvidence> failures;
    std::vector<std::vector<InFlightRequest>> inFlight;
    std::vector<ProbeState> probes;
    std::vector<SheddingState> shedding;
    Duration ejectionBase = std::chrono::seconds(10); ///< Length of a first ejection.
    Duration ejectionMax = std::chrono::seconds(300); ///< Upper bound of the length of an ejection.

private:
    void moveRow(UpstreamTable &from, std::uint32_t row);

    TimePoint lastActiveAt;
    bool wasActive = false;
};

} // namespace Galenarack
