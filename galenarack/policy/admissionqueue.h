#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/policy/arrivallimit.h>
#include <galenarack/policy/durationestimate.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Galenarack {

/// A request for a slot of an upstream.
struct AdmissionRequest
{
    std::uint64_t ticket = 0; ///< Identifies the request.
    std::string route; ///< Name of the route.
    std::uint32_t priority = 0; ///< Priority of the route; 0 is the most urgent.
    Duration expected{}; ///< Usual duration of the work, as estimated by the ingress.
    Duration target{}; ///< Latency target of the route.
    TimePoint deadline; ///< Time after which a response has no value.
};

/// Requests that have left the queue in one call of AdmissionQueue::advance().
struct AdmissionOutcome
{
    std::vector<std::uint64_t> granted; ///< Tickets of the requests that hold a slot from now on.
    std::vector<std::uint64_t> expired; ///< Tickets of the requests that were removed: they can no longer meet their deadline.
};

/// Priority queue of the requests that wait for the slots of one upstream.
///
/// Designed for overload, when more work arrives than the slots can finish: the next slot goes to the route with the highest
/// value per second of slot time, and within a route to the oldest request. The slot time of a route is the mean duration of
/// its work on this upstream. Estimates of the ingresses differ, and an order by them would starve the requests of some nodes.
/// Latency targets don't stand in for the slot time: work that other requests wait for may have a long target, although it is
/// short. A request that can no longer meet its deadline is removed.
///
/// An upstream may limit the requests that it takes in a second. A slot is then granted only when the limit has room as well, in the
/// same order.
class AdmissionQueue
{
public:
    /// @param slots number of slots of the upstream
    explicit AdmissionQueue(std::uint32_t slots);

    /// Changes the number of slots. Requests that hold a slot keep it.
    void setSlots(std::uint32_t slots);

    /// Changes the limit of the upstream.
    /// @param perSecond requests per second; without a value there is no limit
    void setLimit(std::optional<double> perSecond, TimePoint now);

    /// @return the limit of the upstream and the requests that have reached it lately
    const ArrivalLimit &limit() const
    {
        return this->arrivals;
    }

    /// Records a health check of the upstream.
    void recordProbe(TimePoint now);

    /// Adds a waiting request.
    void push(const AdmissionRequest &request);

    /// Removes a waiting request.
    /// @return false when the request is not in the queue
    bool remove(std::uint64_t ticket);

    /// Releases a slot.
    /// @param ticket ticket of the request that holds the slot
    void release(std::uint64_t ticket, TimePoint now);

    /// Releases the slot of a request that has not been sent to the upstream, which so does not count for the limit.
    void withdraw(std::uint64_t ticket, TimePoint now);

    /// Records how long the upstream took for a successful request, to estimate the slot time of the route.
    void recordDuration(std::string_view route, Duration duration);

    /// Grants free slots and removes requests that can no longer meet their deadline.
    AdmissionOutcome advance(TimePoint now);

    /// @return estimated wait for a slot, and for room in the limit, if the request was added now; Duration::max() when the limit of the
    ///         upstream is 0
    Duration estimateWait(const AdmissionRequest &request, TimePoint now) const;

    /// @return number of requests that wait for a slot
    std::size_t waiting() const
    {
        return this->queue.size();
    }

    /// @return number of requests that hold a slot
    std::size_t running() const
    {
        return this->active.size();
    }

    /// @return number of slots of the upstream
    std::uint32_t slotCount() const
    {
        return this->slots;
    }

private:
    /// A request that holds a slot.
    struct Running
    {
        TimePoint started;
        AdmissionRequest request;
    };

    /// Slot time that the requests of one route have used recently.
    struct RouteUsage
    {
        AdmissionRequest request; ///< Last request of the route that held a slot.
        double slotSeconds = 0; ///< Used slot time, decayed with its age.
        double requests = 0; ///< Number of requests, decayed with their age.
        TimePoint updated; ///< Time at which the slot time was computed.
    };

    /// Recent use of the upstream by requests of a higher value.
    struct PreferredUse
    {
        double slotShare = 0; ///< Share of the slot time, 0 to 1.
        double requestsPerSecond = 0;
    };

    PreferredUse preferredUse(double density, TimePoint now) const;

    /// @return estimated wait for a slot
    Duration slotWait(double density, const PreferredUse &preferred, TimePoint now) const;

    /// @return estimated wait for room in the limit; Duration::max() when it is 0
    Duration limitWait(double density, const PreferredUse &preferred, TimePoint now) const;

    /// @return value of a request per second of slot time, by which the queue is ordered
    double valueDensity(const AdmissionRequest &request) const;

    std::uint32_t slots;
    ArrivalLimit arrivals;
    DurationEstimate durations; ///< Usual duration of each route's work on this upstream.
    std::vector<AdmissionRequest> queue; ///< Waiting requests, the oldest first.
    std::vector<Running> active; ///< Requests that hold a slot, the oldest grant first.
    std::map<std::string, RouteUsage, std::less<>> usage; ///< Recent use of the slots, by name of the route.
};

/// @param target latency target of the route
/// @param remaining time until the deadline, less the usual duration of the work
/// @return longest wait for a slot that a request accepts. A longer queue does not increase throughput and only makes every
///         response late.
Duration longestUsefulWait(Duration target, Duration remaining);

} // namespace Galenarack
