#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/home/fairqueue.h>

#include <absl/status/status.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string_view>

namespace Galenarack {

/// Counts the slots of one upstream exactly and queues requests that find none free.
class SlotAdmission
{
public:
    /// @param slots requests that the upstream runs at the same time, at least 1
    /// @param queueLimit requests that may wait, at least 1
    SlotAdmission(boost::asio::any_io_executor executor, std::uint32_t slots, std::size_t queueLimit);

    /// A request's claim on a slot. Lets the request leave the queue early and the slot be released once.
    class Claim
    {
    public:
        Claim() = default;
        ~Claim();
        Claim(const Claim &) = delete;
        Claim &operator=(const Claim &) = delete;

        /// Leaves the queue; acquire() then returns DeadlinePassed.
        void cancel();

    private:
        friend class SlotAdmission;
        SlotAdmission *admission = nullptr;
        FairQueue::Ticket ticket = 0;
        bool holdsSlot = false;
    };

    /// Waits for a slot.
    /// @param expectedDuration time that the work usually takes; a request that could not end in time is dropped
    /// @param mayQueue when false and no slot is free, returns at once
    /// @return ok and `claim` holds a slot; Overloaded or DeadlinePassed: the work was not started
    boost::asio::awaitable<absl::Status> acquire(
        Claim &claim, std::string_view account, TimePoint expiry, Duration expectedDuration, bool mayQueue);

    /// Sends all waiting requests away; acquire() returns Overloaded, so that another upstream can take them.
    void refuseQueued();

    /// Changes the number of slots, for example with a new revision.
    void setSlots(std::uint32_t slots);

    /// Changes how many requests may wait; those that wait already stay.
    void setQueueLimit(std::size_t limit)
    {
        this->queue.setLimit(limit);
    }

    /// @return slots in use
    std::uint32_t inFlight() const
    {
        return this->used;
    }

    /// @return requests waiting
    std::size_t queued() const
    {
        return this->queue.size();
    }

    /// @return slots of the upstream
    std::uint32_t slotCount() const
    {
        return this->slots;
    }

private:
    struct Waiter
    {
        explicit Waiter(const boost::asio::any_io_executor &executor)
            : signal(executor)
        {
        }
        boost::asio::steady_timer signal;
        bool granted = false;
        bool dropped = false;
        bool cancelled = false;
    };

    void release();
    void wake(FairQueue::Ticket ticket, bool Waiter::*result);
    void grantFreeSlots();

    boost::asio::any_io_executor executor;
    std::uint32_t slots;
    std::uint32_t used = 0;
    FairQueue queue;
    std::map<FairQueue::Ticket, std::shared_ptr<Waiter>> waiters;
    FairQueue::Ticket nextTicket = 1;
};

} // namespace Galenarack
