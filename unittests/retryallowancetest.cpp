#include <galenarack/policy/retryallowance.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <random>
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
    CPPUNIT_TEST(leavesRoomForCallsOfRepeatedRuns);
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
        const double unused = allowance.remaining(now, 1, 1.0);
        while (allowance.remaining(now, 1, 0.6) > 0) {
            allowance.onRepeat(now);
        }
        CPPUNIT_ASSERT(allowance.remaining(now, 1, 1.0) > unused / 3);
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

    /// Guards against a second use of the slack within a window after a restart, which loses the count of repeats, and against a fleet
    /// that has just started and repeats nothing.
    void grantsSlackOncePerWindow()
    {
        const TimePoint start(1h);
        RetryAllowance allowance(RetryBound{0.2, 100, 10s}, start);
        const RetryAllowance ofNine(RetryBound{0.2, 62, 10s}, start);
        CPPUNIT_ASSERT(ofNine.remaining(start, 9, 1.0) > 0);
        // The process before may have used its half of the bound, so all that both grant stays below three quarters.
        constexpr int quarterOfSlack = 25;
        for (int i = 0; i < quarterOfSlack; ++i) {
            allowance.onRepeat(start);
        }
        CPPUNIT_ASSERT(allowance.remaining(start + 9s, 1, 1.0) <= 0);
        for (int i = 0; i < 50; ++i) {
            allowance.onRequest(start + 9s);
        }
        const double ofRequests = allowance.remaining(start + 9s, 1, 1.0);
        CPPUNIT_ASSERT(ofRequests <= 10);
        CPPUNIT_ASSERT(allowance.remaining(start + 10s, 1, 1.0) > ofRequests + quarterOfSlack);
    }

    /// Guards against repeats beyond the bound at a service that is called by runs of another one, when both repeat as often as they may.
    void leavesRoomForCallsOfRepeatedRuns()
    {
        const struct
        {
            const char *name;
            double slack;
            std::size_t callers; ///< Upstreams of the service that rejects some requests, and sends calls when it runs one.
            std::size_t called; ///< Upstreams of the service that is called, and loses all answers.
            int callerRequests; ///< Requests per second to the one service.
            int calledRequests; ///< The same to the other one, besides the calls.
        } table[] = {
            {"9 upstreams", 62, 9, 9, 36, 26},
            {"32 upstreams", 176, 32, 29, 128, 92},
            {"44 upstreams", 230, 44, 40, 179, 128},
        };
        for (const auto &row : table) {
            this->playCalls(row.name, RetryBound{0.2, row.slack, 10s}, row.callers, row.called, row.callerRequests, row.calledRequests);
        }
    }

private:
    /// Upstreams of one service that get requests in turn.
    struct Service
    {
        Service(std::size_t upstreams, const RetryBound &bound)
            : allowances(upstreams, RetryAllowance(bound, TimePoint()))
        {
        }
        void request(TimePoint now)
        {
            this->allowances[this->next++ % this->allowances.size()].onRequest(now);
        }
        /// @return whether an upstream has accepted a repeat
        bool repeat(TimePoint now)
        {
            const auto free = std::ranges::find_if(this->allowances, [this, now](const RetryAllowance &allowance) {
                return allowance.remaining(now, this->allowances.size(), 1.0) > 0;
            });
            if (free == this->allowances.end()) {
                return false;
            }
            free->onRepeat(now);
            return true;
        }
        std::vector<RetryAllowance> allowances;
        std::size_t next = 0;
    };

    void playCalls(
        const char *name, const RetryBound &bound, std::size_t callers, std::size_t called, int callerRequests, int calledRequests)
    {
        constexpr double rejectedShare = 0.3;
        constexpr double callShare = 0.7;
        constexpr int callsPerRun = 2;
        constexpr int seconds = 40;
        constexpr Duration faultStart = std::chrono::seconds(12);
        std::mt19937 random(1);
        std::bernoulli_distribution isRejected(rejectedShare);
        std::bernoulli_distribution isCalled(callShare);
        Service caller(callers, bound);
        Service target(called, bound);
        std::deque<TimePoint> requests;
        std::deque<TimePoint> repeats;
        const TimePoint faultsFrom = TimePoint(1h) + faultStart;
        const auto send = [&](TimePoint now, bool isRepeat) {
            target.request(now);
            requests.push_back(now);
            if (isRepeat) {
                repeats.push_back(now);
            }
            if (now >= faultsFrom && target.repeat(now)) {
                repeats.push_back(now);
            }
        };
        for (int step = 0; step < seconds * (callerRequests + calledRequests); ++step) {
            const TimePoint now = TimePoint(1h) + std::chrono::duration_cast<Duration>(1s) * step / (callerRequests + calledRequests);
            if (step % (callerRequests + calledRequests) >= callerRequests) {
                send(now, false);
            } else {
                caller.request(now);
                bool isRepeat = false;
                bool mayRun = true;
                while (mayRun && now >= faultsFrom && isRejected(random)) {
                    mayRun = caller.repeat(now);
                    isRepeat = true;
                }
                for (int call = 0; mayRun && call < callsPerRun; ++call) {
                    if (isCalled(random)) {
                        send(now, isRepeat);
                    }
                }
            }
            while (!repeats.empty() && repeats.front() <= now - bound.window) {
                repeats.pop_front();
            }
            while (!requests.empty() && requests.front() <= now - bound.window) {
                requests.pop_front();
            }
            const double allowed = bound.ratio * static_cast<double>(requests.size()) + bound.slack;
            CPPUNIT_ASSERT_MESSAGE(name, static_cast<double>(repeats.size()) <= allowed);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RetryAllowanceTest);
