#include <galenarack/fleet/revisiontracker.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;
using namespace std::chrono_literals;

class RevisionTrackerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RevisionTrackerTest);
    CPPUNIT_TEST(isBehindSinceTheFirstUnappliedRevision);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a lost watch that is never noticed because newer revisions keep arriving, and against one that is ended because
    /// of revisions that the node has applied.
    void isBehindSinceTheFirstUnappliedRevision()
    {
        const TimePoint start{100s};
        RevisionTracker tracker;
        CPPUNIT_ASSERT(!tracker.isBehind());
        tracker.onApplied(7);
        tracker.onHeard(6, start);
        tracker.onHeard(7, start);
        CPPUNIT_ASSERT(!tracker.isBehind());
        tracker.onHeard(8, start + 1s);
        tracker.onHeard(9, start + 2s);
        CPPUNIT_ASSERT(tracker.isBehind());
        CPPUNIT_ASSERT(tracker.since() == start + 1s);
        tracker.onApplied(8);
        CPPUNIT_ASSERT(tracker.isBehind());
        tracker.onApplied(9);
        CPPUNIT_ASSERT(!tracker.isBehind());
        tracker.onHeard(10, start + 5s);
        CPPUNIT_ASSERT(tracker.since() == start + 5s);
        tracker.onHeard(1000, start + 6s);
        tracker.onReadAll(10);
        CPPUNIT_ASSERT(!tracker.isBehind());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, tracker.applied());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RevisionTrackerTest);
