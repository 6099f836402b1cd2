#include <galenarack/policy/admissionqueue.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>

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
            queue.release(ended);
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

} // namespace

class AdmissionQueueTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AdmissionQueueTest);
    CPPUNIT_TEST(grantsByValue);
    CPPUNIT_TEST(estimatesWait);
    CPPUNIT_TEST(dropsRequestsThatCannotFinish);
    CPPUNIT_TEST(servesAcceptedRequestsUnderOverload);
    CPPUNIT_TEST(servesOnTimeUnderOverload);
    CPPUNIT_TEST_SUITE_END();

public:
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionQueueTest);
