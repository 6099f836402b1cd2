#include <galenarackctl/requesttrace.h>

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

using namespace Galenarack;

namespace {

struct TraceCase
{
    const char *name;
    const char *ingressLog;
    const char *homeLog;
    const char *cause; ///< Substring of the expected cause.
    std::vector<std::string> messages; ///< Expected messages in causal order.
    std::int64_t skewMs; ///< Expected lead of the home's clock, in milliseconds.
};

} // namespace

class RequestTraceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestTraceTest);
    CPPUNIT_TEST(ordersLinesAndStatesCause);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against lines that are out of order because clocks differ, against lines of other requests, and against a cause
    /// that does not follow from the final line of the ingress.
    void ordersLinesAndStatesCause()
    {
        const TraceCase cases[] = {
            {"refused under overload",
             R"( 1.2 vm-1 {"time":"2026-12-04T10:00:00.100Z","component":"router","message":"request refused","request_id":"r1","error_kind":"overloaded","last_outcome":"expired","arrivals":0}
{"time":"2026-12-04T10:00:00.101Z","component":"router","message":"request refused","request_id":"r12","error_kind":"timeout"})",
             "not a log line with r1\n",
             "overload",
             {"request refused"},
             0},
            {"uncertain outcome, the home's clock is ahead",
             R"({"time":"2026-12-04T10:00:00.100Z","component":"router","message":"attempt failed","request_id":"r1","upstream":"i-1","error_kind":"peer-lost"}
{"time":"2026-12-04T10:00:00.101Z","component":"router","message":"request refused","request_id":"r1","error_kind":"peer-lost","last_outcome":"broken"})",
             R"({"time":"2026-12-04T10:00:00.450Z","component":"home","message":"run ended","request_id":"r1","upstream":"i-1","outcome":"withdrawn"})",
             "may have run",
             {"run ended", "attempt failed", "request refused"},
             350},
            {"late answer of a slow upstream",
             R"({"time":"2026-12-04T10:00:02.500Z","component":"router","message":"request answered","request_id":"r1","upstream":"i-2","status":200,"offers":2,"arrivals":1,"ran_ms":2300,"took_ms":2480})",
             R"({"time":"2026-12-04T10:00:02.400Z","component":"home","message":"run ended","request_id":"r1","upstream":"i-2","outcome":"answered"})",
             "upstream execution time 2300 ms",
             {"run ended", "request answered"},
             0},
            {"error status of the upstream",
             R"({"time":"2026-12-04T10:00:02.500Z","component":"router","message":"request answered","request_id":"r1","upstream":"i-2","status":500})",
             "",
             "answered with status 500",
             {"request answered"},
             0},
            {"upstream failed the request and its status implies that it has not run",
             R"({"time":"2026-12-04T10:00:02.500Z","component":"router","message":"request refused","request_id":"r1","error_kind":"upstream-answer-ambiguous","last_outcome":"ambiguous"})",
             R"({"time":"2026-12-04T10:00:02.499Z","component":"home","message":"run ended","request_id":"r1","upstream":"i-2","outcome":"ambiguous","detail":"status 429","states_not_run":"no"})",
             "may have run",
             {"run ended", "request refused"},
             0},
            {"unknown", "", "", "no log line has this request id", {}, 0},
        };
        for (const TraceCase &row : cases) {
            RequestTrace trace("r1");
            std::istringstream home(row.homeLog);
            std::istringstream ingress(row.ingressLog);
            trace.read("home.log", home);
            trace.read("ingress.log", ingress);
            std::vector<std::string> messages;
            std::int64_t skewMs = 0;
            for (const TraceLine &line : trace.orderedLines()) {
                messages.push_back(line.text("message"));
                skewMs = std::max(skewMs, trace.skewMs(line));
            }
            CPPUNIT_ASSERT_MESSAGE(row.name, row.messages == messages);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.skewMs, skewMs);
            CPPUNIT_ASSERT_MESSAGE(std::string(row.name) + ": " + trace.cause(), trace.cause().find(row.cause) != std::string::npos);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestTraceTest);
