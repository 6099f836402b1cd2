#include <galenarack/policy/grayfailurefilter.h>
#include <galenarack/policy/movingshare.h>

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

using namespace Galenarack;
using namespace std::chrono_literals;

namespace {

const TimePoint start(std::chrono::hours(1));

struct HistoryCase
{
    const char *name;
    std::string history; ///< "s" success, "f" failure, "o" overdue, "." one second without a request; 100 ms between others.
    double minProbability;
    double maxProbability;
};

} // namespace

class GrayFailureFilterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GrayFailureFilterTest);
    CPPUNIT_TEST(updatesProbabilityFromEvidence);
    CPPUNIT_TEST(combinesEvidenceOfFailureDomains);
    CPPUNIT_TEST(detectsWithinFewRequests);
    CPPUNIT_TEST(shareFallsWithoutEvents);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a gray upstream that keeps non-idempotent work (limit 0.25), and against a sound one that is ejected
    /// (limit 0.6) for one of the failures that every upstream has.
    void updatesProbabilityFromEvidence()
    {
        const HistoryCase cases[] = {
            {"sound", "ssssssssss", 0.0, 0.1},
            {"one failure of a sound one", "ssssssssssf", 0.1, 0.6},
            {"two failures", "ssssssssssff", 0.6, 1.0},
            {"no evidence", "....................", 0.1, 0.25},
            {"first request fails", "f", 0.6, 1.0},
            {"ejected, one success", "ssffffs", 0.5, 0.95},
            {"ejected, three successes", "ssffffsss", 0.0, 0.25},
            {"forgotten", "ssffff....................", 0.1, 0.35},
            {"overdue once", "sssso", 0.0, 0.4},
        };
        for (const HistoryCase &row : cases) {
            GrayFailureFilter filter(start);
            TimePoint now = start;
            for (const char step : row.history) {
                now += step == '.' ? Duration(1s) : Duration(100ms);
                if (step != '.') {
                    filter.observe("a",
                                   step == 's'   ? RequestEvidence::Success
                                   : step == 'f' ? RequestEvidence::Failure
                                                 : RequestEvidence::Overdue,
                                   now);
                }
            }
            const double probability = filter.grayProbability("a", now);
            CPPUNIT_ASSERT_MESSAGE(std::string(row.name) + " " + std::to_string(probability),
                                   probability >= row.minProbability && probability <= row.maxProbability);
        }
    }

    /// Replays an upstream that gets its work from three failure domains. Guards against one that stays without work because
    /// each domain would have to see its recovery for itself, and against one that is gray for one domain only and is avoided
    /// by all, or by none.
    void combinesEvidenceOfFailureDomains()
    {
        // A letter is the failure domain of a request, in upper case when it failed; 100 ms between two.
        const struct
        {
            const char *name;
            std::string history;
            const char *failureDomain;
            double minProbability;
            double maxProbability;
        } cases[] = {
            {"gray for all", "abcabcABC", "a", 0.6, 1.0},
            {"seen by one so far", "abcabcAA", "c", 0.5, 1.0},
            {"recovered, seen by one", "abcABCABCaaa", "c", 0.0, 0.25},
            {"gray for one, in its eyes", "abcabcAbcAbcA", "a", 0.6, 1.0},
            {"gray for one, for others", "abcabcAbcAbcA", "b", 0.0, 0.25},
        };
        for (const auto &row : cases) {
            GrayFailureFilter filter(start);
            TimePoint now = start;
            for (const char step : row.history) {
                now += 100ms;
                const bool failed = step < 'a';
                const std::string failureDomain(1, failed ? static_cast<char>(step - 'A' + 'a') : step);
                filter.observe(failureDomain, failed ? RequestEvidence::Failure : RequestEvidence::Success, now);
            }
            const double probability = filter.grayProbability(row.failureDomain, now);
            CPPUNIT_ASSERT_MESSAGE(std::string(row.name) + " " + std::to_string(probability),
                                   probability >= row.minProbability && probability <= row.maxProbability);
        }
    }

    /// Replays upstreams that turn gray. Guards against detection that takes many requests, and against false ejections.
    void detectsWithinFewRequests()
    {
        std::mt19937_64 random(20261204);
        std::bernoulli_distribution grayFails(0.8);
        std::bernoulli_distribution healthyFails(0.012);
        constexpr double ejectionLimit = 0.6;
        unsigned requestsUntilEjected = 0;
        unsigned falseEjections = 0;
        constexpr unsigned runs = 500;
        for (unsigned run = 0; run < runs; ++run) {
            GrayFailureFilter filter(start);
            TimePoint now = start;
            for (unsigned i = 0; i < 50; ++i) {
                now += 150ms;
                filter.observe("a", healthyFails(random) ? RequestEvidence::Failure : RequestEvidence::Success, now);
                falseEjections += filter.grayProbability("a", now) > ejectionLimit ? 1 : 0;
            }
            while (filter.grayProbability("a", now) <= ejectionLimit) {
                now += 150ms;
                filter.observe("a", grayFails(random) ? RequestEvidence::Failure : RequestEvidence::Success, now);
                ++requestsUntilEjected;
            }
        }
        CPPUNIT_ASSERT(requestsUntilEjected <= 4 * runs);
        CPPUNIT_ASSERT(falseEjections <= runs * 50 / 100);
    }

    /// Guards against an upstream that is avoided for ever after a moment of shedding.
    void shareFallsWithoutEvents()
    {
        MovingShare share;
        for (int i = 0; i < 20; ++i) {
            share.observe(true, start + i * Duration(50ms));
        }
        CPPUNIT_ASSERT(share.value(start + 1s) > 0.8);
        CPPUNIT_ASSERT(share.value(start + 10s) < 0.05);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GrayFailureFilterTest);
