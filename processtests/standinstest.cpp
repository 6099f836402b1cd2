#include "support/standinprocess.h"
#include "support/temporaryfolder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <thread>

using namespace Galenarack;
using namespace std::chrono_literals;

/// Behaviour of the stand-ins. The other process tests rely on them, so that a stand-in that does not inject its configured
/// fault would hide a fault of the daemon.
class StandInsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StandInsTest);
    CPPUNIT_TEST(configServiceModes);
    CPPUNIT_TEST(configServicePortsAreIndependent);
    CPPUNIT_TEST(watchReturnsOnChangeOnly);
    CPPUNIT_TEST(upstreamFaults);
    CPPUNIT_TEST(upstreamRejectsExpiredWorkAndRecordsCancellation);
    CPPUNIT_TEST(loadThroughRelayCountsEveryRun);
    CPPUNIT_TEST(relayFaults);
    CPPUNIT_TEST(destructorEndsChildProcess);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a mode that responds although it must not, and against a stale mode that serves values written later.
    void configServiceModes()
    {
        struct Row
        {
            const char *mode;
            const char *expected; ///< Expected body, empty when there is no response.
            StandIns::ExchangeEnd end;
        };
        const Row rows[] = {
            {"normal", "new", StandIns::ExchangeEnd::Complete},
            {"stale", "old", StandIns::ExchangeEnd::Complete},
            {"frozen", "", StandIns::ExchangeEnd::Timeout},
            {"down", "", StandIns::ExchangeEnd::ConnectFailed},
        };
        const StandInProcess service("standin-configservice", {}, this->errorFile());
        for (const Row &row : rows) {
            service.control("POST", "/mode/normal");
            service.control("PUT", "/values/section/a", "old");
            service.control("POST", std::string("/mode/") + row.mode);
            service.control("PUT", "/values/section/a", "new");
            const TestReply reply = readValue(service, "section/a", 300ms);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.mode, std::string(row.expected), reply.body);
            CPPUNIT_ASSERT_MESSAGE(row.mode + reply.describe(), reply.end == row.end);
        }
        service.control("POST", "/mode/normal");
        CPPUNIT_ASSERT_EQUAL(std::string("new"), readValue(service, "section/a", 300ms).body);
        CPPUNIT_ASSERT_EQUAL(4, service.control("GET", "/calls")["keys"]["section/a"].get<int>());
    }

    /// Guards against a mode or value that is set for one port and also affects the readers of another port.
    void configServicePortsAreIndependent()
    {
        const StandInProcess service("standin-configservice", {"--listen=127.0.0.1:0,127.0.0.1:0"}, this->errorFile());
        service.control("PUT", "/values/vms", "old");
        service.control("PUT", "/values/manifest", "one");
        service.control("PUT", "/views/0/vms", "view");
        service.control("POST", "/mode/stale?port=0");
        service.control("PUT", "/values/vms", "new");
        service.control("PUT", "/values/manifest", "two");
        CPPUNIT_ASSERT_EQUAL(std::string("view"), readValue(service, "vms", 300ms, 0).body);
        CPPUNIT_ASSERT_EQUAL(std::string("one"), readValue(service, "manifest", 300ms, 0).body);
        CPPUNIT_ASSERT_EQUAL(std::string("new"), readValue(service, "vms", 300ms, 1).body);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), readValue(service, "manifest", 300ms, 1).body);
    }

    /// Guards against a watch that returns without a change, or not at all after a change.
    void watchReturnsOnChangeOnly()
    {
        const StandInProcess service("standin-configservice", {}, this->errorFile());
        service.control("PUT", "/values/manifest", "one");
        // SHA-256 of "one".
        const std::string watch = "manifest?after=%227692c3ad3540bb803c020b3aee66cd8887123234ea0c6e7143c0add73ff431ed%22&wait=";
        CPPUNIT_ASSERT_EQUAL(304U, readValue(service, watch + "0.2", 2s).status);
        auto pending = std::async(std::launch::async, [&] {
            return readValue(service, watch + "20", 5s);
        });
        CPPUNIT_ASSERT(pending.wait_for(300ms) == std::future_status::timeout);
        service.control("PUT", "/values/manifest", "two");
        CPPUNIT_ASSERT_EQUAL(std::string("two"), pending.get().body);
    }

    /// Guards against a fault setting that has no effect, or that still has an effect after it is reset.
    void upstreamFaults()
    {
        struct Row
        {
            const char *settings;
            StandIns::ExchangeEnd end;
            unsigned status;
            bool matchesRequest; ///< Whether the response carries the id of the request.
            int runs;
        };
        using StandIns::ExchangeEnd;
        const Row rows[] = {
            {R"({})", ExchangeEnd::Complete, 200, true, 1},
            {R"({"hang": true})", ExchangeEnd::Timeout, 0, false, 1},
            {R"({"slow_factor": 1000, "slow_path": "/claims"})", ExchangeEnd::Timeout, 0, false, 1},
            {R"({"slow_factor": 1000, "slow_path": "/other"})", ExchangeEnd::Complete, 200, true, 1},
            {R"({"stuck_slots": 3})", ExchangeEnd::Timeout, 0, false, 1},
            {R"({"cold_ms": 5000, "cold_factor": 1000})", ExchangeEnd::Timeout, 0, false, 1},
            {R"({"error_share": 1})", ExchangeEnd::Complete, 500, true, 1},
            {R"({"wrong_share": 1})", ExchangeEnd::Complete, 200, false, 1},
            {R"({"truncated_share": 1})", ExchangeEnd::ResponseCut, 0, false, 1},
            {R"({"shed_share": 1})", ExchangeEnd::Complete, 503, false, 0},
            {R"({"slots": 0})", ExchangeEnd::Complete, 503, false, 0},
            {R"({"hang": true, "flap_period_ms": 60000})", ExchangeEnd::Timeout, 0, false, 1},
        };
        const StandInProcess upstream("standin-upstream", {"--upstreams=a=127.0.0.1:0"}, this->errorFile());
        const nlohmann::json initial = upstream.control("GET", "/upstreams")["a"]["settings"];
        int number = 0;
        for (const Row &row : rows) {
            send(upstream, "/claims/first", "first", 2s);
            upstream.control("POST", "/reset");
            upstream.control("POST", "/upstreams/a", row.settings);
            const std::string id = "id-" + std::to_string(++number);
            const TestReply reply = send(upstream, "/claims/1", id, 300ms);
            const nlohmann::json runs = upstream.control("GET", "/runs");
            upstream.control("POST", "/upstreams/a", initial.dump());
            const std::string context = row.settings + (": " + reply.describe());
            CPPUNIT_ASSERT_MESSAGE(context, reply.end == row.end);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, row.status, reply.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, row.matchesRequest, StandIns::jsonStringMember(reply.body, "request_id") == id);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, row.runs, runs["request_ids"].value(id, 0));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, row.runs, runs["keys"].value("key-" + id, 0));
        }
    }

    /// Guards against a run log that lists rejected work as run, or cancelled work as answered.
    void upstreamRejectsExpiredWorkAndRecordsCancellation()
    {
        const StandInProcess upstream("standin-upstream", {R"(--settings={"base_delay_ms": 2000})"}, this->errorFile());
        TestRequest expiredRequest;
        expiredRequest.headers = {{"galenarack-deadline-unix-ms", std::to_string(StandIns::unixMilliseconds() - 1)}};
        const std::string address = upstream.addresses()["upstreams"]["upstream"];
        CPPUNIT_ASSERT_EQUAL(504U, sendRequest(address, expiredRequest).status);
        CPPUNIT_ASSERT(upstream.control("GET", "/runs")["runs"].empty());
        send(upstream, "/x", "cancelled", 100ms);
        CPPUNIT_ASSERT(waitFor(1s, [&upstream] {
            return upstream.control("GET", "/runs")["runs"][0]["state"] == "cancelled";
        }));
    }

    /// Guards against different request counts in the report of the load and at the upstreams behind a relay.
    void loadThroughRelayCountsEveryRun()
    {
        const StandInProcess upstream(
            "standin-upstream", {"--upstreams=a=127.0.0.1:0,b=127.0.0.1:0", R"(--settings={"slots": 50})"}, this->errorFile());
        const std::string target = upstream.addresses()["upstreams"]["a"];
        const StandInProcess relay("standin-relay", {"--relays=a=127.0.0.1:0=" + target}, this->errorFile());
        const std::string relayed = relay.addresses()["relays"]["a"];
        const std::string direct = upstream.addresses()["upstreams"]["b"];
        const nlohmann::json report
            = runLoad({"--targets=" + relayed + "," + direct, "--rate=300", "--duration_s=1", "--arrivals=fixed"}, 10s);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(report.dump(), 300, report["ok"].get<int>());
        CPPUNIT_ASSERT_EQUAL(0, report["mismatched"].get<int>());
        const nlohmann::json states = upstream.control("GET", "/upstreams");
        CPPUNIT_ASSERT_EQUAL(150, states["a"]["requests"].get<int>());
        CPPUNIT_ASSERT_EQUAL(150, states["b"]["requests"].get<int>());
        CPPUNIT_ASSERT_EQUAL(std::size_t(300), upstream.control("GET", "/runs")["runs"].size());
    }

    /// Guards against a relay that forwards bytes during a fault, or loses them after the fault has ended.
    void relayFaults()
    {
        struct Row
        {
            const char *fault;
            bool runs; ///< Whether the request reaches the upstream during the fault.
            bool answered; ///< Whether the response reaches the caller during the fault.
        };
        const Row rows[] = {
            {R"({})", true, true},
            {R"({"forward_silent": true})", false, false},
            {R"({"backward_silent": true})", true, false},
            {R"({"forward_silent": true, "backward_silent": true})", false, false},
            {R"({"forward_silent": true, "backward_silent": true, "existing_only": true})", true, true},
            {R"({"delay_ms": 1000})", false, false},
            {R"({"refuse": true})", false, false},
        };
        const StandInProcess upstream("standin-upstream", {}, this->errorFile());
        const std::string target = upstream.addresses()["upstreams"]["upstream"];
        const StandInProcess relay("standin-relay", {"--relays=a=127.0.0.1:0=" + target}, this->errorFile());
        const std::string relayed = relay.addresses()["relays"]["a"];
        for (const Row &row : rows) {
            relay.control("POST", "/relays/a", row.fault);
            upstream.control("POST", "/reset");
            auto pending = sendAsync(relayed, {});
            const bool answered = pending.wait_for(400ms) == std::future_status::ready && pending.get().status == 200;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.fault, row.answered, answered);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.fault, row.runs, !upstream.control("GET", "/runs")["runs"].empty());
            relay.control("POST", "/relays/a", "{}");
            if (pending.valid()) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.fault, 200U, pending.get().status);
            }
        }
    }

    /// Guards against child processes that outlive the test that started them.
    void destructorEndsChildProcess()
    {
        pid_t pid = 0;
        {
            StandInProcess upstream("standin-upstream", {}, this->errorFile());
            pid = upstream.process().processId();
            upstream.process().signal(SIGSTOP);
            CPPUNIT_ASSERT(send(upstream, "/", "stopped", 200ms).end == StandIns::ExchangeEnd::Timeout);
            upstream.process().signal(SIGCONT);
            CPPUNIT_ASSERT_EQUAL(200U, send(upstream, "/", "continued", 2s).status);
            CPPUNIT_ASSERT(upstream.process().isRunning());
        }
        CPPUNIT_ASSERT(::kill(pid, 0) != 0);
        StandInProcess upstream("standin-upstream", {}, this->errorFile());
        upstream.process().signal(SIGTERM);
        CPPUNIT_ASSERT(upstream.process().wait(2s) == 0);
    }

private:
    static TestReply readValue(const StandInProcess &service,
                               const std::string &keyAndQuery,
                               std::chrono::milliseconds timeout,
                               std::size_t port = 0)
    {
        TestRequest request;
        request.target = "/v1/values/" + keyAndQuery;
        request.timeout = timeout;
        return sendRequest(service.addresses()["listen"][port].get<std::string>(), request);
    }

    /// Sends a request with request id `id` and idempotency key "key-`id`" to the first upstream of the process.
    static TestReply send(const StandInProcess &upstream, const std::string &path, const std::string &id, std::chrono::milliseconds timeout)
    {
        TestRequest request;
        request.target = path;
        request.headers = {{"galenarack-request-id", id}, {"idempotency-key", "key-" + id}};
        request.timeout = timeout;
        return sendRequest(upstream.addresses()["upstreams"].front().get<std::string>(), request);
    }

    std::filesystem::path errorFile() const
    {
        return this->folder.path() / "stderr.txt";
    }

    TemporaryFolder folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StandInsTest);
