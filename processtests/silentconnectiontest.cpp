#include "support/platformfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <string>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr unsigned nodeCount = 4;

/// Longest time from the acknowledgement of a configuration until it is in force.
constexpr Milliseconds applyTime = 2000ms;

/// Time after the connections became silent from which that bound holds again.
constexpr Milliseconds settleTime = 3000ms;

/// Time by which the stand-ins may be late.
constexpr Milliseconds margin = 50ms;

} // namespace

/// Connections to the registry that become silent without a reset, while new ones work.
class SilentConnectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SilentConnectionTest);
    CPPUNIT_TEST(followsChangesWhileWatchesAreSilent);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a configuration that is not followed in time by any node, because the watches of all nodes are silent and the next
    /// probe comes too late after the change.
    void followsChangesWhileWatchesAreSilent()
    {
        const struct
        {
            const char *name;
            Milliseconds change; ///< When a route is moved, counted from a change that all nodes have read.
        } table[]
            = {{"soon", 1200ms}, {"before the last early probe", 2000ms}, {"after it", 2500ms}, {"later", 2700ms}, {"latest", 3300ms}};
        constexpr Milliseconds silence = 800ms;
        for (const auto &row : table) {
            PlatformFleet fleet(nodeCount);
            CPPUNIT_ASSERT(fleet.startAll());
            ConfiguredRoute route{"/read/", {"back"}};
            const auto begin = Clock::now();
            const auto runUntil = [&fleet](Clock::time_point time) {
                fleet.runFor(std::max(std::chrono::ceil<Milliseconds>(time - Clock::now()), 0ms));
            };
            fleet.publishRoutes(std::span(&route, 1));
            runUntil(begin + silence);
            for (unsigned node = 0; node < nodeCount; ++node) {
                fleet.setPathFault(node, PlatformFleet::Path::Registry, {true, true, 0us}, true);
            }
            runUntil(begin + row.change);
            route.services = {"front"};
            fleet.publishRoutes(std::span(&route, 1));
            const auto changed = Clock::now();
            runUntil(std::max(changed + applyTime, begin + silence + settleTime) + margin);
            for (const unsigned node : fleet.backNodes()) {
                fleet.upstreams[node]->runs.clear();
            }
            for (unsigned node = 0; node < nodeCount; ++node) {
                const std::string id = "n" + std::to_string(node);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, 200U, fleet.sendAndWait(node, "GET", "/read/x", id).status);
            }
            for (const unsigned node : fleet.backNodes()) {
                CPPUNIT_ASSERT_MESSAGE(row.name, fleet.upstreams[node]->runs.empty());
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentConnectionTest);
