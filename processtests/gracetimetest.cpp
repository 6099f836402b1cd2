#include "support/platformfleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <map>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr unsigned nodeCount = 4;

/// Route whose requests may last longer than the nodes' default grace time.
constexpr auto longTimeout = 12s;

} // namespace

/// Planned stops of nodes whose deployment sets a grace time other than the default.
class GraceTimeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GraceTimeTest);
    CPPUNIT_TEST(requestEndsWithinTheGraceTime);
    CPPUNIT_TEST(processEndsBeforeItIsKilled);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a leaving node that cuts requests long before the grace time of its deployment, because it reads only one of
    /// the forms in which the platform gives the bounds.
    void requestEndsWithinTheGraceTime()
    {
        struct Row
        {
            const char *name;
            std::string bounds;
            std::vector<unsigned> leavingNodes;
            std::chrono::milliseconds sent; ///< When the requests are sent, after the signal; negative: before it.
            std::chrono::milliseconds deadline;
        };
        const Row rows[] = {
            {"list, ingress leaves", boundsAsList(10), {0}, 1000ms, 12000ms},
            {"table, ingress leaves", boundsAsTable(10), {0}, 1000ms, 12000ms},
            {"table, home leaves", boundsAsTable(10), {3}, -500ms, 9500ms},
            {"table, ingress and home leave", boundsAsTable(10), {0, 3}, -500ms, 9500ms},
        };
        for (const Row &row : rows) {
            PlatformFleet fleet(nodeCount);
            fleet.bounds = row.bounds;
            CPPUNIT_ASSERT_MESSAGE(row.name, fleet.startAll());
            publishLongRoutes(fleet);
            // All requests run at the upstream of node 3.
            fleet.publishEntry(1, "draining");
            fleet.runFor(3s);
            fleet.upstreams[3]->behaviour.processingTime = 7s;
            std::map<std::string, CallResult> results;
            const auto sendAll = [&fleet, &results, &row] {
                start(fleet, results, "GET", "/read/x", "read", row.deadline);
                start(fleet, results, "POST", "/write/x", "write", row.deadline);
            };
            const auto signalAll = [&fleet, &row] {
                for (const unsigned node : row.leavingNodes) {
                    fleet.processes[node]->signal(SIGTERM);
                }
            };
            if (row.sent < 0ms) {
                sendAll();
                fleet.runFor(-row.sent);
                signalAll();
            } else {
                signalAll();
                fleet.runFor(row.sent);
                sendAll();
            }
            while (results.size() < 2) {
                fleet.runFor(50ms);
            }
            for (const auto &[id, result] : results) {
                const std::string context = std::string(row.name) + ", " + id;
                CPPUNIT_ASSERT_MESSAGE(context + ": cut", result.end == StandIns::ExchangeEnd::Complete);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 200U, result.status);
                // A request that may be repeated may have been hedged.
                CPPUNIT_ASSERT_MESSAGE(context, id == "read" || fleet.runCount(id) == 1);
            }
        }
    }

    /// Guards against a process that plans to end after the platform kills it.
    void processEndsBeforeItIsKilled()
    {
        const struct
        {
            const char *name;
            std::string bounds;
            std::chrono::seconds grace;
        } table[] = {
            {"list", boundsAsList(4), 4s},
            {"table", boundsAsTable(4), 4s},
            {"shorter than the announcement of the stop", boundsAsTable(2), 2s},
        };
        for (const auto &row : table) {
            PlatformFleet fleet(nodeCount);
            fleet.bounds = row.bounds;
            CPPUNIT_ASSERT_MESSAGE(row.name, fleet.startAll());
            publishLongRoutes(fleet);
            fleet.runFor(3s);
            for (const unsigned node : fleet.backNodes()) {
                fleet.upstreams[node]->behaviour.processingTime = 9s;
            }
            std::map<std::string, CallResult> results;
            start(fleet, results, "POST", "/write/x", "write", longTimeout);
            fleet.runFor(500ms);
            fleet.processes[0]->signal(SIGTERM);
            fleet.runFor(row.grace);
            CPPUNIT_ASSERT_MESSAGE(row.name, !fleet.processes[0]->isRunning());
        }
    }

private:
    static void publishLongRoutes(PlatformFleet &fleet)
    {
        const ConfiguredRoute routes[] = {{"/read/", {"back"}, true, longTimeout}, {"/write/", {"back"}, false, longTimeout}};
        fleet.publishRoutes(routes);
    }

    /// Sends a request to node 0 and stores its result under its id when it has ended.
    static void start(PlatformFleet &fleet,
                      std::map<std::string, CallResult> &results,
                      const std::string &method,
                      const std::string &target,
                      const std::string &id,
                      std::chrono::milliseconds deadline)
    {
        asio::co_spawn(
            fleet.context,
            [&fleet, &results, method, target, id, deadline]() -> asio::awaitable<void> {
                CallResult result = co_await fleet.send(0, method, target, id, deadline);
                results.emplace(id, std::move(result));
            },
            asio::detached);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GraceTimeTest);
