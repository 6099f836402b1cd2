#include "support/rawfleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <vector>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

constexpr unsigned badGateway = 502;
constexpr unsigned serviceUnavailable = 503;

/// Statuses from which callers conclude that a request has not run and never will.
constexpr std::array<unsigned, 4> notRunStatuses = {408, 421, 429, 503};

/// Those of them that an upstream may send for a request that it has run; 421 always means that it has not.
constexpr std::array<unsigned, 3> ambiguousStatuses = {408, 429, 503};

bool impliesNotRun(unsigned status)
{
    return std::ranges::find(notRunStatuses, status) != notRunStatuses.end();
}

struct Path
{
    const char *name;
    const char *method;
    const char *target;
    unsigned node; ///< Ingress; the upstream is on the VM of node 1.
};

constexpr std::array<Path, 4> paths = {{
    {"not idempotent, home on another VM", "POST", "/write/x", 0},
    {"not idempotent, home at the ingress", "POST", "/write/x", 1},
    {"idempotent, home on another VM", "GET", "/read/x", 0},
    {"idempotent, home at the ingress", "GET", "/read/x", 1},
}};

RawAnswer makeAnswer(unsigned status, const std::string &fields)
{
    return {"HTTP/1.1 " + std::to_string(status) + " Status", "Content-Length: 2\r\n" + fields, "no"};
}

/// @return text of the answer for the message of a failed check
std::string describe(const StandIns::Exchange &seen)
{
    return std::string(exchangeEndName(seen.end)) + " " + std::to_string(seen.response.result_int())
           + (seen.response.count("Server-Seal") != 0 ? " with a seal" : "")
           + (seen.response.count("Retry-After") != 0 ? " with Retry-After" : "") + "\n";
}

/// Four nodes. Node 0 prefers the upstream of node 1, which is in its failure domain, to that of node 3.
class TwoUpstreamFleet
{
public:
    TwoUpstreamFleet()
        : fleet(nodeCount)
    {
        CPPUNIT_ASSERT(this->fleet.startAll());
    }

    UpstreamBehaviour &preferred()
    {
        return this->fleet.upstreams[1]->behaviour;
    }

    UpstreamBehaviour &other()
    {
        return this->fleet.upstreams[3]->behaviour;
    }

    static constexpr unsigned nodeCount = 4;
    PlatformFleet fleet;
};

} // namespace

