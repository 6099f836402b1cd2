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
    std::string history; ///< "f" failure, "s" success, "." 100 ms.
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
    /// Guards against an upstream that is tried without end while it is down, and against one that has been started and gets
    /// no work for seconds.
    void growsAndEnds()
    {
        const BackoffCase cases[] = {
            {"no failure", "", 0ms, 0ms},
            {"one failure", "f", 50ms, 100ms},
            {"failures together", "fff", 50ms, 100ms},
            {"its end", "f.", 0ms, 0ms},
            {"in a row", "f.f..f", 300ms, 400ms},
            {"down for long", "f..........f..........f..........f..........f..........f", 300ms, 400ms},
            {"back", "f..........f..........f..........s", 0ms, 0ms},
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
