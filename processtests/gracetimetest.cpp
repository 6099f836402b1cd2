#include "support/platformfleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
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
        struct Sending
        {
            std::chrono::milliseconds at; ///< Time after the signal.
            bool idempotent;
            std::chrono::milliseconds deadline;
        };
        struct Row
        {
            const char *name;
            std::string bounds;
            std::vector<unsigned> leavingNodes;
            std::chrono::milliseconds signalled; ///< Time of the signal after the start.
            std::vector<Sending> sendings; ///< In order of their time.
            std::chrono::milliseconds run; ///< How long each request runs.
        };
        const Row rows[] = {
            {"list, ingress leaves", boundsAsList(10), {0}, 0ms, {{1000ms, true, 12000ms}, {1000ms, false, 12000ms}}, 7000ms},
            {"table, ingress leaves", boundsAsTable(10), {0}, 0ms, {{1000ms, true, 12000ms}, {1000ms, false, 12000ms}}, 7000ms},
            {"table, ingress leaves, late request",
             boundsAsTable(10),
             {0},
             0ms,
             {{1000ms, false, 12000ms}, {3500ms, true, 5500ms}, {3500ms, false, 5500ms}},
             4000ms},
            {"table, home leaves", boundsAsTable(10), {3}, 500ms, {{-500ms, true, 9500ms}, {-500ms, false, 9500ms}}, 7000ms},
            {"table, ingress and home leave", boundsAsTable(10), {0, 3}, 500ms, {{-500ms, true, 9500ms}, {-500ms, false, 9500ms}}, 7000ms},
        };
        for (const Row &row : rows) {
            PlatformFleet fleet(nodeCount);
            fleet.bounds = row.bounds;
            CPPUNIT_ASSERT_MESSAGE(row.name, fleet.startAll());
            publishLongRoutes(fleet);
            // All requests run at the upstream of node 3.
            fleet.publishEntry(1, "draining");
            fleet.runFor(3s);
            fleet.upstreams[3]->behaviour.processingTime = row.run;
            std::map<std::string, CallResult> results;
            std::chrono::milliseconds now = 0ms;
            bool isSignalled = false;
            const auto runUntilTime = [&](std::chrono::milliseconds time) {
                if (!isSignalled && row.signalled <= time) {
                    fleet.runFor(row.signalled - now);
                    now = row.signalled;
                    isSignalled = true;
                    for (const unsigned node : row.leavingNodes) {
                        fleet.processes[node]->signal(SIGTERM);
                    }
                }
                fleet.runFor(time - now);
                now = time;
            };
            for (std::size_t i = 0; i < row.sendings.size(); ++i) {
                runUntilTime(row.signalled + row.sendings[i].at);
                const bool idempotent = row.sendings[i].idempotent;
                const std::string id = (idempotent ? "read" : "write") + std::to_string(i);
                start(fleet, results, idempotent ? "GET" : "POST", idempotent ? "/read/x" : "/write/x", id, row.sendings[i].deadline);
            }
            runUntilTime(std::max(now, row.signalled));
            while (results.size() < row.sendings.size()) {
                fleet.runFor(50ms);
            }
            for (const auto &[id, result] : results) {
                const std::string context = std::string(row.name) + ", " + id;
                CPPUNIT_ASSERT_MESSAGE(context + ": cut", result.end == StandIns::ExchangeEnd::Complete);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 200U, result.status);
                // A request that may be repeated may have been hedged.
                CPPUNIT_ASSERT_MESSAGE(context, id.starts_with("read") || fleet.runCount(id) == 1);
            }
            fleet.runFor(1s);
            for (const unsigned node : row.leavingNodes) {
                CPPUNIT_ASSERT_MESSAGE(row.name + std::string(": process has not ended"), fleet.processes[node]->wait(0ms) == 0);
            }
        }
    }

    /// Guards against a process that plans to end after the platform kills it, and against one that ends long before.
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
            fleet.runFor(row.grace - 1s);
            CPPUNIT_ASSERT_MESSAGE(row.name, fleet.processes[0]->isRunning());
            fleet.runFor(1s);
            CPPUNIT_ASSERT_MESSAGE(row.name, fleet.processes[0]->wait(0ms) == 0);
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
