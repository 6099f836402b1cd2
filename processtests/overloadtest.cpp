#include "support/fleetfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;
using namespace std::chrono_literals;

/// Load above the capacity of the upstreams.
class OverloadTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OverloadTest);
    CPPUNIT_TEST(retryStormDiesOut);
    CPPUNIT_TEST(greedyAccountStarvesNobody);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against retries that keep a service overloaded after its load has returned to a level below its capacity.
    void retryStormDiesOut()
    {
        FleetFixture fleet(options());
        // The capacity of three upstreams with 2 slots and 100 ms per request is 60 requests per second. The storm is twice that,
        // the load afterwards 0.8 times.
        const auto run = [&](const char *rate, const char *seconds, const char *resends) {
            BackgroundLoad load({"--targets=" + fleet.callerAddress(0) + "," + fleet.callerAddress(1) + "," + fleet.callerAddress(2),
                                 "--path=/lookups",
                                 "--account=charity",
                                 std::string("--rate=") + rate,
                                 std::string("--duration_s=") + seconds,
                                 std::string("--resends=") + resends},
                                "/dev/null");
            return load.report(60s);
        };
        const nlohmann::json storm = run("120", "5", "3");
        run("48", "3", "3");
        const nlohmann::json after = run("48", "4", "0");
        const std::string context = "storm " + storm.dump() + "\nafter " + after.dump();
        CPPUNIT_ASSERT_MESSAGE(context, storm["ok"].get<int>() < storm["requests"].get<int>());
        CPPUNIT_ASSERT_MESSAGE(context, after["ok"].get<double>() >= 0.99 * after["requests"].get<double>());
    }

    /// Guards against an account whose load, spread over all nodes, occupies all slots and queue places of an upstream and so
    /// starves other accounts.
    void greedyAccountStarvesNobody()
    {
        FleetFixture fleet(options());
        // The capacity of one upstream is 20 requests per second; the greedy account sends five times as many.
        BackgroundLoad greedy({"--targets=" + fleet.callerAddress(0) + "," + fleet.callerAddress(1) + "," + fleet.callerAddress(2),
                               "--path=/single-1",
                               "--account=greedy",
                               "--rate=100",
                               "--duration_s=7"},
                              "/dev/null");
        BackgroundLoad modest(
            {"--targets=" + fleet.callerAddress(0), "--path=/single-1", "--account=charity", "--rate=4", "--duration_s=6", "--seed=2"},
            "/dev/null");
        const nlohmann::json modestReport = modest.report(30s);
        const nlohmann::json greedyReport = greedy.report(30s);
        const std::string context = "modest " + modestReport.dump() + "\ngreedy " + greedyReport.dump();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(context, modestReport["requests"].get<int>(), modestReport["ok"].get<int>());
        CPPUNIT_ASSERT_MESSAGE(context, greedyReport["ok"].get<int>() < greedyReport["requests"].get<int>());
    }

private:
    static FleetOptions options()
    {
        FleetOptions options;
        options.slots = 2;
        options.deadlineMs = 1000;
        options.upstreamSettings = R"({"base_delay_ms": 100, "slots": 2})";
        return options;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);
