#pragma once

#include <galenarack/core/clock.h>

#include <cassert>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// Bounded queue of the requests that wait for a slot of one upstream. Serves accounts round robin, so that an account with
/// many requests cannot starve the others. When the queue is full, the account with the most waiting requests loses its
/// newest one.
class FairQueue
{
public:
    /// Identifies one waiting request.
    using Ticket = std::uint64_t;

    /// @param limit maximum number of waiting requests, at least 1
    explicit FairQueue(std::size_t limit);

    /// Adds a request.
    /// @param expiry time from which on pop() no longer returns the request
    /// @return the ticket that was dropped to stay within the limit, if any; it may be the new one
    std::optional<Ticket> push(Ticket ticket, std::string_view account, TimePoint expiry);

    /// Removes and returns the next request that can still be completed before its expiry.
    /// @param expectedDuration expected run time of the work; requests that expire by `now + expectedDuration` are removed
    ///        and appended to `expired`
    /// @return the ticket, or nothing when no such request waits
    std::optional<Ticket> pop(TimePoint now, Duration expectedDuration, std::vector<Ticket> &expired);

    /// Removes a request, for example because it was cancelled.
    /// @return whether the request was waiting
    bool remove(Ticket ticket);

    /// Changes the maximum number of waiting requests. Requests that are already waiting stay, even above the new limit.
    void setLimit(std::size_t limit)
    {
        assert(limit > 0);
        this->limit = limit;
    }

    /// @return number of waiting requests, of all accounts
    std::size_t size() const
    {
        return this->waitingCount;
    }

private:
    struct Entry
    {
        Ticket ticket;
        TimePoint expiry;
    };
    struct Account
    {
        std::string name;
        std::deque<Entry> entries;
    };

    std::list<Account> accounts; ///< Accounts with waiting requests, in the order in which they are served.
    std::size_t limit; ///< Maximum number of waiting requests.
    std::size_t waitingCount = 0; ///< Number of waiting requests of all accounts.
};

} // namespace Galenarack
