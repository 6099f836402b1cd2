#include <galenarack/policy/drainschedule.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;
using namespace std::chrono_literals;

class DrainScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DrainScheduleTest);
    CPPUNIT_TEST(startsOnlyWorkThatEndsBeforeTheProcess);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against work that is started late and cut when the process ends, and against a process that is killed before it ends
    /// by itself.
    void startsOnlyWorkThatEndsBeforeTheProcess()
    {
        const TimePoint start{1000s};
        const struct
        {
            const char *name;
            Duration grace;
            Duration now; ///< Time since the node began to leave.
            Duration deadline; ///< Deadline of the request, since the node began to leave.
            bool mayStart;
        } table[] = {
            {"early, long deadline", 6s, 1s, 12s, true},
            {"late, long deadline", 6s, 3s, 7s, false},
            {"late, deadline at the kill", 6s, 3s, 6s, false},
            {"late, short deadline", 6s, 3s, 5s, true},
            {"late in a long grace", 30s, 3s, 15s, true},
            {"grace shorter than the announcement", 2s, 2900ms, 3s, false},
            {"short grace, early", 2s, 1s, 12s, true},
            {"short grace, late", 2s, 1200ms, 3s, false},
            {"late in a grace of ten seconds", 10s, 3s, 9s, true},
        };
        for (const auto &row : table) {
            const DrainSchedule schedule = DrainSchedule::forGrace(start, row.grace);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.mayStart, schedule.mayStart(start + row.deadline, start + row.now));
            CPPUNIT_ASSERT_MESSAGE(row.name, schedule.workEnd < schedule.exit && schedule.exit < start + row.grace);
            CPPUNIT_ASSERT_MESSAGE(row.name, schedule.acceptEnd < schedule.exit);
            // The node stops only after the announcement, so that one must not last until the kill.
            CPPUNIT_ASSERT_MESSAGE(row.name, schedule.announced <= schedule.acceptEnd && schedule.lateFrom <= schedule.acceptEnd);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainScheduleTest);
