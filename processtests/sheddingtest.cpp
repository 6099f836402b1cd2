#include "support/fleetfixture.h"
#include "support/rawupstream.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <future>
#include <numeric>
#include <string>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

constexpr unsigned badGateway = 502;
constexpr unsigned serviceUnavailable = 503;

/// Three nodes without a registry. One of the three upstreams of a service sends raw bytes.
class SheddingFleet
{
public:
    /// @param service service of the upstream
    explicit SheddingFleet(const std::string &service)
        : upstream(this->context, "galenarack-request-id")
        , fleet(makeOptions(service, this->upstream))
    {
        this->upstream.answersChecks = true;
    }

    TestReply send(const TestRequest &request)
    {
        auto pending = this->fleet.callAsync(0, request);
        while (pending.wait_for(0s) != std::future_status::ready) {
            this->runFor(5ms);
        }
        return pending.get();
    }

    /// Lets the upstream answer checks for a while.
    void runFor(std::chrono::milliseconds time)
    {
        this->context.restart();
        this->context.run_for(time);
    }

    /// Sends a number of requests, and more until the condition holds. The upstream answers no checks while the nodes start, so its home
    /// may have ejected it for some seconds.
    /// @return number of requests sent
    unsigned sendUntil(const std::function<bool(unsigned sent)> &condition, const std::function<void()> &sendOne)
    {
        constexpr unsigned minRequests = 24;
        constexpr unsigned maxRequests = 240;
        unsigned sent = 0;
        for (; sent < minRequests || (!condition(sent) && sent < maxRequests); ++sent) {
            this->runFor(sent < minRequests ? 0ms : 50ms);
            sendOne();
        }
        return sent;
    }

    /// @return number of requests that have arrived at the upstream
    std::size_t arrivals() const
    {
        return std::accumulate(
            this->upstream.arrivals.begin(), this->upstream.arrivals.end(), std::size_t(0), [](std::size_t sum, const auto &entry) {
                return sum + entry.second;
            });
    }

    /// @return number of runs at the other upstreams
    std::size_t otherRuns() const
    {
        return this->fleet.runs()["runs"].size();
    }

    boost::asio::io_context context;
    RawUpstream upstream;
    FleetFixture fleet;

private:
    static FleetOptions makeOptions(const std::string &service, const RawUpstream &upstream)
    {
        FleetOptions options;
        options.upstreamAddresses = {{service + "-1", StandIns::endpointText(upstream.address())}};
        return options;
    }
};

} // namespace

/// Upstreams that shed load, at nodes without a registry.
class SheddingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SheddingTest);
    CPPUNIT_TEST(unstatedRejectionIsNotRepeated);
    CPPUNIT_TEST(errorPassedOnByUpstreamIsNoRefusal);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against work that is not repeatable and runs twice, because a 503 with Retry-After of the upstream that has run it is
    /// taken for not run, and against work that surely has not run and is not sent to another upstream.
    void unstatedRejectionIsNotRepeated()
    {
        const struct
        {
            const char *name;
            const char *method;
            const char *target;
            bool hasKey;
            const char *fields; ///< Fields of the 503 of the upstream.
            unsigned status; ///< Expected status of requests that end with it.
            const char *execution; ///< Expected execution in their answers.
            bool mayRepeat; ///< Whether such a request may be sent to another upstream.
        } table[] = {
            {"not stated", "POST", "/lodging", false, "Retry-After: 1\r\n", badGateway, "may-have-run", false},
            {"not stated, with a key", "POST", "/lodging", true, "Retry-After: 1\r\n", badGateway, "may-have-run", false},
            {"not stated, no Retry-After", "POST", "/lodging", false, "", serviceUnavailable, "", false},
            {"stated as run",
             "POST",
             "/lodging",
             false,
             "Retry-After: 1\r\nGalenarack-Execution: ran\r\n",
             badGateway,
             "may-have-run",
             false},
            {"stated as not run",
             "POST",
             "/lodging",
             false,
             "Retry-After: 1\r\nGalenarack-Execution: not-run\r\n",
             serviceUnavailable,
             "not-run",
             true},
            {"repeatable, not stated", "GET", "/lookups", false, "Retry-After: 1\r\n", badGateway, "may-have-run", true},
        };
        std::string mismatches;
        for (const auto &row : table) {
            SheddingFleet rig(row.target + 1);
            rig.upstream.answer
                = {"HTTP/1.1 503 Service Unavailable", "Connection: close\r\nContent-Length: 2\r\n" + std::string(row.fields), "no"};
            unsigned served = 0;
            const auto isReached = [&](unsigned sent) {
                return rig.arrivals() > (row.mayRepeat ? sent - served : 0);
            };
            const unsigned sent = rig.sendUntil(isReached, [&] {
                TestRequest request;
                request.method = row.method;
                request.target = row.target;
                if (row.hasKey) {
                    request.headers.emplace_back("idempotency-key", rig.fleet.issueKey(0, row.target));
                }
                // A caller sends work with a key again until it knows the end.
                for (int copy = 0; copy < (row.hasKey ? 2 : 1); ++copy) {
                    const TestReply reply = rig.send(request);
                    const bool isServed = reply.status == 200;
                    served += copy == 0 && isServed ? 1 : 0;
                    if (!isServed && (reply.status != row.status || reply.execution() != row.execution)) {
                        mismatches += std::string(row.name) + ": " + reply.describe() + "\n";
                    }
                }
            });
            const bool isOnce = served + rig.arrivals() == sent;
            if (!isReached(sent) || rig.otherRuns() != served || (!row.mayRepeat && !isOnce)) {
                mismatches += std::string(row.name) + ": " + std::to_string(rig.arrivals()) + " arrivals, "
                              + std::to_string(rig.otherRuns()) + " runs at other upstreams, " + std::to_string(served) + " served\n";
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches);
    }

    /// Guards against work that is not repeatable and runs twice, because its upstream has called another service through the fleet and
    /// passes on the error that it got with all fields: the home of the upstream then seems to have refused the work itself.
    void errorPassedOnByUpstreamIsNoRefusal()
    {
        const struct
        {
            const char *statusLine;
            const char *fields;
            unsigned status; ///< Expected status of requests that end with it.
        } table[] = {
            {"HTTP/1.1 503 Service Unavailable", "Galenarack-Error: draining\r\nGalenarack-Execution: not-run\r\n", serviceUnavailable},
            {"HTTP/1.1 500 Internal Server Error", "Galenarack-Error: overloaded\r\n", 500},
        };
        std::string mismatches;
        for (const auto &row : table) {
            SheddingFleet rig("lodging");
            rig.upstream.answer = {row.statusLine, "Connection: close\r\nContent-Length: 2\r\n" + std::string(row.fields), "no"};
            unsigned served = 0;
            const auto isReached = [&](unsigned) {
                return rig.arrivals() > 0;
            };
            const unsigned sent = rig.sendUntil(isReached, [&] {
                TestRequest request;
                request.method = "POST";
                request.target = "/lodging";
                const TestReply reply = rig.send(request);
                served += reply.status == 200 ? 1 : 0;
                if (reply.status != 200 && (reply.status != row.status || !reply.error.empty())) {
                    mismatches += std::string(row.statusLine) + ": " + reply.describe() + "\n";
                }
            });
            if (!isReached(sent) || served + rig.arrivals() != sent) {
                mismatches += std::string(row.statusLine) + ": " + std::to_string(rig.arrivals()) + " arrivals, " + std::to_string(served)
                              + " served, " + std::to_string(sent) + " sent\n";
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::string(), mismatches);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SheddingTest);
