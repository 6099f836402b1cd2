#include <galenarack/fleet/revisiontracker.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;
using namespace std::chrono_literals;

class RevisionTrackerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RevisionTrackerTest);
    CPPUNIT_TEST(isBehindSinceTheFirstUnappliedRevision);
    CPPUNIT_TEST(revisionsAreComparedWithinTheirEra);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a lost watch that is never noticed because newer revisions keep arriving, and against one that is ended because
    /// of revisions that the node has applied.
    void isBehindSinceTheFirstUnappliedRevision()
    {
        const TimePoint start{100s};
        RevisionTracker tracker;
        CPPUNIT_ASSERT(!tracker.isBehind());
        tracker.onApplied({1, 7});
        tracker.onHeard({1, 6}, start);
        tracker.onHeard({1, 7}, start);
        CPPUNIT_ASSERT(!tracker.isBehind());
        tracker.onHeard({1, 8}, start + 1s);
        tracker.onHeard({1, 9}, start + 2s);
        CPPUNIT_ASSERT(tracker.isBehind());
        CPPUNIT_ASSERT(tracker.since() == start + 1s);
        tracker.onApplied({1, 8});
        CPPUNIT_ASSERT(tracker.isBehind());
        tracker.onApplied({1, 9});
        CPPUNIT_ASSERT(!tracker.isBehind());
        tracker.onHeard({1, 10}, start + 5s);
        CPPUNIT_ASSERT(tracker.since() == start + 5s);
        tracker.onHeard({1, 1000}, start + 6s);
        tracker.onReadAll({1, 10});
        CPPUNIT_ASSERT(!tracker.isBehind());
        CPPUNIT_ASSERT(tracker.applied() == RegistryPosition({1, 10}));
    }

    /// Guards against a node that takes itself for current, or for behind, by revisions of a history that was replaced.
    void revisionsAreComparedWithinTheirEra()
    {
        const TimePoint start{100s};
        RevisionTracker tracker;
        tracker.onApplied({1, 120});
        tracker.onHeard({2, 95}, start);
        CPPUNIT_ASSERT(tracker.isBehind());
        tracker.onReadAll({1, 125});
        CPPUNIT_ASSERT_MESSAGE("a read of the old era", tracker.isBehind());
        tracker.onReadAll({2, 95});
        CPPUNIT_ASSERT(!tracker.isBehind());
        tracker.onHeard({1, 130}, start);
        CPPUNIT_ASSERT_MESSAGE("a node of the old era", !tracker.isBehind());
        tracker.onApplied({1, 131});
        CPPUNIT_ASSERT(tracker.applied() == RegistryPosition({2, 95}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RevisionTrackerTest);
