#include <galenarack/home/slotadmission.h>

#include <galenarack/core/errorkind.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cassert>
#include <vector>

namespace Galenarack {

namespace asio = boost::asio;

SlotAdmission::Claim::~Claim()
{
    if (this->holdsSlot) {
        this->admission->release();
    }
}

void SlotAdmission::Claim::cancel()
{
    if (this->admission != nullptr && !this->holdsSlot && this->admission->queue.remove(this->ticket)) {
        this->admission->wake(this->ticket, &Waiter::cancelled);
    }
}

SlotAdmission::SlotAdmission(asio::any_io_executor executor, std::uint32_t slots, std::size_t queueLimit)
    : executor(std::move(executor))
    , slots(slots)
    , queue(queueLimit)
{
    assert(slots > 0);
}

asio::awaitable<absl::Status> SlotAdmission::acquire(
    Claim &claim, std::string_view account, TimePoint expiry, Duration expectedDuration, bool mayQueue)
{
    const TimePoint now = NodeClock::now();
    if (now >= expiry) {
        co_return makeError(ErrorKind::DeadlinePassed, "the request arrived after its deadline");
    }
    if (this->used < this->slots && this->queue.size() == 0) {
        ++this->used;
        claim.admission = this;
        claim.holdsSlot = true;
        co_return absl::OkStatus();
    }
    if (!mayQueue) {
        co_return makeError(ErrorKind::Overloaded, "no slot of the upstream is free");
    }

    claim.admission = this;
    claim.ticket = this->nextTicket++;
    const auto waiter = std::make_shared<Waiter>(this->executor);
    this->waiters.emplace(claim.ticket, waiter);
    // The expected duration differs by route, so each request is queued until its own latest start time.
    if (const auto dropped = this->queue.push(claim.ticket, account, expiry - expectedDuration)) {
        this->wake(*dropped, &Waiter::dropped);
    }
    waiter->signal.expires_after(expiry - now);
    while (!waiter->granted && !waiter->dropped && !waiter->cancelled && NodeClock::now() < expiry) {
        co_await waiter->signal.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    this->waiters.erase(claim.ticket);
    if (waiter->granted) {
        claim.holdsSlot = true;
        co_return absl::OkStatus();
    }
    this->queue.remove(claim.ticket);
    if (waiter->cancelled) {
        co_return makeError(ErrorKind::DeadlinePassed, "the request was cancelled while it waited for a slot");
    }
    if (waiter->dropped && NodeClock::now() + expectedDuration < expiry) {
        co_return makeError(ErrorKind::Overloaded, "the queue of the upstream is full");
    }
    co_return makeError(ErrorKind::DeadlinePassed, "the request waited too long for a slot of the upstream to meet its deadline");
}

void SlotAdmission::refuseQueued()
{
    for (const auto &[ticket, waiter] : this->waiters) {
        if (this->queue.remove(ticket)) {
            waiter->dropped = true;
            waiter->signal.cancel();
        }
    }
}

void SlotAdmission::setSlots(std::uint32_t slots)
{
    assert(slots > 0);
    this->slots = slots;
    this->grantFreeSlots();
}

void SlotAdmission::release()
{
    --this->used;
    this->grantFreeSlots();
}

void SlotAdmission::grantFreeSlots()
{
    std::vector<FairQueue::Ticket> expired;
    while (this->used < this->slots) {
        const auto ticket = this->queue.pop(NodeClock::now(), Duration::zero(), expired);
        if (!ticket) {
            break;
        }
        ++this->used;
        this->wake(*ticket, &Waiter::granted);
    }
    for (const FairQueue::Ticket ticket : expired) {
        this->wake(ticket, &Waiter::dropped);
    }
}

void SlotAdmission::wake(FairQueue::Ticket ticket, bool Waiter::*result)
{
    const auto entry = this->waiters.find(ticket);
    if (entry != this->waiters.end()) {
        (*entry->second).*result = true;
        entry->second->signal.cancel();
    }
}

} // namespace Galenarack
