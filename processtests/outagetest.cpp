#include "support/platformfleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>
#include <string>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr unsigned nodeCount = 4;

/// Node that is cut off, and whose upstream leaves.
constexpr unsigned cutNode = 1;

/// Longest time from the removal of an entry until its upstream gets no new requests.
constexpr Milliseconds drainTime = 2000ms;

/// Time after the end of a fault from which the bounds hold again, in the bounds of most deployments.
constexpr Milliseconds usualSettleTime = 3000ms;

/// Time by which the stand-ins may be late.
constexpr Milliseconds margin = 50ms;

/// Faults of the path to the registry, or of the registry.
enum class Fault : std::uint8_t {
    NodeRefused, ///< The registry refuses the connections of one node.
    NodeSilent, ///< Nothing passes between one node and the registry; connections of that time stay silent.
    AllRefused, ///< The registry refuses the connections of all nodes.
    AllRejected, ///< The registry answers all calls with 503.
};

void setFault(PlatformFleet &fleet, Fault fault, bool isOn)
{
    switch (fault) {
    case Fault::NodeRefused:
        fleet.setPathAccepting(cutNode, PlatformFleet::Path::Registry, !isOn);
        break;
    case Fault::NodeSilent:
        fleet.setPathFault(cutNode, PlatformFleet::Path::Registry, {isOn, isOn, 0us}, false);
        break;
    case Fault::AllRefused:
        fleet.registry.setReachable(!isOn);
        break;
    case Fault::AllRejected:
        fleet.registry.setRejection(isOn ? 503 : 0);
        break;
    }
}

std::string boundsWithSettleTime(Milliseconds settleTime)
{
    auto bounds = nlohmann::ordered_json::parse(boundsAsTable(6));
    bounds["stable-window-ms"] = settleTime.count();
    return bounds.dump();
}

/// Caller of one node that sends non-idempotent requests one after the other.
class SteadyCaller
{
public:
    SteadyCaller(PlatformFleet &fleet, unsigned node)
        : fleet(fleet)
    {
        asio::co_spawn(
            fleet.context,
            [this, node]() -> asio::awaitable<void> {
                co_await this->run(node);
            },
            asio::detached);
    }

    ~SteadyCaller()
    {
        this->stopping = true;
        while (!this->stopped) {
            this->fleet.runFor(20ms);
        }
    }
    SteadyCaller(const SteadyCaller &) = delete;
    SteadyCaller &operator=(const SteadyCaller &) = delete;

