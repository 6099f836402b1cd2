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

/// A request at an upstream.
struct InFlightRequest
{
    std::uint64_t token; ///< Chosen by the home, unique among the upstream's requests in flight.
    TimePoint started; ///< Dispatch to the upstream, moved forward by the home's own pauses.
    std::uint8_t routeClass;
};

/// Latency of one route class at one upstream. Latencies are natural logarithms of microseconds.
struct LatencyClass
{
    float mean = 0.0F; ///< The upstream's own past.
    float variance = 0.36F;
    float tail = 0.0F; ///< Decaying maximum of responses.
    float recent = 0.0F; ///< Average over the last few responses.
    float peerMedian = 0.0F; ///< Median of the service, as sent by ingresses.
    float evidence = 0.0F; ///< CUSUM of log-likelihood ratios.
    float windowGain = 0.0F; ///< Evidence since the last tick.
    std::uint32_t samples = 0;
    bool hasPeerMedian = false;
    TimePoint onset; ///< When the evidence last rose above the suspicion limit of the profile.
    TimePoint peerMedianAt;
    std::uint32_t evidenceSamples = 0; ///< Responses since the evidence was 0.
    float evidenceReference = 0.0F; ///< Highest reference that the evidence is relative to.
    TimePoint lastSample;
};

/// Error evidence of one upstream.
struct FailureEvidence
{
    float evidence = 0.0F; ///< CUSUM of log-likelihood ratios.
    float windowGain = 0.0F; ///< Evidence since the last tick.
    float rate = 0.0005F; ///< Long-term share of failures; starts from a guess.
    HealthCause cause = HealthCause::Failure; ///< Failure or Integrity, whichever came last.
};

/// Result of the judgement of one upstream.
struct HealthEvaluation
{
    HealthState healthState = HealthState::Cold;
    HealthCause cause = HealthCause::None;
    float severity = 0.0F; ///< Relative to the ejection threshold.
    TimePoint since; ///< Start of the present verdict.
    TimePoint ejectedUntil; ///< Earliest trial while ejected.
    TimePoint ejectionsDecayAt; ///< When one ejection is forgotten.
    std::uint32_t ejections = 0; ///< In a row; sets the next ejection time.
    std::uint32_t trialSuccesses = 0; ///< Good responses in this trial.
    bool startedCold = true; ///< Cold because the upstream started, not because it returned from an ejection.
    std::uint8_t episodes = 0; ///< Short bad episodes in the flapping window.
    bool inEpisode = false;
    TimePoint firstEpisode;
};

/// Probes of one upstream and the slot time they may use.
struct ProbeState
{
    double budget = 0.0; ///< Slot time in seconds that probes may use now.
    double cost = 0.025; ///< Average slot time of one probe in seconds.
    bool outstanding = false;
    TimePoint lastSent;
    TimePoint lastResult;
    bool lastOk = false;
    std::uint32_t consecutiveSuccesses = 0;
};

/// Share that load shedding leaves to an upstream.
struct SheddingState
{
    float weight = 1.0F;
    TimePoint until; ///< No recovery before this.
    TimePoint lastReduction;
};

/// The home's rows, one per home upstream, as a structure of arrays: each system runs over the columns it needs.
class UpstreamTable
{
public:
    /// Takes over the upstreams of one VM from a document. Rows of upstreams that stay keep their state.
    void configure(const Document &document, std::string_view vm, TimePoint now);

    /// Adds one row. @return its index
    std::uint32_t add(std::string_view name, std::uint32_t slots, TrustProfile profile, UpstreamRule rule, TimePoint now);

    /// @return the row of the upstream, or nothing; indexes change with configure()
    std::optional<std::uint32_t> find(std::string_view name) const;

    std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(this->names.size());
    }

    /// The upstream leaves: it takes no new work from now on.
    void markLeaving(std::uint32_t row, TimePoint now);

    /// The upstream's process started again: slow start, and a new latency baseline.
    void markCold(std::uint32_t row, TimePoint now);

    /// Records that the process runs. After a pause of this process the time it was away is no evidence, so requests in
    /// flight age from the resumption. Call before samples are taken; the systems do.
    void adjustForPause(TimePoint now);

    /// @return log latency a healthy response of this class has: the larger of the upstream's own past and the peers' median;
    /// nothing without either
    std::optional<float> reference(std::uint32_t row, std::uint8_t routeClass) const;

    /// @return the recent typical latency of a class including requests still in flight; 0 without samples
    Duration recentLatency(std::uint32_t row, std::uint8_t routeClass, TimePoint now) const;

    /// @return whether the class had a response in the last seconds; heartbeats carry one report for each such class, or one in all
    bool isRecent(std::uint32_t row, std::uint8_t routeClass, TimePoint now) const;

    /// @return whether slow start is over
    bool isSlowStartOver(std::uint32_t row, TimePoint now) const;

    /// @return share of the upstream for slow start, trial and shedding, 0 to 1
    float weight(std::uint32_t row, TimePoint now) const;

    /// @return part of the share that load shedding leaves, 0 to 1
    float sheddingShare(std::uint32_t row, TimePoint now) const;

    /// @return log latency by which a freshly started upstream may be slower; shrinks to 0 over slow start
    float coldAllowance(std::uint32_t row, TimePoint now) const;

    /// @param queued requests that wait at the home for a slot
    /// @return the report that responses and heartbeats carry
    UpstreamReport report(std::uint32_t row, std::uint8_t routeClass, std::uint32_t queued, TimePoint now) const;

    /// @return whether the home takes a request: an ejected upstream only with `insist`, a trial only one repeatable request at
    /// a time, a leaving one none
    bool admits(std::uint32_t row, bool repeatable, bool insist) const;

    std::vector<std::string> names;
    std::vector<std::uint32_t> slots;
    std::vector<TrustProfile> profiles;
    std::vector<UpstreamRule> rules;
    std::vector<HealthEvaluation> evaluations;
    std::vector<std::array<LatencyClass, maxRouteClasses>> latencies;
    std::vector<LatencyClass> pooled; ///< Evidence over all classes; only evidence, gain and onset are used.
    std::vector<FailureEvidence> failures;
    std::vector<std::vector<InFlightRequest>> inFlight;
    std::vector<ProbeState> probes;
    std::vector<SheddingState> shedding;
    Duration ejectionBase = std::chrono::seconds(10);
    Duration ejectionMax = std::chrono::seconds(300);

private:
    void moveRow(UpstreamTable &from, std::uint32_t row);

    TimePoint lastActiveAt;
    bool wasActive = false;
};

} // namespace Galenarack
