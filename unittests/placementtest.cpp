#include <galenarack/policy/durationestimate.h>
#include <galenarack/policy/placement.h>

#include <cppunit/extensions/HelperMacros.h>

#include <map>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

const TimePoint start(std::chrono::hours(1));

UpstreamEntry entryOf(std::string id, std::string failureDomain)
{
    UpstreamEntry entry;
    entry.id = std::move(id);
    entry.service = "reports";
    entry.failureDomain = std::move(failureDomain);
    entry.slots = 3;
    entry.revision = 1;
    return entry;
}

PlacementRequest requestOf(bool idempotent)
{
    PlacementRequest request;
    request.service = "reports";
    request.idempotent = idempotent;
    request.expected = 300ms;
    request.target = 800ms;
    return request;
}

struct ChoiceCase
{
    const char *name;
    bool idempotent;
    void (*prepare)(Placement &, std::vector<UpstreamEntry> &);
    const char *expected; ///< Empty for none.
};

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(choosesLeastCost);
    CPPUNIT_TEST(spreadsEqualUpstreams);
    CPPUNIT_TEST(triesEjectedUpstream);
    CPPUNIT_TEST(forgetsEarlierRun);
    CPPUNIT_TEST(asksAgainAfterOldReport);
    CPPUNIT_TEST(choosesAmongHandBacks);
    CPPUNIT_TEST(estimatesDurations);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against bytes between failure domains without need, and against work for an upstream that is loaded, gray, slow,
    /// leaving or out of reach while another is not.
    void choosesLeastCost()
    {
        const ChoiceCase cases[] = {
            {"own failure domain", true, [](Placement &, std::vector<UpstreamEntry> &) {}, "near"},
            {"loaded",
             true,
             [](Placement &placement, std::vector<UpstreamEntry> &) {
                 placement.report("near", UpstreamLoad{3, 4, 3, 0, 1, 0}, start);
             },
             "far"},
            {"gray",
             false,
             [](Placement &placement, std::vector<UpstreamEntry> &) {
                 placement.report("near", UpstreamLoad{0, 0, 3, 0.15, 1, 0}, start);
             },
             "far"},
            {"slow",
             true,
             [](Placement &placement, std::vector<UpstreamEntry> &) {
                 placement.report("near", UpstreamLoad{0, 0, 3, 0, 4, 0}, start);
             },
             "far"},
            {"sheds load",
             true,
             [](Placement &placement, std::vector<UpstreamEntry> &) {
                 placement.report("near", UpstreamLoad{0, 0, 3, 0, 1, 0.8}, start);
             },
             "far"},
            {"ejected",
             true,
             [](Placement &placement, std::vector<UpstreamEntry> &) {
                 placement.reportEjected("near", 1s, start);
             },
             "far"},
            {"out of reach",
             true,
             [](Placement &placement, std::vector<UpstreamEntry> &) {
                 placement.reportPathFailure("near", start);
             },
             "far"},
            {"leaving",
             true,
             [](Placement &placement, std::vector<UpstreamEntry> &entries) {
                 entries[0].draining = true;
                 placement.setEntries(entries, start);
             },
             "far"},
            {"all leaving",
             true,
             [](Placement &placement, std::vector<UpstreamEntry> &entries) {
                 entries[0].draining = true;
                 entries[1].draining = true;
                 placement.setEntries(entries, start);
             },
             ""},
        };
        for (const ChoiceCase &row : cases) {
            Placement placement("a", std::mt19937_64(7));
            std::vector<UpstreamEntry> entries = {entryOf("near", "a"), entryOf("far", "b")};
            placement.setEntries(entries, start);
            row.prepare(placement, entries);
            const UpstreamBelief *belief = placement.choose(requestOf(row.idempotent), {}, start);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(row.expected), belief == nullptr ? std::string() : belief->entry.id);
        }
    }

    /// Guards against all nodes choosing the same of several equal upstreams.
    void spreadsEqualUpstreams()
    {
        Placement placement("a", std::mt19937_64(7));
        const std::vector<UpstreamEntry> entries = {entryOf("u1", "a"), entryOf("u2", "a"), entryOf("u3", "a")};
        placement.setEntries(entries, start);
        std::map<std::string, int> counts;
        for (int i = 0; i < 300; ++i) {
            ++counts[placement.choose(requestOf(true), {}, start)->entry.id];
        }
        for (const UpstreamEntry &entry : entries) {
            CPPUNIT_ASSERT(counts[entry.id] > 50);
        }
    }

    /// Guards against an ejected upstream that is never asked again, and against trials with work that must not fail.
    void triesEjectedUpstream()
    {
        Placement placement("a", std::mt19937_64(7));
        const std::vector<UpstreamEntry> entries = {entryOf("sound", "a"), entryOf("ejected", "a")};
        placement.setEntries(entries, start);
        placement.reportEjected("ejected", 300ms, start);
        PlacementRequest request = requestOf(true);
        request.mayTry = true;
        CPPUNIT_ASSERT_EQUAL(std::string("sound"), placement.choose(request, {}, start + 100ms)->entry.id);
        CPPUNIT_ASSERT_EQUAL(std::string("ejected"), placement.choose(request, {}, start + 400ms)->entry.id);
        request.mayTry = false;
        const std::vector<std::string> excluded = {"sound"};
        CPPUNIT_ASSERT(placement.choose(request, excluded, start + 400ms) == nullptr);
        request.acceptsGray = true;
        CPPUNIT_ASSERT_EQUAL(std::string("ejected"), placement.choose(request, excluded, start + 400ms)->entry.id);
    }

    /// Guards against an upstream that has started again and is avoided for what its earlier run did.
    void forgetsEarlierRun()
    {
        Placement placement("a", std::mt19937_64(7));
        std::vector<UpstreamEntry> entries = {entryOf("u1", "a")};
        placement.setEntries(entries, start);
        placement.reportEjected("u1", 10s, start);
        CPPUNIT_ASSERT(placement.choose(requestOf(true), {}, start) == nullptr);
        entries[0].startTimeMs = 99;
        entries[0].revision = 2;
        placement.setEntries(entries, start);
        CPPUNIT_ASSERT(placement.choose(requestOf(true), {}, start) != nullptr);
    }

    /// Replays an upstream that was gray and has recovered while another one is busy. Guards against a node that avoids it for
    /// as long as no request goes there: its home would hand a request back within one round trip.
    void asksAgainAfterOldReport()
    {
        const struct
        {
            const char *name;
            bool idempotent;
            Duration age;
            const char *expected;
        } cases[] = {
            {"fresh report", false, 100ms, "busy"},
            {"fresh report, idempotent", true, 100ms, "busy"},
            {"old report", false, 5s, "recovered"},
            {"old report, idempotent", true, 5s, "recovered"},
        };
        for (const auto &row : cases) {
            Placement placement("a", std::mt19937_64(7));
            placement.setEntries(std::vector<UpstreamEntry>{entryOf("recovered", "a"), entryOf("busy", "a")}, start);
            placement.report("recovered", UpstreamLoad{0, 0, 3, 0.9, 1, 0}, start);
            placement.report("busy", UpstreamLoad{3, 2, 3, 0.02, 1, 0}, start + row.age);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                row.name, std::string(row.expected), placement.choose(requestOf(row.idempotent), {}, start + row.age)->entry.id);
        }
    }

    /// Replays overload in which a third of the upstreams are gray. Guards against a request that is refused for the queues at
    /// trusted upstreams while one that is probably sound has free slots, and against non-idempotent work for one that
    /// probably fails it.
    void choosesAmongHandBacks()
    {
        const struct
        {
            const char *name;
            bool idempotent;
            std::vector<HandBack> handBacks;
            const char *expected; ///< Empty for none.
        } cases[] = {
            {"shortest wait", true, {{"long", 400ms, 0.0}, {"short", 100ms, 0.0}}, "short"},
            {"all too long", false, {{"long", 600ms, 0.0}, {"longer", 700ms, 0.0}}, ""},
            {"in doubt and free", false, {{"long", 600ms, 0.0}, {"doubtful", 0ms, 0.4}}, "doubtful"},
            {"trusted in time", false, {{"short", 100ms, 0.0}, {"doubtful", 0ms, 0.4}}, "short"},
            {"probably fails", false, {{"long", 600ms, 0.0}, {"gray", 0ms, 0.9}}, ""},
            {"probably fails, idempotent", true, {{"long", 600ms, 0.0}, {"gray", 0ms, 0.9}}, "gray"},
        };
        for (const auto &row : cases) {
            const auto chosen = Placement::chooseHandBack(requestOf(row.idempotent), row.handBacks, 520ms);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(row.expected), chosen ? row.handBacks[*chosen].upstream : std::string());
        }
    }

    /// Guards against an estimate that one outlier ruins, or that never learns.
    void estimatesDurations()
    {
        DurationEstimate estimate;
        CPPUNIT_ASSERT(Duration(320ms) == estimate.usual("r", 800ms));
        estimate.observe("r", 800ms, 60s);
        CPPUNIT_ASSERT(estimate.usual("r", 800ms) < Duration(400ms));
        for (int i = 0; i < 200; ++i) {
            estimate.observe("r", 800ms, 100ms);
        }
        CPPUNIT_ASSERT(estimate.usual("r", 800ms) < Duration(120ms));
        CPPUNIT_ASSERT(Duration(320ms) == estimate.usual("other", 800ms));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
