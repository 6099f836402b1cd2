#pragma once

#include <galenarack/health/healthevaluationsystem.h>
#include <galenarack/health/observesystem.h>
#include <galenarack/health/reporttable.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace Galenarack::Model {

/// Failure detector that decides on ejections in a run. The baselines are those of section 4.4; each runs separately at every ingress,
/// since none of them shares state.
enum class Detector : std::uint8_t {
    Ours,
    FiveErrors, ///< Five consecutive errors, 10 s sweep, 30 s ejection, at most 10% ejected (at least one).
    FixedThreshold, ///< Moving average of latency over about three responses above 250 ms, 30 s ejection, at most half ejected.
    IngressAlone, ///< The library's health evaluation, run by each ingress over its own requests only.
};

/// Ejects upstreams at one ingress as the baseline `FiveErrors` or `FixedThreshold` does.
class BaselineEjector
{
public:
    BaselineEjector(Detector detector, std::uint32_t upstreams)
        : detector(detector)
        , rows(upstreams)
    {
    }

    void finished(std::uint32_t row, SampleOutcome outcome, Duration latency, TimePoint now)
    {
        Row &state = this->rows[row];
        const bool error = outcome != SampleOutcome::Ok && outcome != SampleOutcome::Cancelled;
        state.consecutiveErrors = error ? state.consecutiveErrors + 1 : 0;
        const auto value = static_cast<double>(latency.count());
        state.average = state.samples == 0 ? value : state.average + (0.3 * (value - state.average));
        ++state.samples;
        if (this->detector == Detector::FixedThreshold && state.samples >= 3 && state.average > 250e3) {
            this->eject(row, this->rows.size() / 2, now);
        }
    }

    /// Sweeps for consecutive errors every 10 s (`FiveErrors` only) and writes the state of each upstream, including ejections that
    /// have ended, into the ingress's table.
    void tick(ReportTable &table, TimePoint now)
    {
        if (this->detector == Detector::FiveErrors && now - this->lastSweep >= std::chrono::seconds(10)) {
            this->lastSweep = now;
            for (std::uint32_t row = 0; row < this->rows.size(); ++row) {
                if (this->rows[row].consecutiveErrors >= 5) {
                    this->eject(row, std::max<std::size_t>(1, this->rows.size() / 10), now);
                }
            }
        }
        for (std::uint32_t row = 0; row < this->rows.size(); ++row) {
            table.rows[row].state = this->rows[row].until > now ? UpstreamState::Ejected : UpstreamState::Serving;
            table.rows[row].weight = 1.0F;
        }
    }

private:
    struct Row
    {
        std::uint32_t consecutiveErrors = 0;
        std::uint32_t samples = 0;
        double average = 0.0;
        TimePoint until;
    };

    void eject(std::uint32_t row, std::size_t limit, TimePoint now)
    {
        const auto ejected = std::count_if(this->rows.begin(), this->rows.end(), [now](const Row &other) {
            return other.until > now;
        });
        if (static_cast<std::size_t>(ejected) < limit && this->rows[row].until <= now) {
            this->rows[row] = {};
            this->rows[row].until = now + std::chrono::seconds(30);
        }
    }

    Detector detector;
    std::vector<Row> rows;
    TimePoint lastSweep;
};

/// Runs the library's health evaluation over the requests of one ingress only.
struct IngressHealthEvaluator
{
    explicit IngressHealthEvaluator(const Document &document, std::uint32_t slots)
        : observe(table)
        , detector(table)
    {
        for (const UpstreamRow &upstream : document.upstreams) {
            this->table.add(upstream.name, slots, document.services[0].profile, UpstreamRule::Judge, TimePoint());
        }
    }
    IngressHealthEvaluator(const IngressHealthEvaluator &) = delete;
    IngressHealthEvaluator &operator=(const IngressHealthEvaluator &) = delete;

    UpstreamTable table;
    ObserveSystem observe;
    HealthEvaluationSystem detector;
};

} // namespace Galenarack::Model