/// Answers whose status says that a request has not run, although the upstream does not say so itself (Not-Executed).
class AmbiguousAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AmbiguousAnswerTest);
    CPPUNIT_TEST(statusOfUpstreamIsNoPromise);
    CPPUNIT_TEST(otherAnswersKeepTheirMeaning);
    CPPUNIT_TEST(idempotentRequestIsSentToAnotherUpstream);
    CPPUNIT_TEST(laterAttemptHidesNoEarlierRun);
    CPPUNIT_TEST(failingUpstreamLosesItsShare);
    CPPUNIT_TEST(reportOfUpstreamIsIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against work that an upstream has run and failed with 503, 429 or 408, and that its caller takes for not run and sends
    /// again.
    void statusOfUpstreamIsNoPromise()
    {
        const struct
        {
            const char *name;
            const char *fields;
            const char *body;
            bool isSigned;
        } forms[] = {
            {"whole", "Content-Length: 2\r\n", "no", true},
            {"with Retry-After", "Retry-After: 0.2\r\nContent-Length: 2\r\n", "no", true},
            {"without a seal", "Content-Length: 2\r\n", "no", false},
            {"without a seal, with Retry-After", "Retry-After: 1\r\nContent-Length: 2\r\n", "no", false},
            {"without a body", "Content-Length: 0\r\n", "", true},
            {"cut short", "Content-Length: 9\r\n", "no", true},
        };
        RawFleet raw;
        std::string mismatches;
        unsigned count = 0;
        for (const unsigned status : ambiguousStatuses) {
            for (const auto &form : forms) {
                for (const Path &path : paths) {
                    const std::string id = "p" + std::to_string(count++);
                    raw.restoreHealth(path.node, id);
                    raw.upstream.answer = makeAnswer(status, "");
                    raw.upstream.answer.fields = form.fields;
                    raw.upstream.answer.body = form.body;
                    raw.upstream.answer.isSigned = form.isSigned;
                    const StandIns::Exchange seen = raw.send(path.node, path.method, path.target, id, 0);
                    const bool isPromise = impliesNotRun(seen.response.result_int());
                    // Without a seal, since under that of the upstream only its own status is allowed.
                    const bool isSigned = seen.response.count("Server-Seal") != 0;
                    if (seen.end != StandIns::ExchangeEnd::Complete || isPromise || isSigned || raw.upstream.arrivals[id] != 1) {
                        mismatches += std::to_string(status) + " " + form.name + ", " + path.name + ", "
                                      + std::to_string(raw.upstream.arrivals[id]) + " arrivals: " + describe(seen);
                    }
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches);
    }

    /// Guards against an error of an upstream that reaches the caller as another one, and against work that surely has not run and is
    /// reported as work that may have.
    void otherAnswersKeepTheirMeaning()
    {
        const struct
        {
            const char *name;
            RawAnswer answer;
            unsigned status; ///< Expected status at the caller.
            bool isSigned; ///< Whether the answer of the upstream is expected at the caller.
        } table[] = {
            {"400", makeAnswer(400, ""), 400, true},
            {"404", makeAnswer(404, ""), 404, true},
            {"409", makeAnswer(409, "Retry-After: 1\r\n"), 409, true},
            {"422", makeAnswer(422, ""), 422, true},
            {"500", makeAnswer(500, ""), 500, true},
            {"500 with Retry-After", makeAnswer(500, "Retry-After: 1\r\n"), 500, true},
            {"502", makeAnswer(502, ""), 502, true},
            {"504", makeAnswer(504, ""), 504, true},
            {"503, not run", makeAnswer(503, "Not-Executed: 1\r\n"), serviceUnavailable, false},
            {"429, not run", makeAnswer(429, "Not-Executed: 1\r\n"), serviceUnavailable, false},
            {"408, not run", makeAnswer(408, "Not-Executed: 1\r\n"), serviceUnavailable, false},
            {"421", makeAnswer(421, ""), serviceUnavailable, false},
            {"421, not run", makeAnswer(421, "Not-Executed: 1\r\n"), serviceUnavailable, false},
            {"500, not run", makeAnswer(500, "Not-Executed: 1\r\n"), serviceUnavailable, false},
            {"200, not run", makeAnswer(200, "Not-Executed: 1\r\n"), serviceUnavailable, false},
            {"503, not run by its trailer",
             {"HTTP/1.1 503 Status", "Transfer-Encoding: chunked\r\nTrailer: Not-Executed\r\n", "2\r\nno\r\n0\r\nNot-Executed: 1\r\n\r\n"},
             serviceUnavailable,
             false},
        };
        RawFleet raw;
        std::string mismatches;
        unsigned count = 0;
        for (const auto &row : table) {
            for (const Path &path : paths) {
                const std::string id = "k" + std::to_string(count++);
                raw.restoreHealth(path.node, id);
                raw.upstream.answer = row.answer;
                const StandIns::Exchange seen = raw.send(path.node, path.method, path.target, id, 0);
                const bool isSigned = seen.response.count("Server-Seal") != 0;
                if (seen.end != StandIns::ExchangeEnd::Complete || seen.response.result_int() != row.status || isSigned != row.isSigned) {
                    mismatches += std::string(row.name) + ", " + path.name + ": " + describe(seen);
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches);
    }

    /// Guards against an idempotent request that ends with such an answer although another upstream serves it.
    void idempotentRequestIsSentToAnotherUpstream()
    {
        for (const unsigned status : ambiguousStatuses) {
            TwoUpstreamFleet rig;
            rig.preferred().status = status;
            for (unsigned i = 0; i < 20; ++i) {
                const std::string id = "i" + std::to_string(i);
                const CallResult result = rig.fleet.sendAndWait(0, "GET", "/read/x", id);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 200U, result.status);
                CPPUNIT_ASSERT_MESSAGE(id, result.isSigned);
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(status), !rig.fleet.upstreams[1]->runs.empty());
        }
    }

    /// Guards against a request that is reported as not run because of its last attempt, although an earlier one has run, or the other
    /// way round.
    void laterAttemptHidesNoEarlierRun()
    {
        UpstreamBehaviour rejecting;
        rejecting.rejects = true;
        UpstreamBehaviour dropping;
        dropping.dropsResponses = true;
        UpstreamBehaviour failing;
        failing.status = 500;
        for (const unsigned status : ambiguousStatuses) {
            UpstreamBehaviour ambiguous;
            ambiguous.status = status;
            const struct
            {
                const char *name;
                const char *method;
                const char *target;
                UpstreamBehaviour preferred;
                UpstreamBehaviour other;
                unsigned status; ///< Expected status at the caller.
            } table[] = {
                {"rejected, ambiguous", "POST", "/write/x", rejecting, ambiguous, badGateway},
                {"ambiguous, not repeated", "POST", "/write/x", ambiguous, {}, badGateway},
                {"ambiguous, rejected", "GET", "/read/x", ambiguous, rejecting, badGateway},
                {"ambiguous twice", "GET", "/read/x", ambiguous, ambiguous, badGateway},
                {"response lost, ambiguous", "GET", "/read/x", dropping, ambiguous, badGateway},
                {"error, ambiguous", "GET", "/read/x", failing, ambiguous, 500},
                {"ambiguous, error", "GET", "/read/x", ambiguous, failing, 500},
            };
            for (const auto &row : table) {
                TwoUpstreamFleet rig;
                rig.preferred() = row.preferred;
                rig.other() = row.other;
                const CallResult result = rig.fleet.sendAndWait(0, row.method, row.target, "l1");
                const std::string name = std::to_string(status) + ": " + row.name;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.status, result.status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, row.status == 500, result.isSigned);
                CPPUNIT_ASSERT_MESSAGE(name, rig.fleet.runCount("l1") >= 1);
                CPPUNIT_ASSERT_MESSAGE(name, rig.fleet.runCount("l1") == 1 || row.method[0] == 'G');
            }
        }
    }

    /// Guards against an upstream that fails all its requests with 429 or 408, is taken for a sound and fast one, and keeps its share of
    /// the requests.
    void failingUpstreamLosesItsShare()
    {
        constexpr unsigned requestCount = 60;
        const Path callerPaths[] = {paths[0], paths[2]};
        for (const unsigned status : {408U, 429U, 500U, 503U}) {
            for (const Path &path : callerPaths) {
                TwoUpstreamFleet rig;
                rig.preferred().status = status;
                rig.preferred().processingTime = 1ms;
                unsigned served = 0;
                for (unsigned i = 0; i < requestCount; ++i) {
                    const CallResult result = rig.fleet.sendAndWait(i % 2, path.method, path.target, "s" + std::to_string(i));
                    served += result.status == 200 ? 1 : 0;
                }
                const std::string name = std::to_string(status) + ", " + path.name;
                const auto runs = static_cast<unsigned>(rig.fleet.upstreams[1]->runs.size());
                // Both nodes prefer the upstream while it is healthy: it is in their failure domain.
                CPPUNIT_ASSERT_MESSAGE(name, runs >= 1);
                CPPUNIT_ASSERT_MESSAGE(name + ": " + std::to_string(runs) + " runs", runs <= requestCount / 4);
                CPPUNIT_ASSERT_MESSAGE(name + ": " + std::to_string(served) + " served", served >= requestCount * 3 / 4);
            }
        }
    }

    /// Guards against a request that runs twice, or an error that a caller takes for not run, because the answer of the upstream has a
    /// field with which homes report how an offer ended.
    void reportOfUpstreamIsIgnored()
    {
        // Number of the outcome, then load, times and health as in OfferReport.
        const std::string rejected = "Galenarack-Report: 5 0 0 1 0 100 0 0 0\r\n";
        const std::string busy = "Galenarack-Report: 1 0 0 1 0 100 0 0 0\r\n";
        RawFleet raw;
        std::string mismatches;
        unsigned count = 0;
        for (const std::string &report : {rejected, busy}) {
            for (const Path &path : {paths[0], paths[1]}) {
                const std::string id = "o" + std::to_string(count++);
                raw.restoreHealth(path.node, id);
                raw.upstream.answer = makeAnswer(500, report);
                const StandIns::Exchange seen = raw.send(path.node, path.method, path.target, id, 0);
                if (seen.response.result_int() != 500 || seen.response.count("Server-Seal") == 0 || raw.upstream.arrivals[id] != 1) {
                    mismatches += report + path.name + ", " + std::to_string(raw.upstream.arrivals[id]) + " arrivals: " + describe(seen);
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AmbiguousAnswerTest);
