#include "support/fleetfixture.h"
#include "support/guaranteechecker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <thread>

using namespace Galenarack;
using namespace std::chrono_literals;

/// Draining of a node or an upstream while slow requests are in flight (P5, P6).
class LeavingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeavingTest);
    CPPUNIT_TEST(drainCutsNoResponseAndStopsNewWork);
    CPPUNIT_TEST(leavingNodeTakesNoWorkThatItWouldCut);
    CPPUNIT_TEST(rollingReplacementKeepsGuarantees);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against responses that are cut when a node or an upstream drains, and against new work that reaches a draining
    /// upstream more than 2 s after the drain signal.
    void drainCutsNoResponseAndStopsNewWork()
    {
        enum class DrainSignal {
            Terminate, ///< Node 1 receives SIGTERM.
            VmList, ///< The VM list marks the VM of node 1 as leaving.
            UpstreamDrain, ///< The upstream lookups-1 sends its drain signal.
        };
        struct Row
        {
            const char *name;
            DrainSignal drainSignal;
        };
        const Row rows[]
            = {{"SIGTERM", DrainSignal::Terminate}, {"VM list", DrainSignal::VmList}, {"drain signal", DrainSignal::UpstreamDrain}};
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
            auto leavingNodeReply = fleet.callAsync(1, lookup);
            std::this_thread::sleep_for(200ms);
            const std::int64_t signalTimeMs = StandIns::unixMilliseconds();
            if (row.drainSignal == DrainSignal::Terminate) {
                fleet.node(1).signal(SIGTERM);
            } else if (row.drainSignal == DrainSignal::VmList) {
                fleet.setVmState(1, "leaving");
            } else {
                fleet.configureUpstream("lookups-1", R"({"draining": true})");
            }
            const TestReply reply = leavingNodeReply.get();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name + (": " + reply.describe()), 200U, reply.status);
            const nlohmann::json report = load.report(20s);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name + report.dump(), report["requests"].get<int>(), report["ok"].get<int>());
            if (row.drainSignal == DrainSignal::Terminate) {
                CPPUNIT_ASSERT_MESSAGE(row.name, fleet.node(1).wait(10s) == 0);
            }
            const nlohmann::json runs = fleet.runs();
            int runsBeforeSignal = 0;
            for (const nlohmann::json &run : runs["runs"]) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name + run.dump(), std::string("answered"), run["state"].get<std::string>());
                if (run["upstream"] == "lookups-1") {
                    const std::int64_t msAfterSignal = run["start_unix_ms"].get<std::int64_t>() - signalTimeMs;
                    runsBeforeSignal += msAfterSignal < 0 ? 1 : 0;
                    CPPUNIT_ASSERT_MESSAGE(row.name + run.dump(), msAfterSignal < maxNewWorkDelayMs);
                }
            }
            CPPUNIT_ASSERT_MESSAGE(row.name + std::string(": no work reached the upstream before the drain signal"), runsBeforeSignal > 0);
        }
    }

    /// Guards against requests that a leaving node takes and cuts, because their work outlasts its drain timeout, and against refusals
    /// of requests that surely end in time.
    void leavingNodeTakesNoWorkThatItWouldCut()
    {
        struct Row
        {
            const char *name;
            const char *timeoutMs; ///< Timeout that the caller sends.
            const char *upstreamSettings;
            unsigned status;
        };
        const Row rows[] = {{"outlasts the drain", "5000", R"({"base_delay_ms": 4000})", 503},
                            {"ends in time", "1000", R"({"base_delay_ms": 100})", 200}};
        for (const Row &row : rows) {
            FleetOptions options;
            options.drainTimeoutSeconds = 3;
            FleetFixture fleet(options);
            fleet.configureUpstream("all", row.upstreamSettings);
            fleet.node(1).signal(SIGTERM);
            std::this_thread::sleep_for(300ms);
            TestRequest lodging;
            lodging.method = "POST";
            lodging.target = "/lodging";
            lodging.headers = {{"Galenarack-Timeout-Ms", row.timeoutMs}};
            const TestReply reply = fleet.callAsync(1, lodging).get();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name + (": " + reply.describe()), row.status, reply.status);
            CPPUNIT_ASSERT_MESSAGE(row.name, fleet.node(1).wait(10s) == 0);
            const nlohmann::json runs = fleet.runs();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name + runs.dump(), std::size_t{row.status == 200}, runs["runs"].size());
        }
    }

    /// Guards against violations of the guarantees during a rolling restart of all nodes, with callers that send failed requests
    /// again as the responses allow.
    void rollingReplacementKeepsGuarantees()
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
            // Resends of repeatable requests always lead to a response.
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, lookupReport["requests"].get<int>(), lookupReport["ok"].get<int>());
            if (row.signal == SIGTERM) {
                for (const nlohmann::json &run : runs["runs"]) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(context + run.dump(), std::string("answered"), run["state"].get<std::string>());
                }
            }
        }
    }

private:
    /// Longest time after the first drain signal in which new work may reach the upstream (P5), in milliseconds.
    static constexpr std::int64_t maxNewWorkDelayMs = 2000;

    static std::string summary(nlohmann::json report)
    {
        report.erase("not_run_request_ids");
        report.erase("ok_keys");
        return report.dump();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeavingTest);
