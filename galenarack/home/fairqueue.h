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

/// Requests that wait for a slot of one upstream, served round robin between accounts, so that an account with many
/// requests cannot starve the others. Bounded: when it is full, the account that waits most loses its newest request.
class FairQueue
{
public:
    /// Names one waiting request.
    using Ticket = std::uint64_t;

    /// @param limit requests that may wait, at least 1
    explicit FairQueue(std::size_t limit);

    /// Adds a request.
    /// @param expiry the request is not handed out from then on
    /// @return the ticket that was dropped to stay within the limit, if any; it may be the new one
    std::optional<Ticket> push(Ticket ticket, std::string_view account, TimePoint expiry);

    /// Takes the next request that can still be in time.
    /// @param expectedDuration time that the work takes; requests that expire before `now + needed` are skipped and moved to `expired`
    /// @return nothing when no such request waits
    std::optional<Ticket> pop(TimePoint now, Duration expectedDuration, std::vector<Ticket> &expired);

    /// Takes a request out, for example because it was cancelled.
    /// @return whether it was waiting
    bool remove(Ticket ticket);

    /// Changes the limit; requests that wait already stay.
    void setLimit(std::size_t limit)
    {
        assert(limit > 0);
        this->limit = limit;
    }

    /// @return requests waiting
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

    std::list<Account> accounts; ///< Accounts with waiting requests, the next to be served first.
    std::size_t limit;
    std::size_t waitingCount = 0;
};

} // namespace Galenarack
