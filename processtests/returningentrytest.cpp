#include "support/platformfleet.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;
using namespace std::chrono_literals;

class ReturningEntryTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReturningEntryTest);
    CPPUNIT_TEST(entryThatIsValidAgainNamesItsUpstream);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an upstream that stays out of use although its entry, which had become invalid, is valid again.
    void entryThatIsValidAgainNamesItsUpstream()
    {
        constexpr unsigned nodeCount = 4;
        PlatformFleet fleet(nodeCount);
        CPPUNIT_ASSERT(fleet.startAll());
        fleet.publishEntry(1, "resting");
        fleet.runFor(1s);
        for (const bool restarted : {false, true}) {
            for (unsigned node = 0; node < nodeCount; ++node) {
                const std::string id = std::string(restarted ? "r" : "f") + std::to_string(node);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 200U, fleet.sendAndWait(node, "POST", "/write/x", id).status);
            }
            CPPUNIT_ASSERT(fleet.upstreams[1]->runs.empty());
            fleet.startNode(0);
            CPPUNIT_ASSERT(fleet.waitUntilReady(0));
        }
        fleet.publishEntry(1, "ready");
        fleet.runFor(1s);
        for (int i = 0; i < 20 && fleet.upstreams[1]->runs.empty(); ++i) {
            CPPUNIT_ASSERT_EQUAL(200U, fleet.sendAndWait(1, "POST", "/write/x", "b" + std::to_string(i)).status);
        }
        CPPUNIT_ASSERT(!fleet.upstreams[1]->runs.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturningEntryTest);
