#include <galenarack/policy/retryallowance.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <deque>
#include <vector>

using namespace Galenarack;
using namespace std::chrono_literals;

class RetryAllowanceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RetryAllowanceTest);
    CPPUNIT_TEST(staysBelowFleetBound);
    CPPUNIT_TEST(keepsAllowanceForUrgentWork);
    CPPUNIT_TEST(countsRepeatsOfWholeWindow);
    CPPUNIT_TEST(grantsSlackOncePerWindow);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a window in which the repeats of the whole fleet exceed its bound, when every home repeats as often as its
    /// allowance permits and the load moves between the homes.
    void staysBelowFleetBound()
    {
        CPPUNIT_ASSERT(rc::check("the repeats of all homes stay below the bound of the fleet", [] {
            const RetryBound bound{0.2, 62, 10s};
            constexpr std::size_t homes = 9;
            std::vector<RetryAllowance> allowances(homes, RetryAllowance(bound, TimePoint()));
            std::deque<TimePoint> requests;
            std::deque<TimePoint> repeats;
            TimePoint now(1h);
            for (const int step : *rc::gen::container<std::vector<int>>(1500, rc::gen::inRange(0, 100))) {
                now += std::chrono::milliseconds(step % 20);
                RetryAllowance &home = allowances[static_cast<std::size_t>(step) % homes];
                if (step < 50) {
                    home.onRequest(now);
                    requests.push_back(now);
                } else if (home.remaining(now, homes, 1.0) > 0) {
                    home.onRepeat(now);
                    repeats.push_back(now);
                }
                while (!repeats.empty() && repeats.front() <= now - bound.window) {
                    repeats.pop_front();
                }
                while (!requests.empty() && requests.front() <= now - bound.window - 1s) {
                    requests.pop_front();
                }
                RC_ASSERT(static_cast<double>(repeats.size()) <= bound.ratio * static_cast<double>(requests.size()) + bound.slack);
            }
        }));
    }

    /// Guards against repeats of less urgent work that use up the allowance of urgent work.
    void keepsAllowanceForUrgentWork()
    {
        RetryAllowance allowance(RetryBound{0.2, 100, 10s}, TimePoint());
        const TimePoint now(1h);
        while (allowance.remaining(now, 1, 0.6) > 0) {
            allowance.onRepeat(now);
        }
        CPPUNIT_ASSERT(allowance.remaining(now, 1, 1.0) > 20);
        CPPUNIT_ASSERT(allowance.remaining(now + 11s, 1, 0.6) > 0);
    }

    /// Guards against a second burst of repeats within the window of a first one that has used up the allowance.
    void countsRepeatsOfWholeWindow()
    {
        const struct
        {
            const char *name;
            Duration firstBurst; ///< Since the start of a tenth of the window.
            Duration secondBurst; ///< Since the first burst.
            bool isAllowed;
        } table[] = {
            {"soon after the end of a tenth", 950ms, 9100ms, false},
            {"end of the window", 950ms, 9990ms, false},
            {"end of the window, from the start of a tenth", 0ms, 9990ms, false},
            {"after the window", 0ms, 11s, true},
        };
        for (const auto &row : table) {
            RetryAllowance allowance(RetryBound{0.2, 100, 10s}, TimePoint());
            const TimePoint now = TimePoint(1h) + row.firstBurst;
            while (allowance.remaining(now, 1, 1.0) > 0) {
                allowance.onRepeat(now);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isAllowed, allowance.remaining(now + row.secondBurst, 1, 1.0) > 0);
        }
    }

    /// Guards against a second use of the slack within a window after a restart, which loses the count of repeats.
    void grantsSlackOncePerWindow()
    {
        const TimePoint start(1h);
        RetryAllowance allowance(RetryBound{0.2, 100, 10s}, start);
        CPPUNIT_ASSERT(allowance.remaining(start + 9s, 1, 1.0) <= 0);
        for (int i = 0; i < 50; ++i) {
            allowance.onRequest(start + 9s);
        }
        const double ofRequests = allowance.remaining(start + 9s, 1, 1.0);
        CPPUNIT_ASSERT(ofRequests > 0 && ofRequests <= 10);
        CPPUNIT_ASSERT(allowance.remaining(start + 10s, 1, 1.0) > 40);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryAllowanceTest);
