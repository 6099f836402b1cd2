#pragma once

#include <galenarack/health/upstreamtable.h>

namespace Galenarack {

/// How one request at an upstream ended.
enum class SampleOutcome : std::uint8_t {
    Ok, ///< A complete response below status 500.
    Failed, ///< Status 500 or above other than shedding, a refused or broken connection.
    IntegrityError, ///< A mismatched, truncated or overlong response.
    TimedOut, ///< The deadline passed first. Counts by age only: a caller may set a deadline no upstream can meet.
    Cancelled, ///< The caller left first. Counts by age only.
    Shed, ///< 503 with Retry-After.
};

/// Takes samples of requests at home upstreams and turns them into evidence.
class ObserveSystem
{
public:
    /// @param table outlives the system
    explicit ObserveSystem(UpstreamTable &table);

    /// A request goes to the upstream.
    /// @param token unique among the upstream's requests in flight
    void start(std::uint32_t row, std::uint64_t token, std::uint8_t routeClass, TimePoint now);

    /// A request ended. An unknown token is ignored, so that both a timeout and a late response may report it.
    /// @param retryAfter the response's Retry-After, for Shed
    void finish(std::uint32_t row, std::uint64_t token, SampleOutcome outcome, TimePoint now, Duration retryAfter = Duration(0));

    /// An ingress sent the service's median latency with a request of this class.
    void peerMedian(std::uint32_t row, std::uint8_t routeClass, Duration median, TimePoint now);

    /// @return evidence that a response of this log latency gives against the upstream
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
