#include <galenarack/health/floorsystem.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>

using namespace Galenarack;

namespace {

/// Returns a document with one service whose upstreams are spread over three failure domains. Without peers, all are reachable.
Document makeDocument(std::uint32_t upstreams, const FloorRule &floor)
{
    Document document;
    document.services.push_back({"service", "services", DetectionProfile::Claims, floor, 64});
    for (std::uint32_t i = 0; i < upstreams; ++i) {
        document.upstreams.push_back({std::to_string(i), "upstreams", 0, "vm-" + std::to_string(i), std::to_string(i % 3), 3});
    }
    return document;
}

UpstreamReport reportOf(HealthState healthState, float severity, HealthCause cause = HealthCause::Failure)
{
    UpstreamReport report;
    report.healthState = healthState;
    report.severity = severity;
    report.cause = cause;
    return report;
}

/// Checks guarantee P1 (the floor) on the table, independently of the implementation: from the rule and the reachable rows alone.
void assertFloor(const ReportTable &table, const PathTable &paths, const FloorRule &rule)
{
    std::uint32_t reachable = 0;
    std::uint32_t kept = 0;
    std::uint32_t total = 0;
    std::array<std::uint32_t, 3> domainReachable{};
    std::array<std::uint32_t, 3> domainKept{};
    for (const ReportRow &row : table.rows) {
        const bool leaving = row.leaving || row.rule == UpstreamRule::Retire || row.report.healthState == HealthState::Leaving;
        const bool usable = !leaving && !row.gone && (row.peer == noPeer || paths.isReachable(row.peer));
        RC_ASSERT(usable == (row.state != UpstreamState::Leaving && row.state != UpstreamState::Unreachable));
        RC_ASSERT(!row.insist || row.isKept());
        reachable += usable ? 1 : 0;
        kept += row.isKept() ? 1 : 0;
        domainReachable[row.failureDomain] += usable ? 1 : 0;
        domainKept[row.failureDomain] += row.isKept() ? 1 : 0;
        RC_ASSERT(!row.isKept() || row.weight > 0.0F);
        const bool healthy
            = row.rule != UpstreamRule::Aside && (row.report.healthState == HealthState::Serving || row.rule == UpstreamRule::Trust);
        RC_ASSERT(!usable || !healthy || row.isKept());
    }
    const auto byShare = static_cast<double>(reachable) * rule.share;
    RC_ASSERT(kept >= std::min(rule.count, reachable));
    RC_ASSERT(static_cast<double>(kept) >= byShare - 1e-6);
    for (std::size_t i = 0; i < domainKept.size(); ++i) {
        RC_ASSERT(domainKept[i] >= std::min(rule.perFailureDomain, domainReachable[i]));
    }
    const StateCounts &counts = table.services[0].counts;
    total = counts.serving + counts.cold + counts.leaving + counts.ejected + counts.unreachable;
    RC_ASSERT(total == table.rows.size());
    RC_ASSERT(counts.serving + counts.cold == kept);
}

} // namespace

class FloorSystemTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FloorSystemTest);
    CPPUNIT_TEST(floorHoldsForRandomSequences);
    CPPUNIT_TEST(ejectsMaximumWithinFloor);
    CPPUNIT_TEST(decidesByTable);
    CPPUNIT_TEST(commonSlowdownCausesNoEjection);
    CPPUNIT_TEST(ejectionWithoutUpdateBecomesTrial);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a violation of the floor (P1) under random sequences of reports, gossip, changes of rules, floor and
    /// membership, and path failures.
    void floorHoldsForRandomSequences()
    {
        const bool held = rc::check("kept upstreams never fall below the floor", [] {
            const auto upstreams = *rc::gen::inRange<std::uint32_t>(1, 13);
            FloorRule rule{2, 0.0, 0};
            Document document = makeDocument(upstreams, rule);
            ReportTable table;
            PathTable paths;
            TimePoint now;
            table.configure(document, now);
            FloorSystem floor(table, paths);
            const auto connect = [&] {
                for (ReportRow &row : table.rows) {
                    row.peer = paths.add(row.vm, now);
                }
            };
            connect();
            const auto steps = *rc::gen::inRange(1, 60);
            for (int step = 0; step < steps; ++step) {
                now += std::chrono::milliseconds(*rc::gen::inRange(1, 20000));
                const auto row = *rc::gen::inRange<std::uint32_t>(0, static_cast<std::uint32_t>(table.rows.size()));
                const auto healthState = static_cast<HealthState>(*rc::gen::inRange(0, 5));
                const auto cause = static_cast<HealthCause>(*rc::gen::inRange(0, 7));
                const auto severity = static_cast<float>(*rc::gen::inRange(0, 30)) / 10.0F;
                switch (*rc::gen::inRange(0, 6)) {
                case 0:
                    table.report(row, reportOf(healthState, severity, cause), now);
                    break;
                case 1:
                    table.gossip(row, healthState, cause, severity, now);
                    break;
                case 2:
                    table.setMembership(table.rows[row].vm, *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>());
                    break;
                case 3:
                    paths.rows[table.rows[row].peer].state = static_cast<PathState>(*rc::gen::inRange(0, 5));
                    break;
                case 4:
                    rule.count = *rc::gen::inRange<std::uint32_t>(0, 14);
                    rule.share = *rc::gen::inRange(0, 11) / 10.0;
                    rule.perFailureDomain = *rc::gen::inRange<std::uint32_t>(0, 4);
                    break;
                default:
                    document.upstreams[row].rule = static_cast<UpstreamRule>(*rc::gen::inRange(0, 4));
                    break;
                }
                document.services[0].floor = rule;
                table.configure(document, now);
                connect();
                floor.tick(now);
                assertFloor(table, paths, rule);
            }
        });
        CPPUNIT_ASSERT(held);
    }

    /// Guards against a floor that is kept by ejecting fewer upstreams than possible: compares the greedy choice with all subsets.
    void ejectsMaximumWithinFloor()
    {
        const bool held = rc::check("the number ejected is the largest possible", [] {
            const auto size = *rc::gen::inRange<std::uint32_t>(0, 9);
            const FloorRule rule{
                *rc::gen::inRange<std::uint32_t>(0, 6), *rc::gen::inRange(0, 11) / 10.0, *rc::gen::inRange<std::uint32_t>(0, 3)};
            std::vector<FloorEntry> entries(size);
            for (FloorEntry &entry : entries) {
                entry.failureDomain = *rc::gen::inRange<std::uint32_t>(0, 3);
                entry.unhealthy = *rc::gen::arbitrary<bool>();
                entry.severity = static_cast<float>(*rc::gen::inRange(0, 5));
            }
            const std::uint32_t floor = applyFloor(entries, rule);
            std::uint32_t most = 0;
            for (std::uint32_t subset = 0; subset < (1U << size); ++subset) {
                std::array<std::uint32_t, 3> kept{};
                std::array<std::uint32_t, 3> all{};
                std::uint32_t ejected = 0;
                bool allowed = true;
                for (std::uint32_t i = 0; i < size; ++i) {
                    const bool out = ((subset >> i) & 1U) != 0;
                    allowed = allowed && (!out || entries[i].unhealthy);
                    ejected += out ? 1 : 0;
                    kept[entries[i].failureDomain] += out ? 0 : 1;
                    all[entries[i].failureDomain] += 1;
                }
                for (std::size_t i = 0; i < kept.size(); ++i) {
                    allowed = allowed && kept[i] >= std::min(all[i], rule.perFailureDomain);
                }
                most = allowed && size - ejected >= floor ? std::max(most, ejected) : most;
            }
            const auto ejected = std::count_if(entries.begin(), entries.end(), [](const FloorEntry &entry) {
                return entry.ejected;
            });
            RC_ASSERT(static_cast<std::uint32_t>(ejected) == most);
        });
        CPPUNIT_ASSERT(held);
    }

    /// Guards against a wrong precedence of rules, health states, leaving and reachability.
    void decidesByTable()
    {
        struct Row
        {
            const char *name;
            HealthState healthState;
            UpstreamRule rule;
            bool leaving;
            bool gone;
            std::uint32_t floor;
            UpstreamState state;
            bool insist;
        };
        const Row rows[] = {
            {"healthy", HealthState::Serving, UpstreamRule::Judge, false, false, 0, UpstreamState::Serving, false},
            {"cold", HealthState::Cold, UpstreamRule::Judge, false, false, 0, UpstreamState::Cold, false},
            {"ejected", HealthState::Ejected, UpstreamRule::Judge, false, false, 2, UpstreamState::Ejected, false},
            {"trial", HealthState::Trial, UpstreamRule::Judge, false, false, 2, UpstreamState::Ejected, false},
            {"kept for the floor", HealthState::Ejected, UpstreamRule::Judge, false, false, 3, UpstreamState::Serving, true},
            {"trusted", HealthState::Ejected, UpstreamRule::Trust, false, false, 0, UpstreamState::Serving, false},
            {"set aside", HealthState::Serving, UpstreamRule::Aside, false, false, 2, UpstreamState::Ejected, false},
            {"set aside at the floor", HealthState::Serving, UpstreamRule::Aside, false, false, 3, UpstreamState::Serving, true},
            {"retired at the floor", HealthState::Serving, UpstreamRule::Retire, false, false, 3, UpstreamState::Leaving, false},
            {"leaving by health state", HealthState::Leaving, UpstreamRule::Judge, false, false, 3, UpstreamState::Leaving, false},
            {"leaving by membership", HealthState::Ejected, UpstreamRule::Judge, true, false, 3, UpstreamState::Leaving, false},
            {"gone", HealthState::Serving, UpstreamRule::Judge, false, true, 3, UpstreamState::Unreachable, false},
        };
        for (const Row &row : rows) {
            Document document = makeDocument(3, {row.floor, 0.0, 0});
            document.upstreams[0].rule = row.rule;
            ReportTable table;
            PathTable paths;
            table.configure(document, TimePoint());
            table.report(0, reportOf(row.healthState, 1.0F), TimePoint());
            table.setMembership("vm-0", row.leaving, row.gone);
            FloorSystem floor(table, paths);
            floor.tick(TimePoint());
            CPPUNIT_ASSERT_MESSAGE(row.name, table.rows[0].state == row.state);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, row.insist, table.rows[0].insist);
        }
    }

    /// Guards against ejecting many upstreams when the whole service becomes slow, also when the medians of some homes rise later.
    void commonSlowdownCausesNoEjection()
    {
        for (std::uint32_t slow = 0; slow <= 10; ++slow) {
            ReportTable table;
            PathTable paths;
            table.configure(makeDocument(10, {0, 0.3, 0}), TimePoint());
            for (std::uint32_t i = 0; i < slow; ++i) {
                table.report(i, reportOf(HealthState::Ejected, 1.5F, HealthCause::Latency), TimePoint());
            }
            FloorSystem floor(table, paths);
            floor.tick(TimePoint());
            CPPUNIT_ASSERT_EQUAL(slow > 5 ? 0U : slow, table.services[0].counts.ejected);
            for (std::uint32_t i = 1; i < slow; ++i) {
                table.report(i, reportOf(HealthState::Serving, 0.0F, HealthCause::None), TimePoint());
            }
            floor.tick(TimePoint() + std::chrono::seconds(4));
            CPPUNIT_ASSERT_EQUAL(slow > 5 || slow == 0 ? 0U : 1U, table.services[0].counts.ejected);
            floor.tick(TimePoint() + std::chrono::seconds(7));
            CPPUNIT_ASSERT_EQUAL(slow == 0 ? 0U : 1U, table.services[0].counts.ejected);
        }
    }

    /// Guards against an upstream that stays ejected because this ingress missed the update about its reinstatement.
    void ejectionWithoutUpdateBecomesTrial()
    {
        ReportTable table;
        PathTable paths;
        table.configure(makeDocument(3, {}), TimePoint());
        table.report(0, reportOf(HealthState::Ejected, 1.5F), TimePoint());
        FloorSystem floor(table, paths);
        floor.tick(TimePoint() + std::chrono::seconds(29));
        CPPUNIT_ASSERT(!table.rows[0].trial);
        floor.tick(TimePoint() + std::chrono::seconds(31));
        CPPUNIT_ASSERT(table.rows[0].trial && table.rows[0].weight > 0.0F);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FloorSystemTest);
