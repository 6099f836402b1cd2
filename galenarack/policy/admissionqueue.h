#pragma once

#include <galenarack/core/clock.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace Galenarack {

/// A request that wants a slot of an upstream.
struct AdmissionRequest
{
    std::uint64_t ticket = 0; ///< Names the request.
    std::uint32_t priority = 0; ///< Of its route; 0 is the most urgent.
    Duration expected{}; ///< Usual duration of the work.
    Duration target{}; ///< Latency target of its route: short for short work.
    TimePoint deadline; ///< A response after it has none.
};

/// What became of waiting requests.
struct AdmissionOutcome
{
    std::vector<std::uint64_t> granted; ///< Hold a slot from now on.
    std::vector<std::uint64_t> expired; ///< Can no longer end in time; they were not run.
};

/// Order in which requests wait for the slots of one upstream.
///
/// Answers overload, when more work arrives than the slots can finish: the next slot goes to the route with the highest value
/// per second of slot time, within a route to the oldest request. The target of the route stands for the slot time: estimates
/// differ between nodes, and an order by them would let small differences starve a request. Work that other work waits for is
/// short and urgent, so it goes first. A request that can no longer meet its deadline leaves.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(std::uint32_t slots);

    /// Changes the number of slots; running work is not affected.
    void setSlots(std::uint32_t slots);

    /// Adds a waiting request.
    void push(const AdmissionRequest &request);

    /// Removes a request that waits.
    /// @return false when it does not wait
    bool remove(std::uint64_t ticket);

    /// Gives a slot back.
    /// @param ticket of the request that held it
    void release(std::uint64_t ticket);

    /// Grants free slots and drops requests that can no longer end in time.
    AdmissionOutcome advance(TimePoint now);

    /// @return how long a request would wait if it was added now
    Duration estimateWait(const AdmissionRequest &request, TimePoint now) const;

    std::size_t waiting() const
    {
        return this->queue.size();
    }

    std::size_t running() const
    {
        return this->active.size();
    }

    std::uint32_t slotCount() const
    {
        return this->slots;
    }

private:
    struct Running
    {
        std::uint64_t ticket = 0;
        TimePoint started;
        Duration expected{};
    };

    std::uint32_t slots;
    std::vector<AdmissionRequest> queue;
    std::vector<Running> active;
};

/// @param target latency target of the route
/// @param remaining time until the deadline, less the usual duration of the work
/// @return longest wait for a slot that a request accepts. A queue that is longer serves nobody better: it only makes every
///         response late.
Duration longestUsefulWait(Duration target, Duration remaining);

/// @return value that a request earns per second of slot time; the order of an AdmissionQueue
double valueDensity(const AdmissionRequest &request);

} // namespace Galenarack
