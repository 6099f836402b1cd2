#include <galenarack/policy/connectbackoff.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

const TimePoint start(std::chrono::hours(1));

struct BackoffCase
{
    const char *name;
    std::string history; ///< Sequence of events: "f" is a failure, "s" a success, "." a pause of 100 ms.
    Duration minRemaining;
    Duration maxRemaining;
};

} // namespace

class ConnectBackoffTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConnectBackoffTest);
    CPPUNIT_TEST(growsAndEnds);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against connection attempts without a pause to an upstream that is down, and against an upstream that gets no work
    /// for seconds after it has started.
    void growsAndEnds()
    {
        const BackoffCase cases[] = {
            {"no failure", "", 0ms, 0ms},
            {"one failure", "f", 50ms, 100ms},
            {"concurrent failures", "fff", 50ms, 100ms},
            {"end of the backoff", "f.", 0ms, 0ms},
            {"consecutive failures", "f.f..f", 300ms, 400ms},
            {"down for long", "f..........f..........f..........f..........f..........f", 300ms, 400ms},
            {"recovered", "f..........f..........f..........s", 0ms, 0ms},
            {"down again", "f..........f..........f..........sf", 50ms, 100ms},
        };
        for (const BackoffCase &row : cases) {
            ConnectBackoff backoff;
            TimePoint now = start;
            for (const char step : row.history) {
                if (step == 'f') {
                    backoff.onFailure(now);
                } else if (step == 's') {
                    backoff.onSuccess();
                } else {
                    now += 100ms;
                }
            }
            const Duration remaining = backoff.remaining(now);
            CPPUNIT_ASSERT_MESSAGE(row.name, remaining >= row.minRemaining && remaining <= row.maxRemaining);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConnectBackoffTest);