    /// @return number of requests that were sent later than `from` and reached the upstream later than `bound`
    unsigned arrivals(const PlatformUpstream &upstream, Clock::time_point from, Clock::time_point bound) const
    {
        unsigned count = 0;
        for (const PlatformUpstream::Arrival &arrival : upstream.arrivals) {
            const auto sent = this->sentAt.find(arrival.requestId);
            count += sent != this->sentAt.end() && sent->second > from && arrival.at > bound ? 1 : 0;
        }
        return count;
    }

private:
    asio::awaitable<void> run(unsigned node)
    {
        asio::steady_timer timer(this->fleet.context);
        for (unsigned i = 0; !this->stopping; ++i) {
            const std::string id = "w" + std::to_string(i);
            this->sentAt[id] = Clock::now();
            co_await this->fleet.send(node, "POST", "/write/x", id, 2000ms);
            timer.expires_after(20ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        this->stopped = true;
    }

    PlatformFleet &fleet;
    std::map<std::string, Clock::time_point> sentAt; ///< By request id.
    bool stopping = false;
    bool stopped = false;
};

/// An upstream that leaves around a fault.
struct Leave
{
    const char *name;
    Fault fault;
    Milliseconds duration; ///< Length of the fault.
    Milliseconds at; ///< When the entry is removed, counted from the begin of the fault.
    Milliseconds settleTime; ///< Time after the fault from which the bounds hold again.
    bool isDrainingFirst = false; ///< Whether the entry says `draining` for 0.3 s before.
    bool isHistoryLost = false; ///< Whether the registry discards its history at the end of the fault.
    Milliseconds changeInterval{}; ///< Time between changes of another entry from the end of the fault on, 0 for none.
};

} // namespace

/// Upstreams that leave around an outage of the registry, or while a node is cut off from it.
class OutageTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OutageTest);
    CPPUNIT_TEST(removesUpstreamsOnceBoundsHoldAgain);
    CPPUNIT_TEST(removesUpstreamsBesideOtherChanges);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests to an upstream that has left, sent by a node that defers the removal beyond the time after which the
    /// bounds hold again: it counts the deferral from when it reaches the registry, not from the end of the outage.
    void removesUpstreamsOnceBoundsHoldAgain()
    {
        const Leave table[] = {
            {"node refused, leaves in the cut", Fault::NodeRefused, 4000ms, 1500ms, 2000ms},
            {"node silent, leaves in the cut", Fault::NodeSilent, 4000ms, 1500ms, 2000ms},
            {"node silent, usual bounds", Fault::NodeSilent, 4500ms, 1500ms, usualSettleTime},
            {"node silent, drains and leaves in the cut", Fault::NodeSilent, 4000ms, 1500ms, 2000ms, true},
            {"node silent, leaves in the cut, history lost", Fault::NodeSilent, 4000ms, 1500ms, 2000ms, false, true},
            {"node silent, leaves after the cut", Fault::NodeSilent, 4000ms, 4200ms, 2000ms},
            {"node silent for short, leaves in the cut", Fault::NodeSilent, 1300ms, 1000ms, 2000ms},
            {"registry away, leaves just before", Fault::AllRefused, 4000ms, 0ms, 2000ms},
            {"registry rejects calls, leaves just before", Fault::AllRejected, 4000ms, 0ms, 2000ms},
        };
        for (const Leave &row : table) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 0U, countLateArrivals(row));
        }
    }

    /// Guards against a deferred removal that is due, but applied only with the next reply of the registry: a node waits between two
    /// calls while entries change.
    void removesUpstreamsBesideOtherChanges()
    {
        const Leave table[] = {
            {"frequent changes", Fault::NodeSilent, 4000ms, 1500ms, 2000ms, false, false, 50ms},
            {"frequent changes, usual bounds", Fault::NodeRefused, 4000ms, 1500ms, usualSettleTime, false, false, 50ms},
            {"changes now and then", Fault::NodeRefused, 4000ms, 1500ms, 2000ms, false, false, 400ms},
        };
        for (const Leave &row : table) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 0U, countLateArrivals(row));
        }
    }

private:
    /// Plays a fault beside a caller of the node that is cut off.
    /// @return number of requests to the upstream that break the bound on removals
    static unsigned countLateArrivals(const Leave &leave)
    {
        PlatformFleet fleet(nodeCount);
        fleet.bounds = boundsWithSettleTime(leave.settleTime);
        CPPUNIT_ASSERT(fleet.startAll());
        fleet.runFor(500ms);
        PlatformUpstream &upstream = *fleet.upstreams[cutNode];
        const SteadyCaller caller(fleet, cutNode);
        fleet.runFor(500ms);
        CPPUNIT_ASSERT_MESSAGE(leave.name, !upstream.arrivals.empty());

        const auto begin = Clock::now();
        const auto runUntil = [&fleet, begin](Milliseconds time) {
            fleet.runFor(std::max(std::chrono::ceil<Milliseconds>(begin + time - Clock::now()), 0ms));
        };
        auto left = begin;
        const auto remove = [&fleet, &upstream, &left] {
            fleet.registry.remove("servers/" + upstream.id);
            left = Clock::now();
        };
        const auto leaveAtTime = [&fleet, &leave, &runUntil, &remove] {
            runUntil(leave.at);
            if (leave.isDrainingFirst) {
                fleet.publishEntry(cutNode, "draining");
                fleet.runFor(300ms);
            }
            remove();
        };
        if (leave.at == 0ms) {
            // The fault begins before any node reads the removal.
            remove();
        }
        setFault(fleet, leave.fault, true);
        if (leave.at > 0ms && leave.at < leave.duration) {
            leaveAtTime();
        }
        runUntil(leave.duration);
        if (leave.isHistoryLost) {
            fleet.registry.forgetHistory();
        }
        setFault(fleet, leave.fault, false);
        const auto settled = Clock::now() + leave.settleTime;
        if (leave.at >= leave.duration) {
            leaveAtTime();
        }
        const Milliseconds last = leave.duration + leave.settleTime + 1500ms;
        for (Milliseconds at = leave.duration; leave.changeInterval > 0ms && at < last; at += leave.changeInterval) {
            fleet.publishEntry(0, "ready");
            runUntil(at);
        }
        runUntil(last);
        return caller.arrivals(upstream, settled + margin, std::max(settled, left + drainTime) + margin);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OutageTest);
