#include "support/platformfleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <optional>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr unsigned nodeCount = 4;

/// Sends one request and runs the loop until the caller has its answer.
CallResult sendAndWait(PlatformFleet &fleet, unsigned node, const std::string &method, const std::string &target, const std::string &id)
{
    std::optional<CallResult> result;
    asio::co_spawn(
        fleet.context,
        [&]() -> asio::awaitable<void> {
            result = co_await fleet.send(node, method, target, id, 3s);
        },
        asio::detached);
    while (!result) {
        fleet.runFor(10ms);
    }
    return *result;
}

/// Sends requests at the same time and runs the loop until all have ended.
void sendConcurrently(PlatformFleet &fleet, unsigned node, const std::string &method, const std::string &target, unsigned count)
{
    unsigned pendingCount = count;
    for (unsigned i = 0; i < count; ++i) {
        asio::co_spawn(
            fleet.context,
            [&fleet, &pendingCount, node, method, target, id = "t" + std::to_string(i)]() -> asio::awaitable<void> {
                co_await fleet.send(node, method, target, id, 3s);
                --pendingCount;
            },
            asio::detached);
    }
    while (pendingCount > 0) {
        fleet.runFor(10ms);
    }
}

struct FaultCase
{
    const char *name;
    const char *method;
    const char *target;
    UpstreamBehaviour behaviour; ///< Of the upstream that the fleet prefers.
    unsigned status; ///< Expected at the caller.
    unsigned maxRuns;
};

void startAll(PlatformFleet &fleet)
{
    for (unsigned node = 0; node < nodeCount; ++node) {
        fleet.startNode(node);
    }
    for (unsigned node = 0; node < nodeCount; ++node) {
        CPPUNIT_ASSERT(fleet.waitUntilReady(node));
    }
}

} // namespace

class PlatformTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlatformTest);
    CPPUNIT_TEST(servesThroughHomes);
    CPPUNIT_TEST(retriesOnlyWhenSafe);
    CPPUNIT_TEST(appliesRegistryChanges);
    CPPUNIT_TEST(limitsCallsForFrequentChanges);
    CPPUNIT_TEST(usesRecoveredUpstream);
    CPPUNIT_TEST(drainsWithoutLoss);
    CPPUNIT_TEST_SUITE_END();

