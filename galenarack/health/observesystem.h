#pragma once

#include <galenarack/health/upstreamtable.h>

namespace Galenarack {

/// Outcome of one request at an upstream.
enum class SampleOutcome : std::uint8_t {
    Ok, ///< Complete response with a status below 500.
    Failed, ///< Response with a status of 500 or above other than load shedding, or a refused or broken connection.
    IntegrityError, ///< Mismatched, truncated or overlong response.
    TimedOut, ///< Deadline passed before the response. Only its age counts: callers may set deadlines that no upstream can meet.
    Cancelled, ///< Caller disconnected before the response. Only its age counts.
    Shed, ///< Status 503 with Retry-After.
};

/// Records requests at the upstreams of a home and updates their latency baselines and the evidence against them.
class ObserveSystem
{
public:
    /// @param table must outlive the system
    explicit ObserveSystem(UpstreamTable &table);

    /// Records the dispatch of a request to an upstream.
    /// @param token unique among the upstream's requests in flight
    void start(std::uint32_t row, std::uint64_t token, std::uint8_t routeClass, TimePoint now);

    /// Records the end of a request. An unknown token is ignored, so that a time-out and a late response may both report it.
    /// @param retryAfter Retry-After of the response, used for Shed only; limited to 10 s
    void finish(std::uint32_t row, std::uint64_t token, SampleOutcome outcome, TimePoint now, Duration retryAfter = Duration(0));

    /// Records the median latency of the service that an ingress has sent with a request of this class; 0 is ignored.
    void peerMedian(std::uint32_t row, std::uint8_t routeClass, Duration median, TimePoint now);

    /// @param logLatency, reference natural logarithms of microseconds
    /// @return the evidence of a response against the upstream, as a bounded log-likelihood ratio; negative for fast responses
    static float latencyEvidence(const LatencyClass &latency, float logLatency, float reference);

private:
    void recordLatency(std::uint32_t row, std::uint8_t routeClass, float logLatency, bool complete, TimePoint now);
    static void countEvidenceSample(LatencyClass &target, float reference);
    void rebase(std::uint32_t row, std::uint8_t routeClass, float reference);
    void updateBaseline(LatencyClass &latency, float logLatency, bool suspected);
    void recordOutcome(std::uint32_t row, SampleOutcome outcome);
    void recordShedding(std::uint32_t row, Duration retryAfter, TimePoint now);

    UpstreamTable &table;
};

} // namespace Galenarack
