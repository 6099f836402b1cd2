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

/// Work of one upstream at its home.
struct HomeLoad
{
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
};

/// Members by state.
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
/// "other", so the number of series is bounded by the document. A series appears with its first sample and goes when
/// the document no longer names it.
class Metrics
{
public:
    Metrics();

    /// Names that may be labels; removes the series of all others.
    void setLabels(std::span<const std::string> services, std::span<const std::string> upstreams);

    /// Counts a request at the ingress.
    /// @param upstream of the last attempt; empty when none was made
    /// @param outcome error kind of the response to the caller, or nothing for success
    void countRequest(std::string_view service, std::string_view upstream, std::optional<ErrorKind> outcome, Duration latency);

    /// Counts a request that this home took for one of its upstreams.
    /// @param latency from arrival at the home to its end
    void countHomeRequest(std::string_view upstream, std::optional<ErrorKind> outcome, Duration latency);

    void setHomeLoad(std::string_view upstream, const HomeLoad &load);
    void countRetry(std::string_view service);
    void countHedge(std::string_view service);
    void countEjection(std::string_view upstream);
    void countReinstatement(std::string_view upstream);

    /// An ejection that the floor of the service prevented.
    void countFloorHit(std::string_view service);

    /// An uncertain outcome after its query: still "may have run", or resolved to a definite one.
    void countUncertainOutcome(Execution resolvedTo);

    /// @param heard highest revision heard of any peer
    void setRevision(std::uint64_t inForce, std::uint64_t heard);
    void setMembers(const MemberCounts &counts);
    void setLedger(std::uint64_t entries, std::uint64_t responseBytes);
    void setReady(bool ready);

    /// @return all metrics in the Prometheus text format 0.0.4
    std::string text() const;

    /// @return series at present, for the bound in tests
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
