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
            bool isHedged; ///< Whether a hedge can be sent, since the service has more than one upstream.
        } table[] = {
            {"four upstreams", 8, true},
            {"one upstream", 2, false},
        };
        for (const auto &row : table) {
            PlatformFleet fleet(row.nodes);
            CPPUNIT_ASSERT(fleet.startAll());
            // The nodes learn the usual duration first.
            constexpr unsigned usualRequests = 30;
            for (unsigned i = 0; i < usualRequests; ++i) {
                const unsigned node = i % row.nodes;
                CPPUNIT_ASSERT_EQUAL(200U, fleet.sendAndWait(node, "GET", "/read/x", "usual-" + std::to_string(i)).status);
            }
            constexpr unsigned longRequests = 16;
            unsigned open = longRequests;
            for (unsigned i = 0; i < longRequests; ++i) {
                asio::co_spawn(
                    fleet.context,
                    [&fleet, &open, node = i % row.nodes, i]() -> asio::awaitable<void> {
                        co_await fleet.send(node, "GET", "/read/x?work-ms=900", longId(i), 3000ms);
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
                unsigned receivers = 0;
                for (const auto &upstream : fleet.upstreams) {
                    const auto arrivals = std::ranges::count(upstream->arrivals, longId(i), &PlatformUpstream::Arrival::requestId);
                    const std::string context = row.name + (": " + upstream->id) + " got " + longId(i);
                    CPPUNIT_ASSERT_MESSAGE(context + " " + std::to_string(arrivals) + " times", arrivals <= 1);
                    receivers += arrivals > 0 ? 1 : 0;
                }
                hedged += receivers > 1 ? 1 : 0;
            }
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
