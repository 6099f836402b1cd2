#include <galenarack/membership/membertable.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace Galenarack;

namespace {

constexpr TimePoint start{std::chrono::hours(1)};
constexpr Incarnation first{5};
constexpr Incarnation second{9};

MemberUpdate update(std::uint32_t counter, GossipState state, Incarnation incarnation = first, bool leaving = false)
{
    MemberUpdate out;
    out.name = "vm-1";
    out.address = "10.0.0.1";
    out.failureDomain = "kl-a";
    out.incarnation = incarnation;
    out.counter = counter;
    out.state = state;
    out.leaving = leaving;
    return out;
}

MemberUpdate self()
{
    MemberUpdate out = update(0, GossipState::Live, Incarnation{1});
    out.name = "vm-0";
    return out;
}

/// One input of the table.
struct Step
{
    enum Source {
        Gossip,
        FirstHand,
        Connection,
        ListLive,
        ListLeaving,
        NotListed
    } source;
    MemberUpdate update;
    Duration at;
};

void apply(MemberTable &table, const Step &step)
{
    const TimePoint now = start + step.at;
    const ListedVm listed{"vm-1", "10.0.0.1", "kl-a", step.source == Step::ListLeaving};
    const ListedVm other{"vm-2", "10.0.0.2", "kl-b", false};
    switch (step.source) {
    case Step::Gossip:
    case Step::FirstHand:
        table.applyUpdate(step.update, step.source == Step::FirstHand, now);
        break;
    case Step::Connection:
        table.recordConnectionFrame("vm-1", step.update.incarnation, step.update.revision, now);
        break;
    case Step::ListLive:
    case Step::ListLeaving:
        table.applyVmList({&listed, 1}, now);
        break;
    case Step::NotListed:
        table.applyVmList({&other, 1}, now);
        break;
    }
}

} // namespace

class MemberTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MemberTableTest);
    CPPUNIT_TEST(precedenceRules);
    CPPUNIT_TEST(removedRowsDoNotReturnAsGone);
    CPPUNIT_TEST(changesCarryTheirEvidence);
    CPPUNIT_TEST(forgedNamesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against evidence of lower rank that overrides evidence of higher rank, one row per rule of MemberTable.
    void precedenceRules()
    {
        using namespace std::chrono_literals;
        const MemberUpdate none;
        const auto live = update(3, GossipState::Live);
        const auto suspect = update(3, GossipState::Suspect);
        const auto gone = update(3, GossipState::Gone);
        const auto leaving = update(3, GossipState::Live, first, true);
        struct Row
        {
            const char *name;
            std::vector<Step> steps;
            MemberState state;
            bool suspected;
            std::uint64_t incarnation;
        };
        const Row rows[] = {
            {"listed only", {{Step::ListLive, none, 0s}}, MemberState::Unknown, false, 0},
            {"listed as leaving, no message received", {{Step::ListLeaving, none, 0s}}, MemberState::Leaving, false, 0},
            {"8: gone update of an unknown name adds no row", {{Step::Gossip, gone, 0s}}, MemberState::Unknown, false, 0},
            {"1: refuted",
             {{Step::Gossip, live, 0s}, {Step::Gossip, gone, 0s}, {Step::Gossip, update(4, GossipState::Live), 1s}},
             MemberState::Live,
             false,
             5},
            {"1: new incarnation",
             {{Step::Gossip, live, 0s}, {Step::Gossip, gone, 0s}, {Step::Gossip, update(4, GossipState::Live, second), 1s}},
             MemberState::Live,
             false,
             9},
            {"1: lower counter loses",
             {{Step::Gossip, live, 0s}, {Step::Gossip, update(2, GossipState::Gone), 1s}},
             MemberState::Live,
             false,
             5},
            {"2: gone over suspect",
             {{Step::Gossip, suspect, 0s}, {Step::Gossip, gone, 0s}, {Step::Gossip, suspect, 1s}},
             MemberState::Gone,
             false,
             5},
            {"2: suspect over live", {{Step::Gossip, suspect, 0s}, {Step::Gossip, live, 1s}}, MemberState::Live, true, 5},
            {"2: larger incarnation at equal counter",
             {{Step::Gossip, update(3, GossipState::Live, second), 0s}, {Step::Gossip, live, 1s}},
             MemberState::Live,
             false,
             9},
            {"2: first-hand incarnation stays",
             {{Step::FirstHand, live, 0s}, {Step::Gossip, update(3, GossipState::Live, second), 1s}},
             MemberState::Live,
             false,
             5},
            {"3: leaving never withdrawn",
             {{Step::Gossip, leaving, 0s}, {Step::Gossip, update(9, GossipState::Live), 1s}},
             MemberState::Leaving,
             false,
             5},
            {"3: leaving at a lower counter",
             {{Step::Gossip, update(9, GossipState::Live), 0s}, {Step::Gossip, leaving, 1s}},
             MemberState::Leaving,
             false,
             5},
            {"3: a new incarnation is not leaving",
             {{Step::Gossip, leaving, 0s}, {Step::Gossip, update(9, GossipState::Live, second), 1s}},
             MemberState::Live,
             false,
             9},
            {"3: list mark",
             {{Step::Gossip, live, 0s}, {Step::ListLeaving, none, 0s}, {Step::NotListed, none, 1s}},
             MemberState::Leaving,
             false,
             5},
            {"3: list mark withdrawn",
             {{Step::Gossip, live, 0s}, {Step::ListLeaving, none, 0s}, {Step::ListLive, none, 1s}},
             MemberState::Live,
             false,
             5},
            {"3: gone over leaving", {{Step::Gossip, leaving, 0s}, {Step::Gossip, gone, 1s}}, MemberState::Gone, false, 5},
            {"4: list cannot revive",
             {{Step::Gossip, live, 0s}, {Step::Gossip, gone, 0s}, {Step::ListLive, none, 1s}},
             MemberState::Gone,
             false,
             5},
            {"4: missing from the list",
             {{Step::ListLive, none, 0s}, {Step::Gossip, live, 0s}, {Step::NotListed, none, 1s}},
             MemberState::Live,
             false,
             5},
            {"5: frame turns gone into suspected",
             {{Step::Gossip, live, 0s}, {Step::Gossip, gone, 0s}, {Step::Connection, live, 1s}},
             MemberState::Live,
             true,
             5},
            {"5: gone update after a recent message", {{Step::FirstHand, live, 0s}, {Step::Gossip, gone, 1s}}, MemberState::Live, true, 5},
            {"5: gone update without a recent message",
             {{Step::FirstHand, live, 0s}, {Step::Gossip, gone, 5s}},
             MemberState::Gone,
             false,
             5},
            {"connection shows a new incarnation",
             {{Step::Gossip, leaving, 0s}, {Step::Connection, update(0, GossipState::Live, second), 1s}},
             MemberState::Live,
             false,
             9},
        };
        for (const Row &row : rows) {
            MemberTable table(self());
            for (const Step &step : row.steps) {
                apply(table, step);
            }
            const MemberRow *row1 = table.find("vm-1");
            const MemberRow found = row1 == nullptr ? MemberRow() : *row1;
            const std::string expected(memberStateName(row.state));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, expected, std::string(memberStateName(found.state)));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.suspected, found.suspectedSince.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.incarnation, found.incarnation.value);
        }
    }

    /// Guards against rows of replaced VMs that circulate forever (rule 8 of MemberTable).
    void removedRowsDoNotReturnAsGone()
    {
        MemberTable table(self());
        table.applyUpdate(update(3, GossipState::Live), false, start);
        table.applyUpdate(update(3, GossipState::Gone), false, start);
        table.removeExpired(start + MemberTable::goneRetention);
        CPPUNIT_ASSERT(table.find("vm-1") != nullptr);
        table.removeExpired(start + MemberTable::goneRetention + std::chrono::seconds(1));
        CPPUNIT_ASSERT(table.find("vm-1") == nullptr);
        table.applyUpdate(update(3, GossipState::Gone), false, start);
        CPPUNIT_ASSERT(table.find("vm-1") == nullptr);
    }

    /// Guards against an audit trail that does not show why a node was declared gone.
    void changesCarryTheirEvidence()
    {
        MemberTable table(self());
        table.applyUpdate(update(3, GossipState::Live), false, start);
        CPPUNIT_ASSERT(table.suspect("vm-1", start));
        CPPUNIT_ASSERT(!table.suspect("vm-1", start));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), table.expireSuspicions(std::chrono::seconds(3), start).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), table.expireSuspicions(std::chrono::seconds(3), start + std::chrono::seconds(3)).size());
        const std::vector<MemberChange> changes = table.popChanges();
        CPPUNIT_ASSERT_EQUAL(std::string("suspicion not refuted"), changes.back().evidence);
        CPPUNIT_ASSERT(changes.back().after == MemberState::Gone);
        CPPUNIT_ASSERT(table.popChanges().empty());
    }

    /// Guards against memory use that grows with forged names.
    void forgedNamesAreBounded()
    {
        MemberTable table(self());
        for (std::size_t i = 0; i < 2 * MemberTable::maxRows; ++i) {
            MemberUpdate forged = update(0, GossipState::Live);
            forged.name = "forged-" + std::to_string(i);
            table.applyUpdate(forged, false, start);
        }
        CPPUNIT_ASSERT_EQUAL(MemberTable::maxRows, table.all().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MemberTableTest);
