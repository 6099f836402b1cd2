#include "support/fleetfixture.h"
#include "support/guaranteechecker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <thread>

using namespace Galenarack;
using namespace std::chrono_literals;

/// A node or an upstream that leaves while slow requests are in flight (P5, P6).
class LeavingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingTest);
    CPPUNIT_TEST(leavingCutsNothingAndGetsNoNewWork);
    CPPUNIT_TEST(rollingReplacementKeepsPromises);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against responses that are cut when a node or an upstream leaves, and against work that still reaches it
    /// 2 s after the sign.
    void leavingCutsNothingAndGetsNoNewWork()
    {
        enum class Sign {
            Terminate, ///< SIGTERM to node 1.
            VmList, ///< Node 1 is leaving in the VM list.
            UpstreamDrain, ///< lookups-1 shows its drain sign.
        };
        struct Row
        {
            const char *name;
            Sign sign;
        };
        const Row rows[] = {{"SIGTERM", Sign::Terminate}, {"VM list", Sign::VmList}, {"drain sign", Sign::UpstreamDrain}};
        for (const Row &row : rows) {
            FleetFixture fleet;
            fleet.configureUpstream("all", R"({"base_delay_ms": 1000})");
            BackgroundLoad load({"--targets=" + fleet.callerAddress(0) + "," + fleet.callerAddress(2),
                                 "--rate=8",
                                 "--duration_s=6",
                                 "--path=/lookups",
                                 "--account=charity",
                                 "--lists"},
                                "/dev/null");
            std::this_thread::sleep_for(2s);
            TestRequest lookup;
            lookup.target = "/lookups";
            auto throughLeaving = fleet.callAsync(1, lookup);
            std::this_thread::sleep_for(200ms);
            const std::int64_t signMs = StandIns::unixMilliseconds();
            if (row.sign == Sign::Terminate) {
                fleet.node(1).signal(SIGTERM);
            } else if (row.sign == Sign::VmList) {
                fleet.setVmState(1, "leaving");
            } else {
                fleet.configureUpstream("lookups-1", R"({"draining": true})");
            }
            const TestReply own = throughLeaving.get();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name + (": " + own.describe()), 200U, own.status);
            const nlohmann::json report = load.report(20s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name + report.dump(), report["requests"].get<int>(), report["ok"].get<int>());
            if (row.sign == Sign::Terminate) {
                CPPUNIT_ASSERT_MESSAGE(row.name, fleet.node(1).wait(10s) == 0);
            }
            const nlohmann::json runs = fleet.runs();
            int before = 0;
            for (const nlohmann::json &run : runs["runs"]) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name + run.dump(), std::string("answered"), run["state"].get<std::string>());
                if (run["upstream"] == "lookups-1") {
                    const std::int64_t afterSign = run["start_unix_ms"].get<std::int64_t>() - signMs;
                    before += afterSign < 0 ? 1 : 0;
                    CPPUNIT_ASSERT_MESSAGE(row.name + run.dump(), afterSign < newWorkBoundMs);
                }
            }
            CPPUNIT_ASSERT_MESSAGE(row.name + std::string(": no work reached the upstream before"), before > 0);
        }
    }

    /// Guards against a replacement of all nodes in turn that breaks a promise to callers who send again as told.
    void rollingReplacementKeepsPromises()
    {
        struct Row
        {
            const char *name;
            int signal;
        };
        const Row rows[] = {{"SIGTERM", SIGTERM}, {"SIGKILL", SIGKILL}};
        for (const Row &row : rows) {
            FleetFixture fleet;
            fleet.configureUpstream("all", R"({"base_delay_ms": 50})");
            const std::vector<std::string> common
                = {"--targets=" + fleet.callerAddresses(), "--duration_s=16", "--account=charity", "--lists", "--resends=5"};
            std::vector<std::string> lookups = common;
            lookups.insert(lookups.end(), {"--rate=60", "--path=/lookups"});
            std::vector<std::string> lodging = common;
            lodging.insert(lodging.end(), {"--rate=40", "--path=/lodging", "--method=POST", "--issued_keys", "--seed=2"});
            BackgroundLoad lookupLoad(lookups, "/dev/null");
            BackgroundLoad lodgingLoad(lodging, "/dev/null");
            for (unsigned node = 0; node < fleet.options().nodes; ++node) {
                std::this_thread::sleep_for(1s);
                fleet.node(node).signal(row.signal);
                CPPUNIT_ASSERT_MESSAGE(row.name, fleet.node(node).wait(10s).has_value());
                fleet.startNode(node);
                CPPUNIT_ASSERT_MESSAGE(row.name + fleet.status(node).dump(), fleet.waitUntilReady(node, 10s));
            }
            const nlohmann::json lookupReport = lookupLoad.report(40s);
            const nlohmann::json lodgingReport = lodgingLoad.report(40s);
            GuaranteeChecker checker;
            checker.addLoadReport(lookupReport);
            checker.addLoadReport(lodgingReport);
            const nlohmann::json runs = fleet.runs();
            const std::string context
                = std::string(row.name) + "\nlookups " + summary(lookupReport) + "\nlodging " + summary(lodgingReport);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::string(), checker.violations(runs));
            // A caller of repeatable work that sends again always gets its response.
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, lookupReport["requests"].get<int>(), lookupReport["ok"].get<int>());
            if (row.signal == SIGTERM) {
                for (const nlohmann::json &run : runs["runs"]) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(context + run.dump(), std::string("answered"), run["state"].get<std::string>());
                }
            }
        }
    }

private:
    /// P5: no new work later than this after the earliest sign.
    static constexpr std::int64_t newWorkBoundMs = 2000;

    static std::string summary(nlohmann::json report)
    {
        report.erase("not_run_request_ids");
        report.erase("ok_keys");
        return report.dump();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTest);
