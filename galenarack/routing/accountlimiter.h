#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/document/accounttable.h>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace Galenarack {

/// Enforces rate and requests in flight per account on one ingress's own traffic.
class AccountLimiter
{
public:
    /// Admits one request; each admitted request must be followed by finish().
    /// @return AccountLimited when a limit is reached
    absl::Status admit(const AccountRow &account, TimePoint now);

    /// A request of the account ended.
    void finish(std::string_view account);

    /// Forgets accounts without requests in flight whose rate has recovered. Call every few seconds.
    void tick(TimePoint now);

    /// @return requests of the account in flight
    std::uint32_t inFlight(std::string_view account) const;

    /// @return accounts with state
    std::size_t size() const
    {
        return this->rows.size();
    }

private:
    /// State of one account.
    struct Row
    {
        std::uint32_t inFlight = 0;
        double tokens = 0.0;
        double burst = 0.0; ///< Largest number of tokens.
        double ratePerSecond = 0.0;
        TimePoint refilledAt;
    };

    /// Lets the map be searched by string_view without a copy.
    struct NameHash
    {
        // NOLINTNEXTLINE(readability-identifier-naming): name required by the standard
        using is_transparent = void;
        std::size_t operator()(std::string_view name) const
        {
            return std::hash<std::string_view>()(name);
        }
    };

    static void refill(Row &row, TimePoint now);

    std::unordered_map<std::string, Row, NameHash, std::equal_to<>> rows;
};

} // namespace Galenarack
