#include "support/platformfleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

/// Second copies of idempotent requests that run for longer than usual.
class HedgeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HedgeTest);
    CPPUNIT_TEST(hedgeRunsAtAnotherUpstream);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a hedge that goes to the upstream that already runs the request: it costs a repeat and cannot answer sooner.
    void hedgeRunsAtAnotherUpstream()
    {
        const struct
        {
            const char *name;
            unsigned nodes;
            bool rejectsFirst; ///< Whether each upstream rejects the first arrival of each request.
            bool isHedged; ///< Whether a hedge can be sent, since the service has more than one upstream.
        } table[] = {
            {"four upstreams", 8, false, true},
            {"one upstream", 2, false, false},
            {"four upstreams that reject", 8, true, true},
        };
        for (const auto &row : table) {
            PlatformFleet fleet(row.nodes);
            CPPUNIT_ASSERT(fleet.startAll());
            // The nodes get reports of upstreams first.
            constexpr unsigned usualRequests = 30;
            for (unsigned i = 0; i < usualRequests; ++i) {
                const unsigned node = i % row.nodes;
                CPPUNIT_ASSERT_EQUAL(200U, fleet.sendAndWait(node, "GET", "/read/x", "usual-" + std::to_string(i)).status);
            }
            for (const auto &upstream : fleet.upstreams) {
                upstream->behaviour.rejectsFirstArrivals = row.rejectsFirst;
            }
            constexpr unsigned longRequests = 16;
            unsigned open = longRequests;
            unsigned served = 0;
            for (unsigned i = 0; i < longRequests; ++i) {
                asio::co_spawn(
                    fleet.context,
                    [&fleet, &open, &served, node = i % row.nodes, i]() -> asio::awaitable<void> {
                        const CallResult result = co_await fleet.send(node, "GET", "/read/x?work-ms=900", longId(i), 3000ms);
                        served += result.status == 200 ? 1 : 0;
                        --open;
                    },
                    asio::detached);
                fleet.runFor(100ms);
            }
            while (open > 0) {
                fleet.runFor(20ms);
            }
            unsigned hedged = 0;
            for (unsigned i = 0; i < longRequests; ++i) {
                unsigned runningAt = 0;
                for (const auto &upstream : fleet.upstreams) {
                    const auto runs = upstream->runs.find(longId(i));
                    if (runs == upstream->runs.end()) {
                        continue;
                    }
                    const std::string context = row.name + (": " + upstream->id) + " ran " + longId(i);
                    CPPUNIT_ASSERT_MESSAGE(context + " " + std::to_string(runs->second) + " times", runs->second <= 1);
                    ++runningAt;
                }
                hedged += runningAt > 1 ? 1 : 0;
            }
            CPPUNIT_ASSERT_MESSAGE(row.name, served > 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isHedged, hedged > 0);
        }
    }

private:
    static std::string longId(unsigned number)
    {
        return "long-" + std::to_string(number);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HedgeTest);
