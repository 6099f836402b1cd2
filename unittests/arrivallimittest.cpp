#include <galenarack/policy/arrivallimit.h>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

const TimePoint start(std::chrono::hours(1));

/// @return largest number of requests within any 4 s
std::size_t mostInWindow(const std::vector<TimePoint> &sent)
{
    std::size_t most = 0;
    for (std::size_t first = 0; first < sent.size(); ++first) {
        const auto end = std::ranges::lower_bound(sent, sent[first] + Duration(4s));
        most = std::max(most, static_cast<std::size_t>(end - sent.begin()) - first);
    }
    return most;
}

} // namespace

class ArrivalLimitTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ArrivalLimitTest);
    CPPUNIT_TEST(windowsHoldTheBound);
    CPPUNIT_TEST(restartOfTheHomeAddsNoBurst);
    CPPUNIT_TEST(fallingLimitCountsEarlierArrivals);
    CPPUNIT_TEST(reportsTheTimeUntilRoom);
    CPPUNIT_TEST(withdrawnRequestLeavesItsRoom);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against bursts above the bound of the rules, at the start, after idle times and under steady load, and against a limit that
    /// is not used up although requests wait.
    void windowsHoldTheBound()
    {
        for (const double rate : {0.1, 0.8, 1.0, 3.5, 20.0}) {
            for (const Duration pause : {Duration(0s), Duration(3s), Duration(20s)}) {
                ArrivalLimit limit;
                limit.setRate(rate, start);
                std::vector<TimePoint> sent;
                TimePoint now = start;
                for (int phase = 0; phase < 4; ++phase) {
                    for (const TimePoint end = now + 10s; now < end; now += 5ms) {
                        if (limit.hasRoom(now)) {
                            limit.onArrival(now);
                            sent.push_back(now);
                        }
                    }
                    now += pause;
                }
                const std::string name = std::to_string(rate) + "/s";
                CPPUNIT_ASSERT_MESSAGE(name, static_cast<double>(mostInWindow(sent)) <= 6 * rate + 5);
                CPPUNIT_ASSERT_MESSAGE(name, static_cast<double>(sent.size()) >= 40 * rate - 2);
            }
        }
    }

    /// Guards against a second burst by a home that was killed after a burst, started again and heard of the limit from another node.
    void restartOfTheHomeAddsNoBurst()
    {
        for (const double rate : {0.8, 2.0, 6.0}) {
            std::vector<TimePoint> sent;
            TimePoint now = start;
            for (int life = 0; life < 5; ++life) {
                ArrivalLimit limit;
                limit.setRate(rate, now);
                for (const TimePoint end = now + 1500ms; now < end; now += 5ms) {
                    if (limit.hasRoom(now)) {
                        limit.onArrival(now);
                        sent.push_back(now);
                    }
                }
            }
            CPPUNIT_ASSERT(static_cast<double>(mostInWindow(sent)) <= 6 * rate + 5);
        }
    }

    /// Guards against a limit that begins or falls while the requests before it still fill the window.
    void fallingLimitCountsEarlierArrivals()
    {
        const struct
        {
            const char *name;
            std::optional<double> before;
            double after;
        } table[] = {{"begins", std::nullopt, 2.0}, {"falls", 20.0, 2.0}};
        for (const auto &row : table) {
            ArrivalLimit limit;
            limit.setRate(row.before, start);
            for (TimePoint now = start; now < start + 4s; now += 40ms) {
                if (limit.hasRoom(now)) {
                    limit.onArrival(now);
                }
            }
            TimePoint now = start + 4s;
            limit.setRate(row.after, now);
            CPPUNIT_ASSERT_MESSAGE(row.name, !limit.hasRoom(now));
            const std::optional<Duration> wait = limit.wait(0, now);
            CPPUNIT_ASSERT_MESSAGE(row.name, wait && *wait > 2s && *wait <= 4s);
            CPPUNIT_ASSERT_MESSAGE(row.name, limit.hasRoom(now + *wait));
        }
    }

    /// Guards against waits that let a request come back in vain, and against an overflow with rates near zero.
    void reportsTheTimeUntilRoom()
    {
        ArrivalLimit limit;
        CPPUNIT_ASSERT(limit.wait(100, start) == Duration::zero());
        limit.setRate(0.5, start);
        CPPUNIT_ASSERT(limit.wait(0, start) == Duration(2s));
        CPPUNIT_ASSERT(limit.wait(2, start) == Duration(6s));
        CPPUNIT_ASSERT(!limit.hasRoom(start + 1900ms));
        CPPUNIT_ASSERT(limit.hasRoom(start + 2s));
        limit.setRate(0, start + 2s);
        CPPUNIT_ASSERT(!limit.wait(0, start + 2s));
        CPPUNIT_ASSERT(!limit.hasRoom(start + 1000s));
        limit.setRate(1e-12, start + 2s);
        CPPUNIT_ASSERT(limit.wait(10, start + 2s) <= Duration(2h));
        limit.setRate(std::nullopt, start + 3s);
        CPPUNIT_ASSERT(limit.hasRoom(start + 3s));
    }

    /// Guards against a limit that is used up by requests that were never sent.
    void withdrawnRequestLeavesItsRoom()
    {
        ArrivalLimit limit;
        limit.setRate(1, start);
        const TimePoint now = start + 5s;
        while (limit.hasRoom(now)) {
            limit.onArrival(now);
        }
        limit.onWithdrawn(now, now + 10ms);
        CPPUNIT_ASSERT(limit.hasRoom(now + 10ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ArrivalLimitTest);
