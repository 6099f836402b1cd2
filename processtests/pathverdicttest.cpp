#include "support/fleetfixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <thread>

using namespace Galenarack;
using namespace std::chrono_literals;

/// The health of a path between nodes is evaluated separately from the health of the upstreams behind it (section 4.4).
class PathVerdictTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PathVerdictTest);
    CPPUNIT_TEST(silentPathEjectsNoUpstream);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against the ejection of an upstream because the path to its home does not respond.
    void silentPathEjectsNoUpstream()
    {
        FleetOptions options;
        options.relayPeers = true;
        FleetFixture fleet(options);
        BackgroundLoad load({"--targets=" + fleet.callerAddress(0) + "," + fleet.callerAddress(2),
                             "--path=/lookups",
                             "--rate=50",
                             "--duration_s=6",
                             "--account=charity"},
                            "/dev/null");
        std::this_thread::sleep_for(1s);
        fleet.setPathFault(0, 1, R"({"forward_silent": true})");
        load.report(30s);
        for (const unsigned node : {0U, 2U}) {
            TestRequest request;
            request.target = "/upstreams";
            const TestReply reply = sendRequest(fleet.operatorsAddress(node), request);
            int listed = 0;
            const nlohmann::json body = reply.json();
            for (const nlohmann::json &upstream : body["upstreams"]) {
                listed += upstream["name"] == "lookups-1" ? 1 : 0;
                CPPUNIT_ASSERT_MESSAGE(upstream.dump(), upstream["state"] != "ejected");
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(reply.describe(), 1, listed);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathVerdictTest);
