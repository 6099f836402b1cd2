#include <galenarack/operators/metrics.h>

#include <prometheus/text_serializer.h>

#include <limits>
#include <sstream>

namespace Galenarack {

namespace {

constexpr std::string_view otherLabel = "other";
constexpr std::string_view okOutcome = "ok";

std::string_view outcomeName(std::optional<ErrorKind> outcome)
{
    return outcome ? errorRow(*outcome).name : okOutcome;
}

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

prometheus::Family<prometheus::Counter> &counters(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Gauge> &gauges(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram> &histograms(prometheus::Registry &registry, const char *name, const char *help)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

} // namespace

Metrics::Metrics()
    : requests(counters(this->registry, "galenarack_requests_total", "Requests of callers at this ingress, by outcome."))
    , latencies(histograms(
          this->registry, "galenarack_request_seconds", "Seconds from the request of a caller to the last byte of its response."))
    , homeRequests(counters(this->registry, "galenarack_home_requests_total", "Requests accepted by this home, by outcome."))
    , homeLatencies(
          histograms(this->registry, "galenarack_home_request_seconds", "Seconds from arrival at this home to the end of the request."))
    , inFlight(gauges(this->registry, "galenarack_upstream_in_flight", "Requests in progress at the upstream of this home."))
    , queued(gauges(this->registry, "galenarack_upstream_queued", "Requests that wait at this home for a slot of the upstream."))
    , slots(gauges(this->registry, "galenarack_upstream_slots", "Slots of the upstream of this home."))
    , limits(gauges(this->registry,
                    "galenarack_upstream_limit",
                    "Requests per second that the upstream of this home takes from all nodes; +Inf without a limit."))
    , limitDeclines(gauges(this->registry,
                           "galenarack_limit_declines",
                           "Offers that this home has declined since its start because the limit of the upstream had no room."))
    , retries(counters(this->registry, "galenarack_retries_total", "Attempts after the first one for which an upstream was available."))
    , hedges(counters(this->registry, "galenarack_hedges_total", "Hedged attempts."))
    , ejections(counters(this->registry, "galenarack_ejections_total", "Ejections of the upstream by this node."))
    , reinstatements(counters(this->registry, "galenarack_reinstatements_total", "Ejections of the upstream that ended."))
    , floorHits(counters(this->registry, "galenarack_floor_hits_total", "Ejections that the floor of the service prevented."))
    , uncertainOutcomes(counters(this->registry,
                                 "galenarack_uncertain_outcomes_total",
                                 "Requests whose outcome was queried, by the outcome that the query returned."))
    , members(gauges(this->registry, "galenarack_members", "Nodes by membership state, as seen by this node."))
    , revisionInForce(gauges(this->registry, "galenarack_config_revision", "Revision of the configuration in force.").Add({}))
    , revisionHeard(
          gauges(this->registry, "galenarack_config_revision_heard", "Highest revision known from the configuration service or a peer.")
              .Add({}))
    , ledgerEntries(gauges(this->registry, "galenarack_ledger_entries", "Entries of the execution ledger.").Add({}))
    , ledgerBytes(
          gauges(this->registry, "galenarack_ledger_response_bytes", "Size in bytes of the responses retained in the execution ledger.")
              .Add({}))
    , readiness(gauges(this->registry, "galenarack_ready", "1 when the node is ready to serve, otherwise 0.").Add({}))
{
}

void Metrics::setLabels(std::span<const std::string> services, std::span<const std::string> upstreams)
{
    this->services = LabelNames(services.begin(), services.end());
    this->upstreams = LabelNames(upstreams.begin(), upstreams.end());
    const auto retain = [this](auto &...families) {
        (families.retain(this->services, this->upstreams, otherLabel), ...);
    };
    retain(this->requests, this->latencies, this->homeRequests, this->homeLatencies);
    retain(this->inFlight, this->queued, this->slots, this->limits, this->limitDeclines);
    retain(this->retries, this->hedges, this->ejections, this->reinstatements, this->floorHits);
}

void Metrics::countRequest(std::string_view service, std::string_view upstream, std::optional<ErrorKind> outcome, Duration latency)
{
    const std::string_view label = this->serviceLabel(service);
    this->requests.at(label, this->upstreamLabel(upstream), outcomeName(outcome)).Increment();
    this->latencies.at(label).Observe(toSeconds(latency));
}

void Metrics::countHomeRequest(std::string_view upstream, std::optional<ErrorKind> outcome, Duration latency)
{
    const std::string_view label = this->upstreamLabel(upstream);
    this->homeRequests.at({}, label, outcomeName(outcome)).Increment();
    this->homeLatencies.at({}, label).Observe(toSeconds(latency));
}

void Metrics::setHomeLoad(std::string_view upstream, const HomeLoad &load)
{
    const std::string_view label = this->upstreamLabel(upstream);
    this->inFlight.at({}, label).Set(load.inFlight);
    this->queued.at({}, label).Set(load.queued);
    this->slots.at({}, label).Set(load.slots);
    this->limits.at({}, label).Set(load.limit.value_or(std::numeric_limits<double>::infinity()));
    this->limitDeclines.at({}, label).Set(static_cast<double>(load.limitDeclines));
}

void Metrics::countRetry(std::string_view service)
{
    this->retries.at(this->serviceLabel(service)).Increment();
}

void Metrics::countHedge(std::string_view service)
{
    this->hedges.at(this->serviceLabel(service)).Increment();
}

void Metrics::countEjection(std::string_view upstream)
{
    this->ejections.at({}, this->upstreamLabel(upstream)).Increment();
}

void Metrics::countReinstatement(std::string_view upstream)
{
    this->reinstatements.at({}, this->upstreamLabel(upstream)).Increment();
}

void Metrics::countFloorHit(std::string_view service)
{
    this->floorHits.at(this->serviceLabel(service)).Increment();
}

void Metrics::countUncertainOutcome(Execution resolvedTo)
{
    this->uncertainOutcomes.at({}, {}, executionName(resolvedTo)).Increment();
}

void Metrics::setRevision(std::uint64_t inForce, std::uint64_t highestKnown)
{
    this->revisionInForce.Set(static_cast<double>(inForce));
    this->revisionHeard.Set(static_cast<double>(highestKnown));
}

void Metrics::setMembers(const MemberCounts &counts)
{
    this->members.Add({{"state", "live"}}).Set(counts.live);
    this->members.Add({{"state", "leaving"}}).Set(counts.leaving);
    this->members.Add({{"state", "gone"}}).Set(counts.gone);
    this->members.Add({{"state", "unknown"}}).Set(counts.unknown);
}

void Metrics::setLedger(std::uint64_t entries, std::uint64_t responseBytes)
{
    this->ledgerEntries.Set(static_cast<double>(entries));
    this->ledgerBytes.Set(static_cast<double>(responseBytes));
}

void Metrics::setReady(bool ready)
{
    this->readiness.Set(ready ? 1.0 : 0.0);
}

std::string Metrics::text() const
{
    std::ostringstream out;
    prometheus::TextSerializer().Serialize(out, this->registry.Collect());
    return out.str();
}

std::size_t Metrics::seriesCount() const
{
    std::size_t count = 0;
    for (const prometheus::MetricFamily &family : this->registry.Collect()) {
        count += family.metric.size();
    }
    return count;
}

std::string_view Metrics::serviceLabel(std::string_view name) const
{
    return this->services.contains(name) ? name : otherLabel;
}

std::string_view Metrics::upstreamLabel(std::string_view name) const
{
    if (name.empty()) {
        return name;
    }
    return this->upstreams.contains(name) ? name : otherLabel;
}

} // namespace Galenarack