public:
    /// An upstream that refuses connections while it is started, and one that fails its work and is started again. Guards
    /// against work that is lost to a refused connection, and against an upstream that gets no work for seconds after it is up
    /// because its home judges it by what came before.
    void usesRecoveredUpstream()
    {
        const struct
        {
            const char *name;
            void (*fail)(PlatformFleet &, unsigned node);
            void (*repair)(PlatformFleet &, unsigned node);
            const char *method; ///< Of the requests that come while it fails.
            const char *target;
        } cases[] = {
            {"refuses connections",
             [](PlatformFleet &fleet, unsigned node) {
                 fleet.setPathAccepting(node, PlatformFleet::Path::Upstream, false);
             },
             [](PlatformFleet &fleet, unsigned node) {
                 fleet.setPathAccepting(node, PlatformFleet::Path::Upstream, true);
             },
             "POST",
             "/write/x"},
            {"fails, and is started again",
             [](PlatformFleet &fleet, unsigned node) {
                 fleet.upstreams[node]->behaviour.status = 500;
             },
             [](PlatformFleet &fleet, unsigned node) {
                 fleet.upstreams[node]->behaviour.status = 200;
                 fleet.upstreams[node]->startTimeMs = 2;
             },
             "GET",
             "/read/x"},
        };
        for (const auto &row : cases) {
            PlatformFleet fleet(nodeCount);
            startAll(fleet);
            const unsigned node = fleet.backNodes().front();
            const PlatformUpstream &upstream = *fleet.upstreams[node];
            row.fail(fleet, node);
            for (int i = 0; i < 20; ++i) {
                const CallResult result = sendAndWait(fleet, node, row.method, row.target, "f" + std::to_string(i));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 200U, result.status);
            }
            row.repair(fleet, node);
            fleet.publishEntry(node, "ready");
            fleet.runFor(1200ms);
            // More work at once than the other upstream has slots.
            const std::size_t before = upstream.runs.size();
            fleet.upstreams[fleet.backNodes().back()]->behaviour.processingTime = 300ms;
            sendConcurrently(fleet, node, "POST", "/write/x", 10);
            CPPUNIT_ASSERT_MESSAGE(row.name, upstream.runs.size() > before);
        }
    }

    /// Replays entries that change each 50 ms. Guards against a call of each node for each change, which the store's rate does
    /// not bear in a large fleet, and against a pause so long that a change is not followed in time.
    void limitsCallsForFrequentChanges()
    {
        PlatformFleet fleet(nodeCount);
        startAll(fleet);
        // The watches of the start have ended by then.
        fleet.runFor(2s);
        const unsigned before = fleet.registry.callCount();
        for (int i = 0; i < 80; ++i) {
            fleet.publishEntry(0, "ready");
            fleet.runFor(50ms);
        }
        // Four seconds at one call in 0.9 s, and two shorter pauses at first.
        CPPUNIT_ASSERT(fleet.registry.callCount() - before <= 7 * nodeCount);
        fleet.publishConfig("/read-next/");
        fleet.runFor(1200ms);
        for (unsigned node = 0; node < nodeCount; ++node) {
            CPPUNIT_ASSERT_EQUAL(200U, sendAndWait(fleet, node, "GET", "/read-next/x", "d" + std::to_string(node)).status);
        }
    }

    /// Guards against a request that runs elsewhere than its route says, under another caller, or without its own response.
    void servesThroughHomes()
    {
        PlatformFleet fleet(nodeCount);
        startAll(fleet);
        for (unsigned node = 0; node < nodeCount; ++node) {
            for (const char *target : {"/read/x", "/write/x"}) {
                const std::string id = "s" + std::to_string(node) + target[1];
                const bool isWrite = target[1] == 'w';
                const CallResult result = sendAndWait(fleet, node, isWrite ? "POST" : "GET", target, id);
                CPPUNIT_ASSERT_EQUAL(200U, result.status);
                CPPUNIT_ASSERT(result.isSigned);
                CPPUNIT_ASSERT_EQUAL(id, result.echoedId);
                CPPUNIT_ASSERT_EQUAL("ran " + id, result.body);
                CPPUNIT_ASSERT_EQUAL(1U, fleet.runCount(id));
                for (const unsigned back : fleet.backNodes()) {
                    const auto caller = fleet.upstreams[back]->callerServices.find(id);
                    if (caller != fleet.upstreams[back]->callerServices.end()) {
                        CPPUNIT_ASSERT_EQUAL(std::string(node % 2 == 0 ? "front" : "back"), caller->second);
                    }
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(404U, sendAndWait(fleet, 0, "GET", "/none/x", "n1").status);
    }

    /// Guards against non-idempotent work that runs twice, and against idempotent work that fails though another upstream
    /// could run it.
    void retriesOnlyWhenSafe()
    {
        UpstreamBehaviour failing;
        failing.status = 500;
        UpstreamBehaviour rejecting;
        rejecting.rejects = true;
        UpstreamBehaviour dropping;
        dropping.dropsResponses = true;
        const FaultCase cases[] = {
            {"idempotent, error", "GET", "/read/e", failing, 200, 2},
            {"idempotent, answer lost", "GET", "/read/l", dropping, 200, 2},
            {"idempotent, rejected", "GET", "/read/r", rejecting, 200, 1},
            {"other, rejected", "POST", "/write/r", rejecting, 200, 1},
            {"other, error", "POST", "/write/e", failing, 500, 1},
            {"other, answer lost", "POST", "/write/l", dropping, 502, 1},
        };
        for (const FaultCase &row : cases) {
            PlatformFleet fleet(nodeCount);
            startAll(fleet);
            // Node 1 is in the failure domain of node 0, which prefers it.
            fleet.upstreams[1]->behaviour = row.behaviour;
            const CallResult result = sendAndWait(fleet, 0, row.method, row.target, "f1");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.status, result.status);
            CPPUNIT_ASSERT_MESSAGE(row.name, fleet.runCount("f1") <= row.maxRuns && fleet.runCount("f1") >= 1);
        }
    }

    /// Guards against a change that does not take effect, and against a node that denies routes or stops serving because the
    /// store is away.
    void appliesRegistryChanges()
    {
        PlatformFleet fleet(nodeCount);
        startAll(fleet);
        fleet.publishConfig("/seek/");
        fleet.publishEntry(1, "draining");
        fleet.runFor(2s);
        CPPUNIT_ASSERT_EQUAL(404U, sendAndWait(fleet, 0, "GET", "/read/x", "c1").status);
        CPPUNIT_ASSERT_EQUAL(200U, sendAndWait(fleet, 0, "GET", "/seek/x", "c2").status);
        for (int i = 0; i < 6; ++i) {
            sendAndWait(fleet, 0, "GET", "/seek/x", "d" + std::to_string(i));
        }
        CPPUNIT_ASSERT(fleet.upstreams[1]->runs.empty());

        fleet.registry.setReachable(false);
        fleet.runFor(1500ms);
        CPPUNIT_ASSERT_EQUAL(200U, sendAndWait(fleet, 0, "GET", "/seek/x", "o1").status);
        CPPUNIT_ASSERT_EQUAL(503U, sendAndWait(fleet, 0, "GET", "/new/x", "o2").status);
        fleet.publishConfig("/new/");
        fleet.registry.setReachable(true);
        fleet.runFor(3s);
        CPPUNIT_ASSERT_EQUAL(200U, sendAndWait(fleet, 0, "GET", "/new/x", "o3").status);
    }

    /// Guards against a request in flight that is cut when its ingress or home leaves, and against a node that stays ready.
    void drainsWithoutLoss()
    {
        PlatformFleet fleet(nodeCount);
        startAll(fleet);
        for (const unsigned leaving : {0U, 1U}) {
            for (const auto &upstream : fleet.upstreams) {
                upstream->behaviour.processingTime = 1200ms;
            }
            const std::string id = "t" + std::to_string(leaving);
            std::optional<CallResult> result;
            asio::co_spawn(
                fleet.context,
                [&]() -> asio::awaitable<void> {
                    result = co_await fleet.send(0, "POST", "/write/x", id, 3s);
                },
                asio::detached);
            fleet.runFor(300ms);
            fleet.processes[leaving]->signal(SIGTERM);
            while (!result) {
                fleet.runFor(10ms);
            }
            CPPUNIT_ASSERT_EQUAL(200U, result->status);
            CPPUNIT_ASSERT_EQUAL(1U, fleet.runCount(id));
            CPPUNIT_ASSERT(fleet.processes[leaving]->wait(7s).has_value());
            fleet.startNode(leaving);
            CPPUNIT_ASSERT(fleet.waitUntilReady(leaving));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlatformTest);
