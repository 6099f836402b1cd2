#pragma once

#include <galenarack/health/reporttable.h>

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace Galenarack {

/// Where a request goes.
struct Selection
{
    std::uint32_t row; ///< Index into ReportTable::rows.
    bool insist; ///< The request states that the ingress insists.
    bool trial; ///< The upstream is on trial; the forwarder hedges the request soon, so that a failed trial delays no caller.
};

/// Selects an upstream by two random candidates, same failure domain first while it has room.
class UpstreamSelector
{
public:
    /// @param table outlives the selector
    /// @param failureDomain index of the ingress's failure domain in the table; it may be absent from it
    UpstreamSelector(const ReportTable &table, std::uint32_t failureDomain, std::mt19937_64 random);

    /// @param repeatable repeatable requests may go to an upstream on trial
    /// @param exclude rows already tried
    /// @return nothing when no upstream is left
    std::optional<Selection> select(std::uint32_t service, bool repeatable, std::span<const std::uint32_t> exclude, TimePoint now);

    /// Moves the ingress to another failure domain index, after ReportTable::configure().
    void setFailureDomain(std::uint32_t index)
    {
        this->failureDomain = index;
    }

private:
    /// An upstream that can be selected.
    struct Candidate
    {
        std::uint32_t row;
        float weight;
        float load; ///< Work per slot.
        bool local;
        bool trial;
    };

    void collectCandidates(std::uint32_t service, bool repeatable, std::span<const std::uint32_t> exclude, TimePoint now);
    const Candidate *drawByWeight(bool localOnly, const Candidate *excluded);
    const Candidate *drawLessLoaded(bool localOnly);
    Selection toSelection(const Candidate &candidate) const;

    const ReportTable &table;
    std::uint32_t failureDomain;
    std::mt19937_64 random;
    std::vector<Candidate> candidates;
};

} // namespace Galenarack
