#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/core/errorkind.h>
#include <galenarack/operators/labelledfamily.h>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Galenarack {

/// Load of one upstream at its home, in requests.
struct HomeLoad
{
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0; ///< Number of slots of the upstream.
    std::optional<double> limit{}; ///< Requests per second that the upstream takes from all nodes; empty without a limit.
    std::uint64_t limitDeclines = 0; ///< Offers declined by this home because the limit had no room, since its start.
};

/// Number of members by state.
struct MemberCounts
{
    std::uint32_t live = 0;
    std::uint32_t leaving = 0;
    std::uint32_t gone = 0;
    std::uint32_t unknown = 0;
};

/// Metrics of a node in the Prometheus text format.
///
/// Labels are names of services and upstreams of the document and names of error kinds. Any other name is counted as
/// "other", so the document bounds the number of series. A series is created with its first sample and removed when the
/// document no longer contains its service or upstream.
class Metrics
{
public:
    Metrics();

    /// Sets the names that may be label values, and removes the series of all other names.
    void setLabels(std::span<const std::string> services, std::span<const std::string> upstreams);

    /// Counts a request at the ingress.
    /// @param upstream upstream of the last attempt; empty when there was no attempt
    /// @param outcome error kind of the response to the caller, or nothing for success
    /// @param latency time from the request of the caller to the last byte of the response
    void countRequest(std::string_view service, std::string_view upstream, std::optional<ErrorKind> outcome, Duration latency);

    /// Counts a request that this home accepted for one of its upstreams.
    /// @param latency time from arrival at the home to the end of the request
    void countHomeRequest(std::string_view upstream, std::optional<ErrorKind> outcome, Duration latency);

    void setHomeLoad(std::string_view upstream, const HomeLoad &load);
    void countRetry(std::string_view service);
    void countHedge(std::string_view service);
    void countEjection(std::string_view upstream);
    void countReinstatement(std::string_view upstream);

    /// Counts an ejection that the floor of the service prevented.
    void countFloorHit(std::string_view service);

    /// Counts a request whose uncertain outcome was queried.
    /// @param resolvedTo outcome after the query; MayHaveRun when it is still uncertain
    void countUncertainOutcome(Execution resolvedTo);

    /// @param highestKnown highest revision known from the configuration service or a peer
    void setRevision(std::uint64_t inForce, std::uint64_t highestKnown);
    void setMembers(const MemberCounts &counts);
    void setLedger(std::uint64_t entries, std::uint64_t responseBytes);
    void setReady(bool ready);

    /// @return all metrics in the Prometheus text format 0.0.4
    std::string text() const;

    /// @return current number of series of all families, for tests of its bound
    std::size_t seriesCount() const;

private:
    std::string_view serviceLabel(std::string_view name) const;
    std::string_view upstreamLabel(std::string_view name) const;

    prometheus::Registry registry;
    LabelNames services;
    LabelNames upstreams;

    LabelledFamily<prometheus::Counter> requests;
    LabelledFamily<prometheus::Histogram> latencies;
    LabelledFamily<prometheus::Counter> homeRequests;
    LabelledFamily<prometheus::Histogram> homeLatencies;
    LabelledFamily<prometheus::Gauge> inFlight;
    LabelledFamily<prometheus::Gauge> queued;
    LabelledFamily<prometheus::Gauge> slots;
    LabelledFamily<prometheus::Gauge> limits;
    LabelledFamily<prometheus::Gauge> limitDeclines;
    LabelledFamily<prometheus::Counter> retries;
    LabelledFamily<prometheus::Counter> hedges;
    LabelledFamily<prometheus::Counter> ejections;
    LabelledFamily<prometheus::Counter> reinstatements;
    LabelledFamily<prometheus::Counter> floorHits;
    LabelledFamily<prometheus::Counter> uncertainOutcomes;
    prometheus::Family<prometheus::Gauge> &members;
    prometheus::Gauge &revisionInForce;
    prometheus::Gauge &revisionHeard;
    prometheus::Gauge &ledgerEntries;
    prometheus::Gauge &ledgerBytes;
    prometheus::Gauge &readiness;
};

} // namespace Galenarack
