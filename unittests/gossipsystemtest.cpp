#include "gossipfleet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

/// Time limit within which all nodes must have declared a killed node gone, for fleets of up to 16: at most 7 s of suspicion,
/// 8 s until a probe detects it with a probability above 1 - e^-8 (one probe a second on average), and 5 s to spread.
constexpr Duration maxDetectionTime = 20s;

/// Generates the size of a fleet. Fleets are small, because each property simulates 100 of them.
std::size_t fleetSize()
{
    return *rc::gen::inRange<std::size_t>(6, 17);
}

std::uint64_t anySeed()
{
    return *rc::gen::arbitrary<std::uint32_t>();
}

/// Interrupts `percent` of the pairs of nodes in one direction each.
void cutOneWay(GossipFleet &fleet, unsigned percent)
{
    for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            if (fleet.random() % 100 < percent) {
                fleet.cuts.insert(fleet.random() % 2 == 0 ? std::pair(i, j) : std::pair(j, i));
            }
        }
    }
}

void runUntilConverged(GossipFleet &fleet)
{
    const Duration limit = 30s;
    RC_ASSERT(fleet.run(limit, [&] {
        return fleet.converged();
    }) < limit);
    fleet.popUnexpectedlyGone();
}

} // namespace

class GossipSystemTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GossipSystemTest);
    CPPUNIT_TEST(oneWayCutsMakeNoNodeGone);
    CPPUNIT_TEST(killedNodeIsGoneEverywhereInTime);
    CPPUNIT_TEST(frozenNodeDeclaresNoneGone);
    CPPUNIT_TEST(restartedNodeReplacesItsEarlierIncarnation);
    CPPUNIT_TEST(healedPartitionRejoins);
    CPPUNIT_TEST(leavingMarkOfOneListReachesTheNode);
    CPPUNIT_TEST(pausedNodeWaitsForNewAcknowledgement);
    CPPUNIT_TEST(trafficDoesNotGrowWithTheFleet);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a path fault that makes other nodes declare a node gone. Up to 30% of the pairs are interrupted in one
    /// direction and 2% of the datagrams are lost.
    void oneWayCutsMakeNoNodeGone()
    {
        CPPUNIT_ASSERT(rc::check("one-way cuts make no node gone", [] {
            GossipFleet fleet(fleetSize(), anySeed());
            runUntilConverged(fleet);
            cutOneWay(fleet, *rc::gen::inRange(5U, 31U));
            fleet.lossPercent = 2;
            fleet.run(30s);
            RC_ASSERT(fleet.popUnexpectedlyGone().empty());
        }));
    }

    /// Guards against a node that is sent requests long after it was killed, and against other nodes being declared gone with it.
    void killedNodeIsGoneEverywhereInTime()
    {
        CPPUNIT_ASSERT(rc::check("a killed node is gone everywhere in time", [] {
            GossipFleet fleet(fleetSize(), anySeed());
            runUntilConverged(fleet);
            fleet.nodes[0].running = false;
            RC_ASSERT(fleet.run(maxDetectionTime, [&] {
                return fleet.allSee(0, MemberState::Gone);
            }) < maxDetectionTime);
            RC_ASSERT(fleet.popUnexpectedlyGone({"vm-0"}).empty());
        }));
    }

    /// Guards against a node that resumes after a pause and declares others gone whose messages it missed.
    void frozenNodeDeclaresNoneGone()
    {
        CPPUNIT_ASSERT(rc::check("a frozen and resumed node declares none gone", [] {
            GossipFleet fleet(fleetSize(), anySeed());
            runUntilConverged(fleet);
            const auto pause = *rc::gen::inRange(1, 40);
            fleet.nodes[0].frozenUntil = fleet.now + std::chrono::seconds(pause);
            fleet.run(std::chrono::seconds(pause) + 20s);
            RC_ASSERT(fleet.popUnexpectedlyGone({"vm-0"}).empty());
            RC_ASSERT(fleet.converged());
        }));
    }

    /// Guards against a restarted node whose new incarnation is overridden by stored updates about the old one.
    void restartedNodeReplacesItsEarlierIncarnation()
    {
        CPPUNIT_ASSERT(rc::check("a restarted node replaces its earlier run", [] {
            GossipFleet fleet(fleetSize(), anySeed());
            runUntilConverged(fleet);
            fleet.nodes[0].system->setMarks({UpstreamMark{"licensing-1", UpstreamMarkKind::Ejected}});
            fleet.nodes[0].system->setLeaving();
            fleet.run(std::chrono::seconds(*rc::gen::inRange(0, 20)));
            fleet.nodes[0].running = false;
            // The pending tick of the earlier incarnation must have been processed before the next one starts.
            fleet.run(1s + std::chrono::seconds(*rc::gen::inRange(0, 30)));
            fleet.startNode(0);
            const Incarnation incarnation = fleet.nodes[0].system->selfUpdate().incarnation;
            const Duration limit = 30s;
            RC_ASSERT(fleet.run(limit, [&] {
                return fleet.allSee(0, MemberState::Live) && std::ranges::all_of(fleet.nodes, [&](const auto &node) {
                           return node.table->find("vm-0")->incarnation == incarnation;
                       });
            }) < limit);
        }));
    }

    /// Guards against two parts of the fleet that never rejoin after a partition has healed.
    void healedPartitionRejoins()
    {
        GossipFleet fleet(12, 3);
        fleet.run(20s);
        for (std::size_t i = 0; i < 12; ++i) {
            for (std::size_t j = 0; j < 12; ++j) {
                if (i % 2 != j % 2) {
                    fleet.cuts.insert({i, j});
                }
            }
        }
        fleet.run(120s);
        CPPUNIT_ASSERT(fleet.stateAt(0, 1) == MemberState::Gone);
        CPPUNIT_ASSERT(fleet.stateAt(0, 2) == MemberState::Live);
        fleet.cuts.clear();
        const Duration limit = 60s;
        CPPUNIT_ASSERT(fleet.run(limit, [&] {
            return fleet.converged();
        }) < limit);
    }

    /// Guards against a home that accepts requests although another node has read a VM list that marks the home as leaving. The
    /// mark must reach the home within 2 s when only one node has read the list.
    void leavingMarkOfOneListReachesTheNode()
    {
        GossipFleet fleet(12, 5);
        fleet.run(20s);
        std::vector<ListedVm> list = fleet.list;
        list[3].leaving = true;
        fleet.send(fleet.nodes[7].system->applyVmList(list, fleet.now), 7);
        CPPUNIT_ASSERT(fleet.run(2s, [&] {
            return fleet.nodes[3].system->isLeaving();
        }) < 2s);
        fleet.run(10s);
        CPPUNIT_ASSERT(fleet.allSee(3, MemberState::Leaving));
    }

    /// Guards against a resumed node that takes datagrams which waited in the socket during the pause as new acknowledgements,
    /// and declares others gone.
    void pausedNodeWaitsForNewAcknowledgement()
    {
        GossipFleet fleet(8, 11);
        fleet.run(20s);
        GossipSystem &system = *fleet.nodes[0].system;
        fleet.nodes[0].frozenUntil = fleet.now + 10s;
        for (std::size_t i = 1; i < 8; ++i) {
            fleet.run(1s);
        }
        for (std::size_t i = 1; i < 8; ++i) {
            fleet.nodes[i].running = false;
        }
        // Only messages from before the resumption remain, because all other nodes are stopped.
        fleet.run(60s);
        CPPUNIT_ASSERT(system.isResuming());
        CPPUNIT_ASSERT(fleet.popUnexpectedlyGone().empty());
    }

    /// Guards against traffic of 1 KB/s or more and datagrams above the size limit. performancetest/gossip.cpp also
    /// measures 660 members.
    void trafficDoesNotGrowWithTheFleet()
    {
        for (const std::size_t size : {10UL, 100UL}) {
            GossipFleet fleet(size, 17);
            fleet.run(40s);
            fleet.resetTraffic();
            fleet.run(20s);
            for (const GossipFleet::Node &node : fleet.nodes) {
                CPPUNIT_ASSERT((node.sentBytes + node.receivedBytes) / 20 < 1024);
                CPPUNIT_ASSERT(node.largest <= maxGossipBytes);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GossipSystemTest);
