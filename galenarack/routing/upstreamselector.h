#pragma once

#include <galenarack/health/reporttable.h>

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace Galenarack {

/// Upstream selected for a request.
struct Selection
{
    std::uint32_t row; ///< Index of the upstream in ReportTable::rows.
    bool insist; ///< Whether the request tells the home that the ingress insists on this upstream.
    bool trial; ///< Whether the upstream is on trial. Such a request is hedged early, so that a failed trial delays no caller.
};

/// Selects upstreams by the power of two random choices: the less loaded of two candidates drawn at random by weight. Prefers
/// the ingress's own failure domain while the load there is below a limit.
class UpstreamSelector
{
public:
    /// @param table state of the upstreams; must outlive the selector
    /// @param failureDomain index of the ingress's failure domain in the table, where it may be absent
    /// @param random random number generator for the draws
    UpstreamSelector(const ReportTable &table, std::uint32_t failureDomain, std::mt19937_64 random);

    /// @param service index of the service in the table
    /// @param repeatable whether the request may run more than once, and thus may go to an upstream on trial
    /// @param exclude rows that are not considered, as they have already been tried
    /// @return the selected upstream, or nothing when none is left
    std::optional<Selection> select(std::uint32_t service, bool repeatable, std::span<const std::uint32_t> exclude, TimePoint now);

    /// Sets the index of the ingress's failure domain, which may change with ReportTable::configure().
    void setFailureDomain(std::uint32_t index)
    {
        this->failureDomain = index;
    }

private:
    /// An upstream that can be selected.
    struct Candidate
    {
        std::uint32_t row; ///< Index of the upstream in ReportTable::rows.
        float weight; ///< Relative probability of a draw.
        float load; ///< Requests in flight, queued and sent since the last report, per slot.
        bool local; ///< Whether the upstream is in the ingress's failure domain.
        bool trial; ///< Whether the upstream is on trial.
    };

    /// Fills the candidates with the upstreams of a service that can be selected.
    void collectCandidates(std::uint32_t service, bool repeatable, std::span<const std::uint32_t> exclude, TimePoint now);

    /// Draws a candidate at random by weight.
    /// @param localOnly whether only candidates of the ingress's failure domain are drawn
    /// @param excluded candidate that is not drawn, or null
    /// @return the candidate, or null when there is none to draw
    const Candidate *drawByWeight(bool localOnly, const Candidate *excluded);

    /// Draws two candidates and chooses the one with the lower load relative to its weight. An upstream on trial is chosen only
    /// when it is drawn first.
    /// @param localOnly whether only candidates of the ingress's failure domain are drawn
    /// @return the candidate, or null when there is none to draw; valid until the next collectCandidates()
    const Candidate *drawLessLoaded(bool localOnly);

    Selection toSelection(const Candidate &candidate) const;

    const ReportTable &table;
    std::uint32_t failureDomain;
    std::mt19937_64 random;
    std::vector<Candidate> candidates;
};

} // namespace Galenarack
