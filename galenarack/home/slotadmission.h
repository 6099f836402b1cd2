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

/// Admits requests to the slots of one upstream: never more at a time than there are slots. Queues requests while all slots
/// are in use.
class SlotAdmission
{
public:
    /// @param slots number of requests that the upstream runs at the same time, at least 1
    /// @param queueLimit maximum number of waiting requests, at least 1
    SlotAdmission(boost::asio::any_io_executor executor, std::uint32_t slots, std::size_t queueLimit);

    /// A request's claim on a slot, queued or granted. Releases a granted slot on destruction.
    class Claim
    {
    public:
        Claim() = default;
        ~Claim();
        Claim(const Claim &) = delete;
        Claim &operator=(const Claim &) = delete;

        /// Removes the request from the queue, so that acquire() returns DeadlinePassed. Has no effect once a slot is granted.
        void cancel();

    private:
        friend class SlotAdmission;
        SlotAdmission *admission = nullptr;
        FairQueue::Ticket ticket = 0;
        bool holdsSlot = false;
    };

    /// Acquires a slot, waiting for one if necessary.
    /// @param claim holds the slot when the result is ok; must outlive the call
    /// @param expiry deadline of the request
    /// @param expectedDuration typical run time of the work; a waiting request that can no longer be completed before
    ///        `expiry` is dropped
    /// @param mayQueue whether the request may wait; when false and no slot is free, the call returns Overloaded at once
    /// @return ok, or Overloaded or DeadlinePassed when no slot was acquired and the work must not be started
    boost::asio::awaitable<absl::Status> acquire(
        Claim &claim, std::string_view account, TimePoint expiry, Duration expectedDuration, bool mayQueue);

    /// Drops all waiting requests. Their acquire() returns Overloaded, so that the ingress can send them to another upstream,
    /// or DeadlinePassed when it is too late for that.
    void refuseQueued();

    /// Changes the number of slots, for example after a new revision, and grants free ones to waiting requests. Requests
    /// that hold a slot keep it, even above the new number.
    void setSlots(std::uint32_t slots);

    /// Changes the maximum number of waiting requests. Requests that are already waiting stay, even above the new limit.
    void setQueueLimit(std::size_t limit)
    {
        this->queue.setLimit(limit);
    }

    /// @return number of slots in use
    std::uint32_t inFlight() const
    {
        return this->used;
    }

    /// @return number of waiting requests
    std::size_t queued() const
    {
        return this->queue.size();
    }

    /// @return number of slots of the upstream
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
    std::uint32_t slots; ///< Number of requests that the upstream runs at the same time.
    std::uint32_t used = 0; ///< Number of slots in use; above `slots` for a time after the number of slots was reduced.
    FairQueue queue;
    std::map<FairQueue::Ticket, std::shared_ptr<Waiter>> waiters;
    FairQueue::Ticket nextTicket = 1;
};

} // namespace Galenarack
