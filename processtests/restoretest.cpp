#include "support/configjudge.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <string>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

constexpr unsigned nodeCount = 4;

constexpr auto applyTime = ConfigJudge::applyTime;
constexpr auto settleTime = ConfigJudge::settleTime;

} // namespace

/// How nodes follow a registry that has come back from a copy, or has lost its history.
class RestoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RestoreTest);
    CPPUNIT_TEST(heedsEntriesWrittenAfterRestore);
    CPPUNIT_TEST(followsConfigurationAfterRestore);
    CPPUNIT_TEST(keepsUpstreamsThatTheCopyLacks);
    CPPUNIT_TEST(removesUpstreamsAfterLostHistory);
    CPPUNIT_TEST(callsSeldomWithoutHistory);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests that reach an upstream after its entry was withdrawn, because the registry has come back from a copy and
    /// gives out lower revisions than before, and against ones that reach an upstream which only the copy still lists.
    void heedsEntriesWrittenAfterRestore()
    {
        const struct
        {
            const char *name;
            void (*change)(PlatformFleet &, unsigned upstream); ///< Before the restore, in the span that is lost.
            void (*withdraw)(PlatformFleet &, unsigned upstream); ///< After the restore.
        } table[] = {
            {"draining after a lost change",
             [](PlatformFleet &fleet, unsigned upstream) {
                 fleet.publishEntry(upstream, "ready");
             },
             [](PlatformFleet &fleet, unsigned upstream) {
                 fleet.publishEntry(upstream, "draining");
             }},
            {"removed after a lost change",
             [](PlatformFleet &fleet, unsigned upstream) {
                 fleet.publishEntry(upstream, "ready");
             },
             [](PlatformFleet &fleet, unsigned upstream) {
                 fleet.registry.remove("servers/" + fleet.upstreams[upstream]->id);
             }},
            {"draining was lost",
             [](PlatformFleet &fleet, unsigned upstream) {
                 fleet.publishEntry(upstream, "draining");
             },
             [](PlatformFleet &, unsigned) {}},
            {"removal was lost",
             [](PlatformFleet &fleet, unsigned upstream) {
                 fleet.registry.remove("servers/" + fleet.upstreams[upstream]->id);
             },
             [](PlatformFleet &, unsigned) {}},
        };
        for (const auto &row : table) {
            PlatformFleet fleet(nodeCount);
            CPPUNIT_ASSERT(fleet.startAll());
            const unsigned upstream = fleet.backNodes().front();
            fleet.runFor(1s);
            const auto changed = std::chrono::steady_clock::now();
            for (int i = 0; i < 30; ++i) {
                fleet.publishEntry(0, "ready");
            }
            row.change(fleet, upstream);
            fleet.runFor(1200ms);
            fleet.registry.setReachable(false);
            fleet.runFor(200ms);
            fleet.registry.restore(std::chrono::ceil<std::chrono::milliseconds>(std::chrono::steady_clock::now() - changed) + 100ms);
            fleet.registry.setReachable(true);
            fleet.runFor(settleTime);
            row.withdraw(fleet, upstream);
            fleet.runFor(applyTime);
            const std::size_t before = fleet.upstreams[upstream]->arrivals.size();
            for (int i = 0; i < 20; ++i) {
                const std::string id = "r" + std::to_string(i);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    row.name, 200U, fleet.sendAndWait(static_cast<unsigned>(i) % nodeCount, "GET", "/read/x", id).status);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, before, fleet.upstreams[upstream]->arrivals.size());
        }
    }

    /// Guards against a configuration that is not followed after the registry has come back from a copy, because a node goes on from a
    /// revision that is given out again, and against a node that goes back to an older one.
    void followsConfigurationAfterRestore()
    {
        const struct
        {
            const char *name;
            bool isCut; ///< Whether the connections of the nodes end.
            bool isFrozen; ///< Whether a node sleeps meanwhile.
            int writes; ///< Entries that are written after the restore, so that old revisions are given out again.
        } table[] = {{"connections cut", true, false, 0},
                     {"connections kept", false, false, 0},
                     {"connections kept, revisions given out again", false, false, 40},
                     {"node frozen, revisions given out again", true, true, 40}};
        for (const auto &row : table) {
            PlatformFleet fleet(nodeCount);
            CPPUNIT_ASSERT(fleet.startAll());
            fleet.publishConfig("/kept/");
            fleet.runFor(1500ms);
            const auto changed = std::chrono::steady_clock::now();
            for (int i = 0; i < 30; ++i) {
                fleet.publishEntry(0, "ready");
            }
            fleet.publishConfig("/lost/");
            fleet.runFor(1500ms);
            if (row.isFrozen) {
                fleet.processes[1]->signal(SIGSTOP);
            }
            if (row.isCut) {
                fleet.registry.setReachable(false);
                fleet.runFor(200ms);
            }
            fleet.registry.restore(std::chrono::ceil<std::chrono::milliseconds>(std::chrono::steady_clock::now() - changed) + 100ms);
            fleet.registry.setReachable(true);
            fleet.publishConfig("/next/");
            for (int i = 0; i < row.writes; ++i) {
                fleet.publishEntry(0, "ready");
            }
            if (row.isFrozen) {
                fleet.runFor(1s);
                fleet.processes[1]->signal(SIGCONT);
            }
            // In touch once the registry has been stable for this time.
            fleet.runFor(settleTime);
            for (unsigned node = 0; node < nodeCount; ++node) {
                const std::string context = std::string(row.name) + ", node " + std::to_string(node);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 200U, fleet.sendAndWait(node, "GET", "/next/x", "n" + std::to_string(node)).status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 404U, fleet.sendAndWait(node, "GET", "/lost/x", "l" + std::to_string(node)).status);
            }
        }
    }

    /// Guards against upstreams that run, but are dropped because the copy is from before they registered, until they register again.
    void keepsUpstreamsThatTheCopyLacks()
    {
        PlatformFleet fleet(nodeCount);
        CPPUNIT_ASSERT(fleet.startAll());
        for (const unsigned node : fleet.backNodes()) {
            fleet.registry.remove("servers/" + fleet.upstreams[node]->id);
        }
        fleet.runFor(1500ms);
        const auto registered = std::chrono::steady_clock::now();
        for (const unsigned node : fleet.backNodes()) {
            fleet.publishEntry(node, "ready");
        }
        fleet.runFor(1500ms);
        CPPUNIT_ASSERT_EQUAL(200U, fleet.sendAndWait(0, "POST", "/write/x", "before").status);
        fleet.registry.setReachable(false);
        fleet.runFor(200ms);
        fleet.registry.restore(std::chrono::ceil<std::chrono::milliseconds>(std::chrono::steady_clock::now() - registered) + 100ms);
        fleet.registry.setReachable(true);
        for (int i = 0; i < 14; ++i) {
            CPPUNIT_ASSERT_EQUAL(200U, fleet.sendAndWait(0, "POST", "/write/x", "k" + std::to_string(i)).status);
            fleet.runFor(100ms);
        }
        for (const unsigned node : fleet.backNodes()) {
            fleet.publishEntry(node, "ready");
        }
        fleet.runFor(1s);
        CPPUNIT_ASSERT_EQUAL(200U, fleet.sendAndWait(0, "POST", "/write/x", "after").status);
    }

    /// Guards against requests to an upstream whose removal is no longer in the registry's history when a node asks for it: nothing
    /// has expired, so the removal is not deferred.
    void removesUpstreamsAfterLostHistory()
    {
        PlatformFleet fleet(nodeCount);
        CPPUNIT_ASSERT(fleet.startAll());
        fleet.runFor(1s);
        const unsigned upstream = fleet.backNodes().front();
        // The nodes pause after this change, so that the next one is gone before they ask for it.
        fleet.publishEntry(0, "ready");
        fleet.runFor(50ms);
        fleet.registry.remove("servers/" + fleet.upstreams[upstream]->id);
        fleet.registry.forgetHistory();
        fleet.runFor(applyTime);
        const std::size_t before = fleet.upstreams[upstream]->arrivals.size();
        for (unsigned i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT_EQUAL(200U, fleet.sendAndWait(i % nodeCount, "GET", "/read/x", "h" + std::to_string(i)).status);
        }
        CPPUNIT_ASSERT_EQUAL(before, fleet.upstreams[upstream]->arrivals.size());
    }

    /// Guards against nodes that read the registry without a pause while it answers every watch that its history is gone.
    void callsSeldomWithoutHistory()
    {
        PlatformFleet fleet(nodeCount);
        CPPUNIT_ASSERT(fleet.startAll());
        fleet.registry.setForgetful(true);
        // Ends the watches in progress.
        fleet.publishEntry(0, "ready");
        fleet.runFor(500ms);
        const unsigned before = fleet.registry.callCount();
        fleet.runFor(4s);
        // A complete read takes two calls, a watch one, and the pause is 0.125 s at least.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.registry.callCount() - before), fleet.registry.callCount() - before <= 100 * nodeCount);
        fleet.publishConfig("/after/");
        for (unsigned node = 0; node < nodeCount; ++node) {
            CPPUNIT_ASSERT(fleet.isServedWithin(node, "/after/", applyTime));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestoreTest);
