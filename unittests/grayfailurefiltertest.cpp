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
    /// Sequence of events: "s" is a success, "f" a failure, "o" an overdue request, each 100 ms after the event before it; "." is
    /// one second without a request.
    std::string history;
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
    /// Guards against a gray upstream that still gets non-idempotent work (limit 0.25), and against a healthy one that is ejected
    /// (limit 0.6) because of a single failure, as every upstream has now and then.
    void updatesProbabilityFromEvidence()
    {
        const HistoryCase cases[] = {
            {"healthy", "ssssssssss", 0.0, 0.1},
            {"one failure of a healthy upstream", "ssssssssssf", 0.1, 0.6},
            {"two failures", "ssssssssssff", 0.6, 1.0},
            {"no evidence", "....................", 0.1, 0.25},
            {"first request fails", "f", 0.6, 1.0},
            {"ejected, one success", "ssffffs", 0.5, 0.95},
            {"ejected, three successes", "ssffffsss", 0.0, 0.25},
            {"failures long ago", "ssffff....................", 0.1, 0.35},
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

    /// Guards against an upstream that gets no work after its recovery because each failure domain has to observe the recovery
    /// itself, and against one that is gray for a single failure domain but is avoided by all of them, or by none.
    void combinesEvidenceOfFailureDomains()
    {
        // Each letter is a request from the failure domain of this name, in upper case when it failed; 100 ms lie between two.
        const struct
        {
            const char *name;
            std::string history;
            const char *failureDomain;
            double minProbability;
            double maxProbability;
        } cases[] = {
            {"gray for all", "abcabcABC", "a", 0.6, 1.0},
            {"observed by one domain", "abcabcAA", "c", 0.5, 1.0},
            {"recovery observed by one domain", "abcABCABCaaa", "c", 0.0, 0.25},
            {"gray for one domain, asked by it", "abcabcAbcAbcA", "a", 0.6, 1.0},
            {"gray for one domain, asked by another", "abcabcAbcAbcA", "b", 0.0, 0.25},
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

    /// Guards against detection that takes many requests after an upstream turns gray, and against false ejections before.
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

    /// Guards against an upstream that is avoided permanently after it has shed load for a short time.
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
