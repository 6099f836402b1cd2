#include <galenarack/fleet/followersettings.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;
using namespace std::chrono_literals;

class FollowerSettingsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FollowerSettingsTest);
    CPPUNIT_TEST(lostWatchIsNoticedWithinTheBounds);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against intervals with which a node acts on an outdated view for longer than the bounds of the deployment allow, after
    /// the answer to a watch was lost, and against a watch that is held longer than the registry holds one.
    void lostWatchIsNoticedWithinTheBounds()
    {
        const struct
        {
            const char *name;
            RegistryBounds bounds;
            Duration replyTimeout;
            bool isFeasible; ///< Whether a watch of any length can keep the bounds.
        } table[] = {
            {"default", {2s, 2s, 3s}, 750ms, true},
            {"grown", {2500ms, 3s, 3s}, 750ms, true},
            {"large", {3s, 3s, 4s}, 750ms, true},
            {"wide", {60s, 60s, 60s}, 750ms, true},
            {"narrow", {500ms, 600ms, 500ms}, 750ms, false},
        };
        for (const auto &row : table) {
            const FollowerSettings settings = FollowerSettings::forBounds(row.bounds, row.replyTimeout);
            const Duration noticed = settings.watchWait + row.replyTimeout + settings.retryMin;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isFeasible, noticed <= row.bounds.settleTime + row.bounds.applyTime());
            CPPUNIT_ASSERT_MESSAGE(row.name, settings.watchWait >= 500ms && settings.watchWait <= 30s);
            CPPUNIT_ASSERT_MESSAGE(row.name, settings.batchPauseMax < row.bounds.applyTime() / 2);
            // Two of the three check-ins of 1.5 s after which an entry expires lie within the outage.
            CPPUNIT_ASSERT_MESSAGE(row.name, settings.probeInterval + row.replyTimeout < 3s);
            // A probe in the first time of a watch finds a silent registry, and the complete read ends before the bounds hold again.
            const Duration readAfterSilence = settings.youngProbeInterval + row.replyTimeout + settings.retryMax;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isFeasible, readAfterSilence < row.bounds.settleTime);
            // While the watches of all nodes are silent, a change just after a probe is in force in time: the next probe, the lag of the
            // watch, the back-off and the complete read.
            const Duration followed = settings.probeInterval + settings.watchLag + settings.retryMin;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isFeasible, followed < row.bounds.applyTime());
            // A watch that is older than its first time at the end of a fault fails by its own time-out before the bounds hold again.
            const Duration oldWatchFails = settings.watchWait + row.replyTimeout - settings.youngWatchTime;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isFeasible, oldWatchFails < row.bounds.settleTime);
            // The removal of an upstream that left before or in an outage is applied before the bounds hold again, however long this
            // node took to reach the registry.
            CPPUNIT_ASSERT_MESSAGE(row.name, settings.removalHoldLimit > Duration::zero());
            CPPUNIT_ASSERT_MESSAGE(row.name, settings.removalHoldLimit < row.bounds.settleTime);
            // A probe that fails in the outage leaves time for entries that are written again after its end.
            const Duration reached = row.replyTimeout + settings.outageProbeInterval;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.isFeasible, reached < settings.removalHoldLimit / 2);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FollowerSettingsTest);
