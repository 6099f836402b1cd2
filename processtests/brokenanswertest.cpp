#include "support/fleetfixture.h"
#include "support/rawfleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <future>
#include <optional>
#include <string>
#include <vector>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr unsigned badGateway = 502;
constexpr std::size_t uploadBytes = 12 * 1024 * 1024;

struct AnswerCase
{
    const char *name;
    RawAnswer answer;
    unsigned status; ///< Expected status at the caller.
    std::string body; ///< Expected body of an answer that is passed on.
    std::size_t requestBytes = 0; ///< Size of the request's body; with 0 the request has none.
    unsigned statusWithoutRegistry = 0; ///< Expected status of a node without a registry if it differs, else 0.
};

const std::vector<AnswerCase> &answerCases()
{
    const std::string ok = "HTTP/1.1 200 OK";
    const std::string twoBytes = "Content-Length: 2\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
    static const std::vector<AnswerCase> table = {
        {"status 000", {"HTTP/1.1 000 None", twoBytes, "ok"}, badGateway, ""},
        {"status 001", {"HTTP/1.1 001 None", twoBytes, "ok"}, badGateway, ""},
        {"status 099", {"HTTP/1.1 099 None", twoBytes, "ok"}, badGateway, ""},
        {"status 101", {"HTTP/1.1 101 Switching Protocols", "Upgrade: x\r\nConnection: upgrade\r\n", ""}, badGateway, ""},
        {"status 600", {"HTTP/1.1 600 None", twoBytes, "ok"}, badGateway, ""},
        {"status 999", {"HTTP/1.1 999 None", twoBytes, "ok"}, badGateway, ""},
        {"status 000, not executed", {"HTTP/1.1 000 None", "Not-Executed: 1\r\n" + twoBytes, "ok"}, badGateway, ""},
        {"status 201", {"HTTP/1.1 201 Created", twoBytes, "ok"}, 201, "ok"},
        {"status 204", {"HTTP/1.1 204 No Content", "", ""}, 204, ""},
        {"status 299", {"HTTP/1.1 299 ", twoBytes, "ok"}, 299, "ok"},
        {"status 304", {"HTTP/1.1 304 Not Modified", "", ""}, 304, ""},
        {"status 404", {"HTTP/1.1 404 Not Found", twoBytes, "ok"}, 404, "ok"},
        {"interim 103 first", {"HTTP/1.1 103 Early Hints\r\n\r\n" + ok, twoBytes, "ok"}, 200, "ok"},
        {"no length, reset during the upload", {ok, "", "part", RawEnd::Reset}, badGateway, "", uploadBytes},
        {"no length, HTTP/1.0, reset during the upload", {"HTTP/1.0 200 OK", "", "part", RawEnd::Reset}, badGateway, "", uploadBytes},
        {"no length, closed during the upload", {ok, "", "part", RawEnd::Close}, badGateway, "", uploadBytes},
        {"no length, reset", {ok, "", "part", RawEnd::Reset}, badGateway, ""},
        {"length, reset during the upload", {ok, "Content-Length: 9\r\n", "part", RawEnd::Reset}, badGateway, "", uploadBytes},
        {"chunks, reset during the upload", {ok, chunked, "4\r\npart\r\n", RawEnd::Reset}, badGateway, "", uploadBytes},
        {"no length, closed", {ok, "", "whole", RawEnd::Close}, 200, "whole", 0, badGateway},
        {"no length, upload read, closed", {ok, "", "whole", RawEnd::ReadThenClose}, 200, "whole", uploadBytes},
        {"no length, half-closed, upload read later", {ok, "", "whole", RawEnd::HalfCloseThenRead}, 200, "whole", uploadBytes},
        {"length, upload read later", {ok, twoBytes, "ok", RawEnd::ReadThenClose}, 200, "ok", uploadBytes},
        {"chunks, upload read later", {ok, chunked, chunks, RawEnd::ReadThenClose}, 200, "ok", uploadBytes},
        {"blank in a field name", {ok, "X Field: 1\r\n" + twoBytes, "ok"}, badGateway, ""},
        {"blank before the colon", {ok, "X-Field : 1\r\n" + twoBytes, "ok"}, badGateway, ""},
        {"control byte in a field name", {ok, "X-\x01Q: 1\r\n" + twoBytes, "ok"}, badGateway, ""},
        {"control byte before a field name", {ok, "\x02X-Field: 1\r\n" + twoBytes, "ok"}, badGateway, ""},
        {"empty field name", {ok, ": 1\r\n" + twoBytes, "ok"}, badGateway, ""},
        {"field without a colon", {ok, "X-Field\r\n" + twoBytes, "ok"}, badGateway, ""},
        {"field name above 127", {ok, "X-\xef: 1\r\n" + twoBytes, "ok"}, badGateway, ""},
        {"transfer coding that is not chunked", {ok, "Transfer-Encoding: gzip\r\n", "coded"}, badGateway, ""},
        {"transfer coding below chunks", {ok, "Transfer-Encoding: gzip, chunked\r\n", chunks}, badGateway, ""},
        {"empty transfer coding", {ok, "Transfer-Encoding:\r\n", "ok"}, badGateway, ""},
        {"content coding", {ok, "Content-Encoding: gzip\r\n" + twoBytes, "ok"}, badGateway, "ok", 0, 200},
    };
    return table;
}

} // namespace

class BrokenAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BrokenAnswerTest);
    CPPUNIT_TEST(onlyWholeAndValidAnswersReachCallers);
    CPPUNIT_TEST(onlyValidAnswersReachCallersWithoutRegistry);
    CPPUNIT_TEST(brokenAnswersEndNoOtherRequests);
    CPPUNIT_TEST(brokenAnswersCountAgainstTheUpstream);
    CPPUNIT_TEST(endlessAnswersEndNoOtherRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an answer that is broken, or that ended early, and reaches a caller as an answer of the upstream or as a promise
    /// that the request has not run, and against a valid one that does not reach the caller. Covers the path between nodes and the one
    /// within a node, work that may be repeated and work that may not.
    void onlyWholeAndValidAnswersReachCallers()
    {
        const struct
        {
            const char *target;
            unsigned node;
        } paths[] = {{"/write/x", 0}, {"/read/x", 0}, {"/write/x", 1}};
        RawFleet raw;
        std::string mismatches;
        unsigned count = 0;
        for (const AnswerCase &row : answerCases()) {
            for (const auto &path : paths) {
                const std::string id = "r" + std::to_string(count++);
                const std::string method = row.requestBytes != 0 || path.target[1] == 'w' ? "POST" : "GET";
                raw.restoreHealth(path.node, id);
                raw.upstream.answer = row.answer;
                const StandIns::Exchange seen = raw.send(path.node, method, path.target, id, row.requestBytes);
                const bool isPassedOn = row.status != badGateway;
                const bool isExpected = seen.end == StandIns::ExchangeEnd::Complete && seen.response.result_int() == row.status
                                        && (seen.response.count("Server-Seal") != 0) == isPassedOn
                                        && (!isPassedOn || seen.response.body() == row.body);
                if (!isExpected) {
                    mismatches += std::string(row.name) + ", node " + std::to_string(path.node) + ", " + path.target + ": "
                                  + std::string(exchangeEndName(seen.end)) + " " + std::to_string(seen.response.result_int()) + ", "
                                  + seen.response.body() + "\n";
                }
                const unsigned arrivals = raw.upstream.arrivals[id];
                if (arrivals == 0 || (arrivals > 1 && path.target[1] == 'w')) {
                    mismatches += std::string(row.name) + ": " + std::to_string(arrivals) + " arrivals\n";
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches);
    }

    /// Guards against the same at nodes without a registry, which reject each answer without a length.
    void onlyValidAnswersReachCallersWithoutRegistry()
    {
        asio::io_context context;
        RawUpstream upstream(context, "galenarack-request-id");
        FleetOptions options;
        options.upstreamAddresses = {{"single-1", StandIns::endpointText(upstream.address())}};
        FleetFixture fleet(options);
        const auto send = [&](unsigned node, const std::string &target) {
            TestRequest request;
            request.target = target;
            auto pending = fleet.callAsync(node, request);
            while (pending.wait_for(0s) != std::future_status::ready) {
                context.restart();
                context.run_for(5ms);
            }
            return pending.get();
        };
        std::string mismatches;
        for (const AnswerCase &row : answerCases()) {
            if (row.requestBytes != 0) {
                continue;
            }
            const unsigned status = row.statusWithoutRegistry == 0 ? row.status : row.statusWithoutRegistry;
            for (const unsigned node : {0U, 1U}) {
                upstream.answer = row.answer;
                const TestReply reply = send(node, "/single-1/x");
                if (reply.status != status || (status != badGateway && reply.body != row.body)) {
                    mismatches += std::string(row.name) + ", node " + std::to_string(node) + ": " + reply.describe() + "\n";
                }
                // Successes in between keep the upstream from being ejected.
                for (int i = 0; i < 20; ++i) {
                    send(1, "/single-1/sound");
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches);
    }

    /// Guards against a broken answer that ends the session between two nodes, and with it other requests in flight.
    void brokenAnswersEndNoOtherRequests()
    {
        constexpr unsigned soundCount = 24;
        RawFleet raw;
        raw.upstream.delay = 30ms;
        unsigned count = 0;
        for (const char *statusLine : {"HTTP/1.1 000 None", "HTTP/1.1 999 None", "HTTP/1.1 200 O\x01K", "no answer"}) {
            raw.upstream.answer = {statusLine, "Connection: close\r\nContent-Length: 2\r\n", "ok"};
            std::optional<StandIns::Exchange> broken;
            std::vector<std::optional<StandIns::Exchange>> sound(soundCount);
            const std::string name = std::to_string(count++);
            raw.restoreHealth(0, "before-" + name);
            asio::co_spawn(raw.fleet.context, raw.exchange(0, "POST", "/write/x", "broken-" + name, 0, broken), asio::detached);
            for (unsigned i = 0; i < soundCount; ++i) {
                const std::string id = "sound-" + name + std::to_string(i);
                asio::co_spawn(raw.fleet.context, raw.exchange(0, "GET", "/read/sound", id, 0, sound[i]), asio::detached);
            }
            const auto isPending = [](const std::optional<StandIns::Exchange> &exchange) {
                return !exchange.has_value();
            };
            while (isPending(broken) || std::ranges::any_of(sound, isPending)) {
                raw.fleet.runFor(10ms);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(statusLine, badGateway, broken->response.result_int());
            for (const auto &exchange : sound) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(statusLine, std::string("sound"), exchange->response.body());
            }
        }
    }

    /// Guards against an upstream whose broken answers do not count against its health, and which keeps getting its share of the
    /// requests.
    void brokenAnswersCountAgainstTheUpstream()
    {
        constexpr unsigned requestCount = 60;
        PlatformFleet fleet(4);
        RawUpstream broken(fleet.context);
        broken.answer = {"HTTP/1.1 000 None", "Content-Length: 2\r\n", "ok"};
        fleet.setUpstreamAddress(1, broken.address());
        CPPUNIT_ASSERT(fleet.startAll());
        unsigned served = 0;
        for (unsigned i = 0; i < requestCount; ++i) {
            const CallResult result = fleet.sendAndWait(i % 2, "GET", "/read/x", "h" + std::to_string(i));
            served += result.status == 200 && result.isSigned ? 1 : 0;
            CPPUNIT_ASSERT(result.status == 200 || result.status == badGateway);
        }
        // Both nodes prefer the upstream while it is healthy: it is in their failure domain.
        CPPUNIT_ASSERT(!broken.arrivals.empty());
        CPPUNIT_ASSERT(broken.arrivals.size() <= requestCount / 4);
        CPPUNIT_ASSERT(served >= requestCount * 9 / 10);
    }

    /// Guards against a node that keeps the bytes which its upstream sends without end, until its memory is used up and the requests of
    /// other callers end with it.
    void endlessAnswersEndNoOtherRequests()
    {
        // Default of --memory_mb.
        constexpr std::size_t memoryKb = 256 * 1024;
        const std::string ok = "HTTP/1.1 200 OK";
        const std::string filler(64 * 1024, 'x');
        const struct
        {
            const char *name;
            RawAnswer answer;
        } table[] = {
            {"bytes that are no answer", {"SSH-2.0", "", "", RawEnd::Keep, filler}},
            {"field", {ok, "X-Long: ", "", RawEnd::Keep, filler}},
            {"body without a length", {ok, "\r\n", "", RawEnd::Keep, filler}},
            {"chunks", {ok, "Transfer-Encoding: chunked\r\n\r\n", "", RawEnd::Keep, "10000\r\n" + filler + "\r\n"}},
            {"chunk extension", {ok, "Transfer-Encoding: chunked\r\n\r\n2;a=", "", RawEnd::Keep, filler}},
        };
        RawFleet raw;
        const pid_t process = raw.fleet.processes[1]->processId();
        unsigned count = 0;
        for (const auto &row : table) {
            raw.upstream.answer = row.answer;
            const std::string name = std::to_string(count++);
            raw.restoreHealth(0, "before-" + name);
            std::array<std::optional<StandIns::Exchange>, 3> endless;
            for (std::size_t i = 0; i < endless.size(); ++i) {
                const std::string id = "endless-" + name + std::to_string(i);
                asio::co_spawn(raw.fleet.context, raw.exchange(0, "POST", "/write/x", id, 0, endless[i]), asio::detached);
            }
            const StandIns::Exchange sound = raw.send(0, "GET", "/read/sound", "sound-" + name, 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string("sound"), sound.response.body());
            while (std::ranges::any_of(endless, [](const auto &exchange) {
                return !exchange.has_value();
            })) {
                raw.fleet.runFor(10ms);
            }
            for (const auto &exchange : endless) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, badGateway, exchange->response.result_int());
            }
            CPPUNIT_ASSERT_MESSAGE(row.name, raw.fleet.processes[1]->isRunning());
            CPPUNIT_ASSERT_MESSAGE(row.name, peakMemoryKb(process) < memoryKb);
        }
        CPPUNIT_ASSERT(raw.upstream.endlessBytes > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswerTest);
