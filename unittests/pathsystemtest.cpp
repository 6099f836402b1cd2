#include <galenarack/health/pathsystem.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace Galenarack;
using std::chrono::milliseconds;
using std::chrono::seconds;

class PathSystemTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PathSystemTest);
    CPPUNIT_TEST(statesByTable);
    CPPUNIT_TEST(suspectsLocalFaultWhenMajorityDegrades);
    CPPUNIT_TEST(processPauseDoesNotSilencePaths);
    CPPUNIT_TEST(detectsOneWayCut);
    CPPUNIT_TEST_SUITE_END();

    /// Paths to `peers` peers with a baseline of round trips of 1 ms.
    struct Bench
    {
        explicit Bench(std::uint32_t peers)
        {
            for (std::uint32_t i = 0; i < peers; ++i) {
                this->table.connected(this->table.add(std::to_string(i), this->now), this->now);
            }
            this->run(seconds(20), 0, Duration(1000));
        }

        /// Sends PINGs every 500 ms for `length`. The first `bad` peers answer after `roundTrip`, or not at all without one; the
        /// others after 1 ms.
        void run(Duration length, std::uint32_t bad, std::optional<Duration> roundTrip)
        {
            for (const TimePoint end = this->now + length; this->now < end;) {
                this->now += milliseconds(100);
                const bool pings = (this->now - TimePoint()) % milliseconds(500) == Duration(0);
                for (std::uint32_t i = 0; pings && i < this->table.rows.size(); ++i) {
                    this->table.pingSent(i, this->now);
                    if (i >= bad || roundTrip) {
                        this->table.pingAnswered(i, i < bad ? *roundTrip : milliseconds(1), this->now);
                    }
                }
                this->system.tick(this->now);
            }
        }

        PathTable table;
        PathSystem system{this->table};
        TimePoint now;
    };

public:
    /// Guards against a path with a wrong state, or one that does not become good again after the fault.
    void statesByTable()
    {
        struct Row
        {
            const char *name;
            std::optional<Duration> roundTrip;
            Duration length;
            bool connectFails;
            bool helloFails;
            PathState state;
        };
        const Row rows[] = {
            {"good", milliseconds(1), seconds(5), false, false, PathState::Good},
            {"a little slower", milliseconds(2), seconds(20), false, false, PathState::Good},
            {"10 times slower", milliseconds(10), seconds(5), false, false, PathState::Degraded},
            {"overdue", std::nullopt, milliseconds(1300), false, false, PathState::Degraded},
            {"silent", std::nullopt, milliseconds(2100), false, false, PathState::Silent},
            {"cut", std::nullopt, milliseconds(2100), true, false, PathState::Cut},
            {"frozen home", std::nullopt, milliseconds(2100), false, true, PathState::Frozen},
        };
        for (const Row &row : rows) {
            Bench bench(5);
            bench.run(row.length, 1, row.roundTrip);
            if (row.connectFails) {
                bench.table.connectFailed(0, bench.now);
            }
            if (row.helloFails) {
                bench.table.helloUnanswered(0, bench.now);
            }
            bench.run(milliseconds(100), 1, row.roundTrip);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, pathStateName(row.state), pathStateName(bench.table.rows[0].state));
            CPPUNIT_ASSERT_EQUAL(row.state == PathState::Good || row.state == PathState::Degraded, bench.table.isReachable(0));
            CPPUNIT_ASSERT(bench.table.rows[1].state == PathState::Good);
            bench.table.connected(0, bench.now);
            bench.run(seconds(10), 1, milliseconds(1));
            CPPUNIT_ASSERT_MESSAGE(row.name, bench.table.rows[0].state == PathState::Good);
        }
    }

    /// Guards against a fault of the ingress's own node that makes its paths to healthy peers unreachable. A path on which no
    /// connection can be opened must still be cut.
    void suspectsLocalFaultWhenMajorityDegrades()
    {
        for (const std::optional<Duration> roundTrip : {std::optional<Duration>(milliseconds(20)), std::optional<Duration>()}) {
            for (std::uint32_t bad = 0; bad <= 9; ++bad) {
                Bench bench(9);
                bench.run(seconds(5), bad, roundTrip);
                CPPUNIT_ASSERT_EQUAL(bad >= 5, bench.system.suspectsLocalFault());
                CPPUNIT_ASSERT_EQUAL(bad > 0 && bad < 5, bench.table.rows[0].state != PathState::Good);
                if (bad > 0) {
                    bench.table.connectFailed(0, bench.now);
                    bench.run(milliseconds(100), bad, roundTrip);
                    CPPUNIT_ASSERT(bench.table.rows[0].state == PathState::Cut);
                }
            }
        }
    }

    /// Guards against a path that becomes silent because PINGs age while this process is paused.
    void processPauseDoesNotSilencePaths()
    {
        Bench bench(5);
        bench.table.pingSent(0, bench.now);
        bench.now += seconds(10);
        bench.system.tick(bench.now);
        CPPUNIT_ASSERT(bench.table.rows[0].state == PathState::Good);
    }

    /// Guards against an undetected cut in the outgoing direction of a path on which frames still arrive.
    void detectsOneWayCut()
    {
        Bench bench(5);
        for (int i = 0; i < 50; ++i) {
            bench.run(milliseconds(100), 1, std::nullopt);
            bench.table.frameReceived(0, bench.now);
        }
        CPPUNIT_ASSERT(bench.table.rows[0].state == PathState::Silent);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathSystemTest);
