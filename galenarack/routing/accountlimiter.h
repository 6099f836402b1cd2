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

/// Limits the request rate and the requests in flight of each client account, on the traffic of one ingress.
class AccountLimiter
{
public:
    /// Admits one request. Each admitted request must be followed by a call of finish().
    /// @return ErrorKind::AccountLimited when a limit of the account is reached
    absl::Status admit(const AccountRow &account, TimePoint now);

    /// Records that an admitted request of the account has ended.
    void finish(std::string_view account);

    /// Removes the state of accounts that have no requests in flight and a full token bucket. To be called every few seconds.
    void tick(TimePoint now);

    /// @return number of requests of the account in flight
    std::uint32_t inFlight(std::string_view account) const;

    /// @return number of accounts with state
    std::size_t size() const
    {
        return this->rows.size();
    }

private:
    /// Token bucket and requests in flight of one account.
    struct Row
    {
        std::uint32_t inFlight = 0;
        double tokens = 0.0; ///< Present number of tokens; an admitted request of an account with a rate limit takes one.
        double burst = 0.0; ///< Capacity of the token bucket.
        double ratePerSecond = 0.0; ///< Tokens added per second; 0 when the rate is not limited.
        TimePoint refilledAt; ///< Time of the last refill.
    };

    /// Hash that allows look-up by string_view without a copy.
    struct NameHash
    {
        // NOLINTNEXTLINE(readability-identifier-naming): name required by the standard
        using is_transparent = void;
        std::size_t operator()(std::string_view name) const
        {
            return std::hash<std::string_view>()(name);
        }
    };

    /// Adds the tokens for the time since the last refill.
    static void refill(Row &row, TimePoint now);

    std::unordered_map<std::string, Row, NameHash, std::equal_to<>> rows;
};

} // namespace Galenarack
