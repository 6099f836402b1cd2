#include <galenarack/policy/admissionqueue.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <span>
#include <string>
#include <vector>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

const TimePoint start(std::chrono::hours(1));

AdmissionRequest requestOf(std::uint64_t ticket, std::uint32_t priority, Duration target, Duration expected, TimePoint deadline)
{
    AdmissionRequest request;
    request.ticket = ticket;
    request.priority = priority;
    request.target = target;
    request.expected = expected;
    request.deadline = deadline;
    return request;
}

struct OrderCase
{
    const char *name;
    AdmissionRequest first; ///< Request that is pushed first.
    AdmissionRequest second; ///< Request that is pushed second.
    std::uint64_t expected; ///< Ticket of the request that gets the slot.
};

struct WaitCase
{
    const char *name;
    std::uint32_t slots;
    unsigned running;
    unsigned waiting;
    Duration minWait;
    Duration maxWait;
};

/// Simulated load on one upstream: random arrivals of one route from nodes that differ in their estimates of its duration.
struct LoadScenario
{
    std::uint32_t slots = 3;
    double load = 1.2; ///< Arriving work as a multiple of the capacity of the slots.
    Duration work = 240ms; ///< Mean duration of the work.
    Duration target = 800ms; ///< Latency target of the route.
    Duration deadline = 3s; ///< Time from the arrival of a request to its deadline.
    double spread = 0; ///< Standard deviation of the logarithm of the work's duration.
};

/// One of several routes that load the same upstream.
struct RouteLoad
{
    const char *name;
    std::uint32_t priority;
    Duration target; ///< Latency target.
    Duration work; ///< Duration of the work, the same for all requests.
    double load; ///< Arriving work as a multiple of the capacity of the slots.
    double maxRefusedShare; ///< Upper bound of the share of the requests that are refused.
};

struct RouteResult
{
    double refused = 0; ///< Share of the requests that were refused on arrival.
    double late = 0; ///< Share of the requests that were answered after the latency target, or never.
};

struct SimulationResult
{
    unsigned arrivals = 0; ///< Number of requests that arrived.
    unsigned onTime = 0; ///< Number of responses within the latency target.
    unsigned late = 0; ///< Number of responses after the latency target.
    unsigned refused = 0; ///< Number of requests that were refused on arrival.
    unsigned expired = 0; ///< Number of requests that were removed from the queue after a wait.
};

SimulationResult simulate(const LoadScenario &scenario, unsigned seed)
{
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(scenario.load * scenario.slots / std::chrono::duration<double>(scenario.work).count());
    std::uniform_real_distribution<double> estimate(0.8, 1.25);
    // The mean of the log-normal factor is 1 for every spread.
    std::lognormal_distribution<double> factor(-scenario.spread * scenario.spread / 2, scenario.spread);
    const Duration maxQueueWait = longestUsefulWait(scenario.target, scenario.deadline - scenario.work);
    AdmissionQueue queue(scenario.slots);
    SimulationResult result;
    std::multimap<TimePoint, std::uint64_t> ends;
    std::map<std::uint64_t, TimePoint> arrivals;
    TimePoint now = start;
    const auto advance = [&](TimePoint at) {
        const AdmissionOutcome outcome = queue.advance(at);
        for (const std::uint64_t ticket : outcome.granted) {
            ends.emplace(at + std::chrono::duration_cast<Duration>(scenario.work * factor(random)), ticket);
        }
        result.expired += static_cast<unsigned>(outcome.expired.size());
    };
    for (std::uint64_t ticket = 1; ticket <= 4000; ++ticket) {
        now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto [end, ended] = *ends.begin();
            ends.erase(ends.begin());
            queue.release(ended, end);
            (end - arrivals[ended] <= scenario.target ? result.onTime : result.late) += 1;
            advance(end);
        }
        ++result.arrivals;
        arrivals[ticket] = now;
        const auto expected = std::chrono::duration_cast<Duration>(scenario.work * estimate(random));
        const AdmissionRequest request = requestOf(ticket, 1, scenario.target, expected, now + scenario.deadline);
        if (queue.estimateWait(request, now) > maxQueueWait) {
            ++result.refused;
            continue;
        }
        queue.push(request);
        advance(now);
    }
    return result;
}

