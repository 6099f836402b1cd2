#include "support/fleetfixture.h"
#include "support/guaranteechecker.h"

#include <galenarack/core/digest.h>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <thread>

using namespace Galenarack;
using namespace std::chrono_literals;

/// Requests whose ingress is not the home, including a home that is killed or frozen while it works on them.
class ExecutionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExecutionTest);
    CPPUNIT_TEST(requestThroughAnotherNode);
    CPPUNIT_TEST(onlyUpstreamQueuesRequests);
    CPPUNIT_TEST(killedHomeRunsKeyedWorkAtMostOnce);
    CPPUNIT_TEST(frozenHomeDoesNotRunExpiredWork);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a request or response that is altered, or a request that is wrongly refused, when ingress and home differ.
    void requestThroughAnotherNode()
    {
        struct Row
        {
            const char *method;
            const char *target;
            const char *key; ///< Idempotency key to send; "issued" requests one from the node.
            unsigned status;
            const char *execution;
            std::size_t runs;
        };
        const Row rows[] = {
            {"GET", "/single-1/a?b=c", "", 200, "", 1},
            {"POST", "/single-1", "", 200, "", 1},
            {"POST", "/single-1", "issued", 200, "", 1},
            {"POST", "/lodging", "issued", 200, "", 1},
            {"POST", "/single-1", "made-up", 400, "not-run", 0},
            {"GET", "/nowhere", "", 404, "not-run", 0},
            {"GET", "/lodging", "", 405, "not-run", 0},
        };
        FleetFixture fleet;
        for (const Row &row : rows) {
            fleet.upstreams().control("POST", "/reset");
            TestRequest request;
            request.method = row.method;
            request.target = row.target;
            request.body = "some work";
            request.headers = {{"x-load-token", row.target}};
            const std::string key = row.key == std::string("issued") ? fleet.issueKey(0, row.target) : row.key;
            if (!key.empty()) {
                request.headers.emplace_back("idempotency-key", key);
            }
            // The second request with the same key gets the response that the home has retained.
            for (int copy = 0; copy < (key.empty() ? 1 : 2); ++copy) {
                const TestReply reply = fleet.call(copy == 0 ? 0 : 2, request);
                const std::string context = std::string(row.method) + " " + row.target + " " + key + ": " + reply.describe();
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, row.status, reply.status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::string(row.execution), reply.execution());
                if (row.status == 200) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::string(row.target), reply.json()["token"].get<std::string>());
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::string(row.target), reply.json()["target"].get<std::string>());
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(context, sha256Hex("some work"), reply.json()["body_digest"].get<std::string>());
                }
                CPPUNIT_ASSERT_EQUAL_MESSAGE(context, row.runs, fleet.runs()["runs"].size());
            }
        }
    }

    /// Guards against requests that fail, instead of waiting in the queue, when all slots of the only upstream of a service are
    /// in use.
    void onlyUpstreamQueuesRequests()
    {
        FleetOptions options;
        options.slots = 2;
        options.upstreamSettings = R"({"base_delay_ms": 100, "slots": 2})";
        FleetFixture fleet(options);
        BackgroundLoad load({"--targets=" + fleet.callerAddress(0), "--path=/single-1", "--rate=20", "--duration_s=3", "--account=charity"},
                            "/dev/null");
        const nlohmann::json report = load.report(30s);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(report.dump(), report["requests"].get<int>(), report["ok"].get<int>());
    }

    /// Guards against work that runs twice when its home is killed and the caller sends the request again with the same key
    /// (P4), and against work that is reported as not run although it ran (P3).
    void killedHomeRunsKeyedWorkAtMostOnce()
    {
        struct Row
        {
            const char *name;
            bool restart; ///< Whether the home is restarted before the caller sends the requests again.
        };
        const Row rows[] = {{"home stays away", false}, {"home restarts", true}};
        FleetFixture fleet;
        for (const Row &row : rows) {
            constexpr int copies = 12;
            constexpr auto spacing = 50ms;
            fleet.upstreams().control("POST", "/reset");
            fleet.configureUpstream("all", R"({"base_delay_ms": 300})");
            GuaranteeChecker checker;
            std::vector<TestRequest> requests(copies);
            std::vector<std::future<TestReply>> pending;
            for (TestRequest &request : requests) {
                request = keyedPost(fleet, "/single-1");
                pending.push_back(fleet.callAsync(0, request));
                std::this_thread::sleep_for(spacing);
            }
            // At this time some requests are answered, some are running and some are still on their way to the home.
            fleet.node(1).kill();
            for (int i = 0; i < copies; ++i) {
                checker.addReply(pending[i].get(), requests[i].headers[0].second);
            }
            if (row.restart) {
                fleet.startNode(1);
                CPPUNIT_ASSERT_MESSAGE(row.name, fleet.waitUntilReady(1, 10s));
            }
            for (const TestRequest &request : requests) {
                const TestReply reply = fleet.call(2, request);
                checker.addReply(reply, request.headers[0].second);
                CPPUNIT_ASSERT_MESSAGE(row.name + (": " + reply.describe()), reply.end == StandIns::ExchangeEnd::Complete);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name + (": " + reply.describe()), std::string("may-have-run"), reply.execution());
            }
            const nlohmann::json runs = fleet.runs();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(), checker.violations(runs));
            CPPUNIT_ASSERT_MESSAGE("no keyed request ran: " + runs.dump(), !runs["keys"].empty());
            if (!row.restart) {
                fleet.startNode(1);
                CPPUNIT_ASSERT_MESSAGE(row.name, fleet.waitUntilReady(1, 10s));
            }
        }
    }

    /// Guards against work that waits in a frozen home and runs after its deadline, when the caller no longer waits for it (P3).
    void frozenHomeDoesNotRunExpiredWork()
    {
        struct Row
        {
            const char *name;
            const char *method;
            bool keyed;
            bool queued; ///< Whether the request is in the home's queue when the home freezes; otherwise it is sent afterwards.
        };
        const Row rows[] = {
            {"repeatable, sent to a frozen home", "GET", false, false},
            {"not repeatable, sent to a frozen home", "POST", false, false},
            {"keyed, sent to a frozen home", "POST", true, false},
            {"keyed, queued in a frozen home", "POST", true, true},
        };
        FleetOptions options;
        options.deadlineMs = 1500;
        FleetFixture fleet(options);
        for (const Row &row : rows) {
            fleet.configureUpstream("all", R"({"base_delay_ms": 5})");
            fleet.upstreams().control("POST", "/reset");
            fleet.call(0, keyedPost(fleet, "/single-1"));
            TestRequest request = row.keyed ? keyedPost(fleet, "/single-1") : TestRequest();
            request.method = row.method;
            request.target = "/single-1";
            std::vector<std::future<TestReply>> pending;
            if (row.queued) {
                fleet.configureUpstream("single-1", R"({"base_delay_ms": 700})");
                for (unsigned i = 0; i < 2 * options.slots; ++i) {
                    pending.push_back(fleet.callAsync(0, keyedPost(fleet, "/single-1")));
                }
                std::this_thread::sleep_for(100ms);
            }
            const std::int64_t sent = StandIns::unixMilliseconds();
            if (!row.queued) {
                fleet.node(1).signal(SIGSTOP);
            }
            pending.push_back(fleet.callAsync(0, request));
            std::this_thread::sleep_for(100ms);
            fleet.node(1).signal(SIGSTOP);
            std::this_thread::sleep_for(std::chrono::milliseconds(options.deadlineMs + 700));
            fleet.node(1).signal(SIGCONT);
            GuaranteeChecker checker;
            for (std::future<TestReply> &future : pending) {
                const TestReply reply = future.get();
                checker.addReply(reply, "");
                CPPUNIT_ASSERT_MESSAGE(row.name + (": " + reply.describe()),
                                       reply.end == StandIns::ExchangeEnd::Complete
                                           && reply.elapsed < std::chrono::milliseconds(options.deadlineMs) + 1s);
            }
            std::this_thread::sleep_for(500ms);
            const nlohmann::json runs = fleet.runs();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(), checker.violations(runs));
            for (const nlohmann::json &run : runs["runs"]) {
                CPPUNIT_ASSERT_MESSAGE(std::string(row.name) + ": sent " + std::to_string(sent) + ", " + run.dump(),
                                       run["start_unix_ms"].get<std::int64_t>() < sent + options.deadlineMs + maxArrivalDelayMs);
            }
        }
    }

private:
    /// Longest time that a request takes from the caller to the ingress, where its deadline starts, in milliseconds.
    static constexpr std::int64_t maxArrivalDelayMs = 200;

    /// @return POST request to `path` with an issued idempotency key as its first header
    static TestRequest keyedPost(const FleetFixture &fleet, const std::string &path)
    {
        TestRequest request;
        request.method = "POST";
        request.target = path;
        request.headers = {{"idempotency-key", fleet.issueKey(0, path)}};
        return request;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecutionTest);
