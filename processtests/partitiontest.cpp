#include "support/fleetfixture.h"
#include "support/guaranteechecker.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <functional>
#include <thread>

using namespace Galenarack;
using namespace std::chrono_literals;

/// Network partitions in which a path between nodes drops all data, and combinations of two faults.
class PartitionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PartitionTest);
    CPPUNIT_TEST(silentPathAffectsOnlyItsRequests);
    CPPUNIT_TEST(twoFaultsAtOnceKeepGuarantees);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a silent path that leads to a violation of the guarantees or fails requests that do not depend on it.
    void silentPathAffectsOnlyItsRequests()
    {
        struct Row
        {
            const char *fault; ///< Fault of the path from node 0 to node 1.
            const char *reverseFault; ///< Fault of the path from node 1 to node 0.
        };
        const Row rows[] = {
            {R"({"forward_silent": true})", "{}"},
            {R"({"backward_silent": true})", "{}"},
            {R"({"forward_silent": true, "backward_silent": true, "existing_only": true})", "{}"},
            {R"({"forward_silent": true, "backward_silent": true})", R"({"forward_silent": true, "backward_silent": true})"},
        };
        FleetOptions options;
        options.relayPeers = true;
        FleetFixture fleet(options);
        fleet.configureUpstream("all", R"({"base_delay_ms": 200})");
        for (const Row &row : rows) {
            fleet.upstreams().control("POST", "/reset");
            BackgroundLoad lookups(loadFlags(fleet.callerAddress(0), "/lookups", 20, "GET", "1"), "/dev/null");
            BackgroundLoad keyedPosts(loadFlags(fleet.callerAddress(0), "/single-1", 10, "POST", "2"), "/dev/null");
            BackgroundLoad unaffected(loadFlags(fleet.callerAddress(2), "/single-1", 10, "GET", "3"), "/dev/null");
            std::this_thread::sleep_for(1s);
            fleet.setPathFault(0, 1, row.fault);
            fleet.setPathFault(1, 0, row.reverseFault);
            std::this_thread::sleep_for(4s);
            fleet.setPathFault(0, 1, "{}");
            fleet.setPathFault(1, 0, "{}");
            const nlohmann::json lookupReport = lookups.report(30s);
            const nlohmann::json keyedPostReport = keyedPosts.report(30s);
            const nlohmann::json unaffectedReport = unaffected.report(30s);
            GuaranteeChecker checker;
            checker.addLoadReport(lookupReport);
            checker.addLoadReport(keyedPostReport);
            checker.addLoadReport(unaffectedReport);
            const std::string context = std::string(row.fault) + " " + row.reverseFault + "\nlookups " + summary(lookupReport)
                                        + "\nkeyed posts " + summary(keyedPostReport) + "\nunaffected " + summary(unaffectedReport);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::string(), checker.violations(fleet.runs()));
            // Lookups can run at other homes, and node 2 reaches node 1 on a path without a fault.
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, lookupReport["requests"].get<int>(), lookupReport["ok"].get<int>());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, unaffectedReport["requests"].get<int>(), unaffectedReport["ok"].get<int>());
            TestRequest request;
            request.target = "/single-1";
            CPPUNIT_ASSERT_MESSAGE(context, waitFor(5s, [&] {
                                       return fleet.call(0, request).status == 200;
                                   }));
        }
    }

    /// Guards against violations of the guarantees that occur only when two faults coincide.
    void twoFaultsAtOnceKeepGuarantees()
    {
        struct Row
        {
            const char *name;
            std::function<void(FleetFixture &)> first;
            std::function<void(FleetFixture &)> second;
        };
        const auto killNode = [](unsigned node) {
            return [node](FleetFixture &fleet) {
                fleet.node(node).kill();
            };
        };
        const auto silentPath = [](FleetFixture &fleet) {
            fleet.setPathFault(0, 2, R"({"forward_silent": true, "backward_silent": true})");
        };
        const auto frozenConfigService = [](FleetFixture &fleet) {
            fleet.setConfigServiceMode("frozen");
        };
        const auto hangingUpstream = [](FleetFixture &fleet) {
            fleet.configureUpstream("lodging-2", R"({"hang": true})");
        };
        const auto pausedNode = [](FleetFixture &fleet) {
            fleet.node(1).signal(SIGSTOP);
            std::this_thread::sleep_for(2500ms);
            fleet.node(1).signal(SIGCONT);
        };
        const Row rows[] = {
            {"home killed, configuration service frozen", killNode(1), frozenConfigService},
            {"home killed, path to another home silent", killNode(1), silentPath},
            {"home paused, upstream of another hangs", hangingUpstream, pausedNode},
            {"two homes killed", killNode(1), killNode(2)},
            {"path silent, home paused", silentPath, pausedNode},
        };
        for (const Row &row : rows) {
            FleetOptions options;
            options.relayPeers = true;
            options.deadlineMs = 2000;
            FleetFixture fleet(options);
            fleet.configureUpstream("all", R"({"base_delay_ms": 50})");
            BackgroundLoad lookups(loadFlags(fleet.callerAddress(0), "/lookups", 40, "GET", "1"), "/dev/null");
            BackgroundLoad keyedPosts(loadFlags(fleet.callerAddress(0), "/lodging", 40, "POST", "2"), "/dev/null");
            std::this_thread::sleep_for(1s);
            row.first(fleet);
            row.second(fleet);
            const nlohmann::json lookupReport = lookups.report(60s);
            const nlohmann::json keyedPostReport = keyedPosts.report(60s);
            GuaranteeChecker checker;
            checker.addLoadReport(lookupReport);
            checker.addLoadReport(keyedPostReport);
            const std::string context
                = std::string(row.name) + "\nlookups " + summary(lookupReport) + "\nkeyed posts " + summary(keyedPostReport);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::string(), checker.violations(fleet.runs()));
            // Node 0 and its own upstreams have no fault, so that resends of lookups succeed.
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, lookupReport["requests"].get<int>(), lookupReport["ok"].get<int>());
        }
    }

private:
    /// @return flags for a load of 8 s on the node at `target`; POST requests carry issued idempotency keys
    static std::vector<std::string> loadFlags(
        const std::string &target, const std::string &path, int rate, const std::string &method, const std::string &seed)
    {
        std::vector<std::string> flags = {"--targets=" + target,
                                          "--path=" + path,
                                          "--rate=" + std::to_string(rate),
                                          "--method=" + method,
                                          "--seed=" + seed,
                                          "--duration_s=8",
                                          "--account=charity",
                                          "--lists",
                                          "--resends=4"};
        if (method == "POST") {
            flags.emplace_back("--issued_keys");
        }
        return flags;
    }

    static std::string summary(nlohmann::json report)
    {
        report.erase("not_run_request_ids");
        report.erase("ok_keys");
        return report.dump();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartitionTest);
