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
    entry.position = {1, 1};
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
    const char *expected; ///< Id of the upstream to be chosen; empty for none.
};

} // namespace

class PlacementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PlacementTest);
    CPPUNIT_TEST(choosesLeastCost);
    CPPUNIT_TEST(spreadsEqualUpstreams);
    CPPUNIT_TEST(sendsTrialToEjectedUpstream);
    CPPUNIT_TEST(discardsStateOfEarlierRun);
    CPPUNIT_TEST(discountsOldReports);
    CPPUNIT_TEST(triesUpstreamsWithoutReport);
    CPPUNIT_TEST(choosesAmongDeclinedOffers);
    CPPUNIT_TEST(estimatesDurations);
    CPPUNIT_TEST(learnsDurationsThatDifferFromTheTarget);
    CPPUNIT_TEST(asksNoLimitedUpstreamWithoutRoom);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against unnecessary traffic between failure domains, and against work for an upstream that is overloaded, gray,
    /// slow, leaving or unreachable while another one is available.
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
            {"unreachable",
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
            const UpstreamView *view = placement.choose(requestOf(row.idempotent), {}, start);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(row.name, std::string(row.expected), view == nullptr ? std::string() : view->entry.id);
        }
    }

    /// Guards against offers to upstreams whose limit has no room, one home after the other, against a short wait that is not accepted, and
    /// against a limit that is believed after it may have ended.
    void asksNoLimitedUpstreamWithoutRoom()
    {
        Placement placement("a", std::mt19937_64(7));
        const std::vector<UpstreamEntry> entries = {entryOf("near", "a"), entryOf("far", "b")};
        placement.setEntries(entries, start);
        UpstreamLoad limited{0, 0, 3, 0, 1, 0};
        limited.limit = 2.0;
        limited.limitWait = 400ms;
        placement.report("near", limited, start);
        PlacementRequest request = requestOf(true);
        request.maxLimitWait = 80ms;
        CPPUNIT_ASSERT_EQUAL(std::string("far"), placement.choose(request, {}, start)->entry.id);
        placement.report("far", limited, start);
        CPPUNIT_ASSERT(placement.choose(request, {}, start + 100ms) == nullptr);
        const auto offers = placement.limitedOffers(request, {}, start + 100ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, offers.size());
        CPPUNIT_ASSERT(offers.front().wait == Duration(300ms));
        const std::string excluded[] = {"near"};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, placement.limitedOffers(request, excluded, start + 100ms).size());
        request.maxLimitWait = 500ms;
        CPPUNIT_ASSERT(placement.choose(request, {}, start + 100ms) != nullptr);
        request.maxLimitWait = Duration::zero();
        CPPUNIT_ASSERT(placement.choose(request, {}, start + 400ms) != nullptr);
        limited.limitWait = 60s;
        placement.report("near", limited, start);
        placement.report("far", limited, start);
        CPPUNIT_ASSERT(placement.choose(request, {}, start + 900ms) == nullptr);
        CPPUNIT_ASSERT(placement.choose(request, {}, start + 1100ms) != nullptr);
    }

    /// Guards against a load imbalance between equal upstreams, which arises when all nodes choose the same one.
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

    /// Guards against an ejected upstream that is never tried again, and against trials with requests that do not allow one.
    void sendsTrialToEjectedUpstream()
    {
        Placement placement("a", std::mt19937_64(7));
        const std::vector<UpstreamEntry> entries = {entryOf("healthy", "a"), entryOf("ejected", "a")};
        placement.setEntries(entries, start);
        placement.reportEjected("ejected", 300ms, start);
        PlacementRequest request = requestOf(true);
        request.allowTrial = true;
        CPPUNIT_ASSERT_EQUAL(std::string("healthy"), placement.choose(request, {}, start + 100ms)->entry.id);
        CPPUNIT_ASSERT_EQUAL(std::string("ejected"), placement.choose(request, {}, start + 400ms)->entry.id);
        request.allowTrial = false;
        const std::vector<std::string> excluded = {"healthy"};
        CPPUNIT_ASSERT(placement.choose(request, excluded, start + 400ms) == nullptr);
        request.allowUnhealthy = true;
        CPPUNIT_ASSERT_EQUAL(std::string("ejected"), placement.choose(request, excluded, start + 400ms)->entry.id);
    }

    /// Guards against a restarted upstream that is avoided because of failures in its earlier run.
    void discardsStateOfEarlierRun()
    {
        Placement placement("a", std::mt19937_64(7));
        std::vector<UpstreamEntry> entries = {entryOf("u1", "a")};
        placement.setEntries(entries, start);
        placement.reportEjected("u1", 10s, start);
        CPPUNIT_ASSERT(placement.choose(requestOf(true), {}, start) == nullptr);
        entries[0].startTimeMs = 99;
        entries[0].position = {1, 2};
        placement.setEntries(entries, start);
        CPPUNIT_ASSERT(placement.choose(requestOf(true), {}, start) != nullptr);
    }

    /// Guards against an upstream that has recovered from a gray failure but gets no more requests, because the last report on it
    /// is old: its home would decline an offer within one round trip if it had not recovered.
    void discountsOldReports()
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

    /// Guards against an upstream that has started or come back and gets no requests because others are known to be healthy.
    void triesUpstreamsWithoutReport()
    {
        const struct
        {
            const char *name;
            bool idempotent;
            const char *knownDomain; ///< Failure domain of the upstream that is known to be healthy; "a" is that of the node.
            unsigned least; ///< Fewest of 1000 requests that go to the upstream without a report.
        } table[] = {
            {"idempotent, same domain", true, "a", 50},
            {"idempotent, nearer", true, "b", 900},
            {"not idempotent, nearer", false, "b", 900},
        };
        for (const auto &row : table) {
            Placement placement("a", std::mt19937_64(7));
            placement.setEntries(std::vector<UpstreamEntry>{entryOf("known", row.knownDomain), entryOf("new", "a")}, start);
            placement.report("known", UpstreamLoad{0, 0, 3, 0.005, 1, 0}, start);
            unsigned tried = 0;
            for (unsigned i = 0; i < 1000; ++i) {
                tried += placement.choose(requestOf(row.idempotent), {}, start)->entry.id == "new" ? 1 : 0;
            }
            CPPUNIT_ASSERT_MESSAGE(row.name + (": " + std::to_string(tried)), tried >= row.least);
        }
    }

    /// Guards against a request that is refused because of long queues at healthy upstreams while an upstream that is probably
    /// healthy has free slots, and against non-idempotent work on an upstream that would probably fail it. Both occur under
    /// overload when a third of the upstreams are gray.
    void choosesAmongDeclinedOffers()
    {
        const struct
        {
            const char *name;
            bool idempotent;
            std::vector<DeclinedOffer> declinedOffers;
            const char *expected; ///< Id of the upstream to be chosen; empty for none.
        } cases[] = {
            {"shortest wait", true, {{"long", 400ms, 0.0}, {"short", 100ms, 0.0}}, "short"},
            {"all too long", false, {{"long", 600ms, 0.0}, {"longer", 700ms, 0.0}}, ""},
            {"uncertain health, free slot", false, {{"long", 600ms, 0.0}, {"uncertain", 0ms, 0.4}}, "uncertain"},
            {"healthy, wait within the limit", false, {{"short", 100ms, 0.0}, {"uncertain", 0ms, 0.4}}, "short"},
            {"probably fails", false, {{"long", 600ms, 0.0}, {"gray", 0ms, 0.9}}, ""},
            {"probably fails, idempotent", true, {{"long", 600ms, 0.0}, {"gray", 0ms, 0.9}}, "gray"},
        };
        for (const auto &row : cases) {
            const auto chosen = Placement::chooseDeclinedOffer(requestOf(row.idempotent), row.declinedOffers, 520ms);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                row.name, std::string(row.expected), chosen ? row.declinedOffers[*chosen].upstream : std::string());
        }
    }

    /// Guards against an estimate that a single outlier distorts, and against one that does not follow the samples.
    void estimatesDurations()
    {
        DurationEstimate estimate;
        CPPUNIT_ASSERT(Duration(320ms) == estimate.usual("r", 800ms));
        estimate.observe("r", 60s);
        CPPUNIT_ASSERT(estimate.usual("r", 800ms) < Duration(400ms));
        for (int i = 0; i < 200; ++i) {
            estimate.observe("r", 100ms);
        }
        CPPUNIT_ASSERT(estimate.usual("r", 800ms) < Duration(120ms));
        estimate.observe("r", 60s);
        CPPUNIT_ASSERT(estimate.usual("r", 800ms) < Duration(150ms));
        CPPUNIT_ASSERT(Duration(320ms) == estimate.usual("other", 800ms));
    }

    /// Guards against a first estimate that outweighs the samples for tens of requests, and against one that a few short or long samples
    /// distort. Upstreams without samples look slow while the estimate is too long, and get nothing.
    void learnsDurationsThatDifferFromTheTarget()
    {
        const struct
        {
            const char *name;
            std::chrono::milliseconds target;
            std::vector<std::chrono::milliseconds> samples;
            std::chrono::milliseconds expected; ///< The estimate may differ from it by a quarter.
        } table[] = {
            {"much shorter", 500ms, {20ms, 20ms, 20ms, 20ms, 20ms, 20ms, 20ms, 20ms}, 20ms},
            {"longer", 100ms, {400ms, 400ms, 400ms, 400ms, 400ms, 400ms, 400ms, 400ms}, 400ms},
            {"varied", 1000ms, {900ms, 50ms, 300ms, 100ms, 600ms, 150ms, 500ms, 200ms}, 350ms},
            {"long outlier", 500ms, {9000ms, 20ms, 20ms, 20ms, 20ms, 20ms, 20ms, 20ms}, 27ms},
            {"three short ones", 1125ms, {1ms, 1ms, 1ms}, 450ms},
            {"shorter than the unit", 10ms, {0ms, 0ms, 0ms, 0ms, 0ms, 0ms, 0ms, 0ms, 1ms}, 1ms},
        };
        for (const auto &row : table) {
            DurationEstimate estimate;
            for (const auto sample : row.samples) {
                estimate.observe("r", sample);
            }
            const double ratio = std::chrono::duration<double>(estimate.usual("r", row.target)) / row.expected;
            CPPUNIT_ASSERT_MESSAGE(row.name + (": " + std::to_string(ratio)), ratio > 0.75 && ratio < 1.25);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PlacementTest);