/// Offers the requests of all routes, which arrive at random, to one upstream for 60 s.
/// @return shares of the requests that were refused and answered late, by route
std::vector<RouteResult> simulateRoutes(std::span<const RouteLoad> routes, std::uint32_t slots, unsigned seed)
{
    struct Arrival
    {
        TimePoint at;
        std::size_t route;
    };
    std::mt19937_64 random(seed);
    std::vector<Arrival> arrivals;
    std::vector<unsigned> counts(routes.size());
    for (std::size_t route = 0; route < routes.size(); ++route) {
        std::exponential_distribution<double> gap(routes[route].load * slots / std::chrono::duration<double>(routes[route].work).count());
        TimePoint at = start;
        while (at < start + 60s) {
            at += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
            arrivals.push_back({at, route});
            ++counts[route];
        }
    }
    std::ranges::sort(arrivals, {}, &Arrival::at);
    AdmissionQueue queue(slots);
    std::multimap<TimePoint, std::uint64_t> ends;
    std::vector<RouteResult> results(routes.size());
    const auto advance = [&](TimePoint now) {
        for (const std::uint64_t ticket : queue.advance(now).granted) {
            ends.emplace(now + routes[arrivals[ticket].route].work, ticket);
        }
    };
    for (std::uint64_t ticket = 0; ticket < arrivals.size(); ++ticket) {
        const TimePoint now = arrivals[ticket].at;
        while (!ends.empty() && ends.begin()->first <= now) {
            const auto [end, ended] = *ends.begin();
            ends.erase(ends.begin());
            queue.release(ended, end);
            const RouteLoad &route = routes[arrivals[ended].route];
            if (end - arrivals[ended].at <= route.target) {
                results[arrivals[ended].route].late -= 1.0 / counts[arrivals[ended].route];
            }
            queue.recordDuration(route.name, route.work);
            advance(end);
        }
        const RouteLoad &route = routes[arrivals[ticket].route];
        AdmissionRequest request = requestOf(ticket, route.priority, route.target, route.work, now + 10s);
        request.route = route.name;
        if (queue.estimateWait(request, now) > longestUsefulWait(route.target, 10s - route.work)) {
            results[arrivals[ticket].route].refused += 1.0 / counts[arrivals[ticket].route];
            continue;
        }
        results[arrivals[ticket].route].late += 1.0 / counts[arrivals[ticket].route];
        queue.push(request);
        advance(now);
    }
    return results;
}

} // namespace

class AdmissionQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionQueueTest);
    CPPUNIT_TEST(grantsByValue);
    CPPUNIT_TEST(estimatesWait);
    CPPUNIT_TEST(dropsRequestsThatCannotFinish);
    CPPUNIT_TEST(servesAcceptedRequestsUnderOverload);
    CPPUNIT_TEST(servesOnTimeUnderOverload);
    CPPUNIT_TEST(servesShortWorkBeforeLongUnderOverload);
    CPPUNIT_TEST(limitIsUsedInTheOrderOfValue);
    CPPUNIT_TEST(estimatesWaitForLimit);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a limit whose room goes to the oldest requests instead of the most valuable ones, and against slots that are granted
    /// beyond it.
    void limitIsUsedInTheOrderOfValue()
    {
        AdmissionQueue queue(8);
        queue.setLimit(1.0, start);
        queue.push(requestOf(1, 2, 800ms, 200ms, start + 30s));
        queue.push(requestOf(2, 0, 800ms, 200ms, start + 30s));
        queue.push(requestOf(3, 1, 800ms, 200ms, start + 30s));
        CPPUNIT_ASSERT(queue.advance(start).granted.empty());
        std::vector<std::uint64_t> order;
        for (TimePoint now = start; now < start + 4s; now += 100ms) {
            for (const std::uint64_t ticket : queue.advance(now).granted) {
                order.push_back(ticket);
            }
        }
        CPPUNIT_ASSERT((order == std::vector<std::uint64_t>{2, 3, 1}));
    }

    /// Guards against requests that wait in vain at a limited upstream, and against ones that are turned away although it has room.
    void estimatesWaitForLimit()
    {
        AdmissionQueue queue(8);
        const AdmissionRequest request = requestOf(9, 1, 800ms, 200ms, start + 30s);
        CPPUNIT_ASSERT(queue.estimateWait(request, start) == Duration::zero());
        queue.setLimit(0.5, start);
        CPPUNIT_ASSERT(queue.estimateWait(request, start) == Duration(2s));
        queue.push(requestOf(1, 0, 800ms, 200ms, start + 30s));
        CPPUNIT_ASSERT(queue.estimateWait(request, start) == Duration(4s));
        queue.push(requestOf(2, 3, 800ms, 200ms, start + 30s));
        CPPUNIT_ASSERT(queue.estimateWait(request, start) == Duration(4s));
        queue.setLimit(0, start);
        CPPUNIT_ASSERT(queue.estimateWait(request, start) == Duration::max());
        queue.setLimit(std::nullopt, start);
        CPPUNIT_ASSERT(queue.estimateWait(request, start) < Duration(1s));
        // A request that was withdrawn before it was sent leaves its room.
        queue.setLimit(1.0, start);
        const auto granted = queue.advance(start + 1s).granted;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, granted.size());
        queue.withdraw(granted.front(), start + 1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.advance(start + 1s).granted.size());
    }

    /// Guards against urgent or short work that waits behind long work, and against a node with higher estimates of the duration
    /// whose requests are starved by those of other nodes.
    void grantsByValue()
    {
        const TimePoint later = start + 10s;
        const OrderCase cases[] = {
            {"more urgent", requestOf(1, 2, 800ms, 300ms, later), requestOf(2, 1, 800ms, 300ms, later), 2},
            {"shorter target", requestOf(1, 1, 1500ms, 600ms, later), requestOf(2, 1, 300ms, 100ms, later), 2},
            {"oldest within a route", requestOf(1, 1, 800ms, 320ms, later), requestOf(2, 1, 800ms, 280ms, later), 1},
        };
        for (const OrderCase &row : cases) {
            AdmissionQueue queue(1);
            queue.push(row.first);
            queue.push(row.second);
            const AdmissionOutcome outcome = queue.advance(start);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::size_t(1), outcome.granted.size());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.expected, outcome.granted.front());
        }
    }

    /// Guards against an estimated wait for the first free slot that adds up the work of all slots.
    void estimatesWait()
    {
        const WaitCase cases[] = {
            {"free slot", 3, 2, 0, 0ms, 0ms},
            {"all busy", 3, 3, 0, 50ms, 120ms},
            {"many slots busy", 7, 7, 0, 20ms, 60ms},
            {"three ahead", 3, 3, 3, 300ms, 420ms},
        };
        for (const WaitCase &row : cases) {
            AdmissionQueue queue(row.slots);
            for (std::uint64_t ticket = 1; ticket <= row.running + row.waiting; ++ticket) {
                queue.push(requestOf(ticket, 1, 800ms, 300ms, start + 60s));
            }
            queue.advance(start);
            const Duration wait = queue.estimateWait(requestOf(99, 1, 800ms, 300ms, start + 60s), start);
            CPPUNIT_ASSERT_MESSAGE(row.name, wait >= row.minWait && wait <= row.maxWait);
        }
    }

    /// Guards against slots that are spent on work which cannot finish before its deadline.
    void dropsRequestsThatCannotFinish()
    {
        AdmissionQueue queue(1);
        queue.push(requestOf(1, 1, 800ms, 400ms, start + 10s));
        queue.push(requestOf(2, 1, 800ms, 400ms, start + 300ms));
        queue.advance(start);
        const AdmissionOutcome outcome = queue.advance(start + 150ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), outcome.expired.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), outcome.expired.front());
        CPPUNIT_ASSERT(!queue.remove(2));
    }

    /// Guards against requests that wait for seconds and are then refused, and against responses that are all late, at 1.2 and 2
    /// times the capacity of the slots.
    void servesAcceptedRequestsUnderOverload()
    {
        for (const double load : {1.2, 2.0}) {
            for (unsigned seed = 1; seed <= 5; ++seed) {
                LoadScenario scenario;
                scenario.load = load;
                const SimulationResult result = simulate(scenario, seed);
                CPPUNIT_ASSERT_EQUAL(0U, result.expired);
                // The slots stay busy: throughput is close to their capacity.
                CPPUNIT_ASSERT(result.onTime + result.late >= 0.95 * result.arrivals / load);
                CPPUNIT_ASSERT(result.late <= 0.3 * result.arrivals);
            }
        }
    }

    /// Guards against a queue so long that it adds no throughput and only makes accepted requests late, under overload with work
    /// of very unequal duration: at least 95% of the responses must be on time.
    void servesOnTimeUnderOverload()
    {
        for (const double load : {1.3, 1.8}) {
            LoadScenario scenario;
            scenario.load = load;
            scenario.slots = 7;
            scenario.work = 860ms; // Includes the work of the requests that it sends on.
            scenario.target = 2500ms;
            scenario.deadline = 6s;
            scenario.spread = 0.5;
            SimulationResult sum;
            for (unsigned seed = 1; seed <= 5; ++seed) {
                const SimulationResult result = simulate(scenario, seed);
                sum.arrivals += result.arrivals;
                sum.onTime += result.onTime;
                sum.late += result.late;
            }
            CPPUNIT_ASSERT(sum.onTime + sum.late >= 0.95 * sum.arrivals / load);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(sum.late) + " late, " + std::to_string(sum.onTime) + " on time",
                                   sum.late <= 0.05 * (sum.onTime + sum.late));
        }
    }

    /// Guards against short work that other requests wait for, and that fits into the slots by itself, being refused because long
    /// work holds them, and against long work that is accepted although the short work that arrives meanwhile makes it late. Half
    /// of the upstreams of a service are gone, and the two routes together need 1.2 times the slots that are left.
    void servesShortWorkBeforeLongUnderOverload()
    {
        constexpr double maxLateShare = 0.05;
        const struct
        {
            const char *name;
            std::vector<RouteLoad> routes;
        } cases[] = {
            {"long work is more urgent", {{"settle", 0, 2500ms, 860ms, 0.6, 0.45}, {"tariff", 1, 1500ms, 310ms, 0.6, 0.02}}},
            {"same urgency and target", {{"book", 1, 5s, 1650ms, 0.7, 0.45}, {"meter", 1, 5s, 310ms, 0.5, 0.02}}},
        };
        for (const auto &row : cases) {
            for (unsigned seed = 1; seed <= 5; ++seed) {
                const std::vector<RouteResult> results = simulateRoutes(row.routes, 15, seed);
                for (std::size_t route = 0; route < results.size(); ++route) {
                    const RouteResult &result = results[route];
                    const std::string message = std::string(row.name) + ", " + row.routes[route].name + ": refused "
                                                + std::to_string(result.refused) + ", late " + std::to_string(result.late);
                    CPPUNIT_ASSERT_MESSAGE(message, result.refused <= row.routes[route].maxRefusedShare);
                    CPPUNIT_ASSERT_MESSAGE(message, result.late <= maxLateShare);
                }
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueTest);
