#include <galenarack/core/errorkind.h>
#include <galenarack/routing/accountlimiter.h>
#include <galenarack/routing/upstreamselector.h>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <functional>
#include <string>

using namespace Galenarack;
using std::chrono::milliseconds;
using std::chrono::seconds;

class UpstreamSelectorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UpstreamSelectorTest);
    CPPUNIT_TEST(distributesByLoadAndState);
    CPPUNIT_TEST(respectsExclusionsTrialsAndInsistence);
    CPPUNIT_TEST(limitsRateAndRequestsInFlight);
    CPPUNIT_TEST(removesIdleAccounts);
    CPPUNIT_TEST_SUITE_END();

    /// Six upstreams, two in each failure domain. The ingress is in the failure domain of upstreams 0 and 3.
    struct SelectorFixture
    {
        SelectorFixture()
        {
            Document document;
            document.services.push_back({"service", "services", DetectionProfile::Claims, {}, 64});
            for (std::uint32_t i = 0; i < 6; ++i) {
                document.upstreams.push_back({std::to_string(i), "upstreams", 0, "vm", std::to_string(i % 3), 3});
            }
            this->table.configure(document, TimePoint());
        }
        void load(std::uint32_t row, std::uint32_t work, TimePoint at = TimePoint())
        {
            UpstreamReport report;
            report.inFlight = work;
            this->table.report(row, report, at);
        }
        std::array<double, 6> shares(bool repeatable = true)
        {
            std::array<double, 6> result{};
            for (int i = 0; i < 20000; ++i) {
                result[this->selector.select(0, repeatable, {}, TimePoint() + milliseconds(100))->row] += 1.0 / 20000;
            }
            return result;
        }

        ReportTable table;
        UpstreamSelector selector{this->table, 0, std::mt19937_64(20261204)};
    };

public:
    /// Guards against a wrong share of the requests for row 0. The expected interval of each case follows from the rule in its
    /// comment.
    void distributesByLoadAndState()
    {
        struct Row
        {
            const char *name;
            std::function<void(SelectorFixture &)> prepare;
            double low;
            double high;
        };
        const auto setLoads = [](SelectorFixture &fixture, std::uint32_t first, std::uint32_t others) {
            for (std::uint32_t i = 0; i < 6; ++i) {
                fixture.load(i, i == 0 ? first : others);
            }
        };
        const Row rows[] = {
            // The load in the ingress's failure domain is low: both local rows get half of the requests.
            {"local rows share",
             [&](SelectorFixture &fixture) {
                 setLoads(fixture, 0, 0);
             },
             0.48,
             0.52},
            // The less loaded of the two local rows is always selected.
            {"lower load is selected",
             [&](SelectorFixture &fixture) {
                 setLoads(fixture, 0, 1);
             },
             0.99,
             1.0},
            // Requests that the ingress has sent since the report count as load.
            {"own requests count",
             [&](SelectorFixture &fixture) {
                 setLoads(fixture, 0, 1);
                 fixture.table.rows[0].sentSinceReport = 9;
             },
             0.0,
             0.01},
            // Both local rows are full and the others idle: only the few draws of two local rows stay in the failure domain.
            {"full failure domain",
             [&](SelectorFixture &fixture) {
                 setLoads(fixture, 6, 0);
                 fixture.load(3, 6);
             },
             0.0,
             0.05},
            // A row whose report is older than 2 s counts as average, here 2/3 of a slot, so row 0 is not preferred.
            {"old report is unknown",
             [&](SelectorFixture &fixture) {
                 setLoads(fixture, 0, 2);
                 fixture.load(0, 0, TimePoint() - seconds(3));
             },
             0.40,
             0.60},
            // With a tenth of the weight, row 0 loses each comparison at equal load.
            {"slow start",
             [&](SelectorFixture &fixture) {
                 setLoads(fixture, 0, 0);
                 fixture.table.rows[0].weight = 0.1F;
             },
             0.0,
             0.1},
            // A row on trial is drawn by weight only: 0.05 of 1.05.
            {"trial",
             [&](SelectorFixture &fixture) {
                 setLoads(fixture, 0, 0);
                 fixture.table.rows[0].state = UpstreamState::Ejected;
                 fixture.table.rows[0].trial = true;
                 fixture.table.rows[0].weight = 0.05F;
             },
             0.03,
             0.06},
            {"ejected",
             [&](SelectorFixture &fixture) {
                 fixture.table.rows[0].state = UpstreamState::Ejected;
             },
             0.0,
             0.0},
            {"leaving",
             [&](SelectorFixture &fixture) {
                 fixture.table.rows[0].state = UpstreamState::Leaving;
             },
             0.0,
             0.0},
            {"unreachable",
             [&](SelectorFixture &fixture) {
                 fixture.table.rows[0].state = UpstreamState::Unreachable;
             },
             0.0,
             0.0},
        };
        for (const Row &row : rows) {
            SelectorFixture fixture;
            row.prepare(fixture);
            const double share = fixture.shares()[0];
            CPPUNIT_ASSERT_MESSAGE(std::string(row.name) + " " + std::to_string(share), share >= row.low && share <= row.high);
        }
    }

    /// Guards against the selection of excluded rows, trials with non-repeatable requests, a lost insist flag, and a selection
    /// when no upstream is left.
    void respectsExclusionsTrialsAndInsistence()
    {
        SelectorFixture fixture;
        fixture.table.rows[5].insist = true;
        const std::vector<std::uint32_t> exclude = {0, 1, 2, 3, 4};
        const auto last = fixture.selector.select(0, true, exclude, TimePoint());
        CPPUNIT_ASSERT(last && last->row == 5 && last->insist);
        for (ReportRow &row : fixture.table.rows) {
            row.state = UpstreamState::Ejected;
        }
        fixture.table.rows[2].trial = true;
        CPPUNIT_ASSERT(fixture.selector.select(0, true, {}, TimePoint())->trial);
        CPPUNIT_ASSERT(!fixture.selector.select(0, false, {}, TimePoint()));
    }

    /// Guards against wrong limits of rate and requests in flight: 100 requests arrive at intervals of 10 ms and each lasts
    /// `heldMilliseconds`; `admitted` of them are to be admitted.
    void limitsRateAndRequestsInFlight()
    {
        struct Row
        {
            std::uint32_t maxInFlight;
            double ratePerSecond;
            int heldMilliseconds;
            int admitted;
        };
        const Row rows[] = {
            {0, 0.0, 1000, 100}, // no limit
            {4, 0.0, 1000, 4},
            {4, 0.0, 35, 100}, // at most 4 in flight
            {0, 10.0, 1, 19}, // a burst of 10 and 9 more in 990 ms
            {0, 0.5, 1, 1},
        };
        for (const Row &row : rows) {
            AccountLimiter limiter;
            const AccountRow account{"a", "accounts", row.maxInFlight, row.ratePerSecond};
            std::vector<int> ends;
            int admitted = 0;
            for (int i = 0; i < 100; ++i) {
                std::erase_if(ends, [&](int end) {
                    if (end <= i * 10) {
                        limiter.finish("a");
                    }
                    return end <= i * 10;
                });
                const absl::Status status = limiter.admit(account, TimePoint() + milliseconds(i * 10));
                CPPUNIT_ASSERT(status.ok() || errorKindOf(status) == ErrorKind::AccountLimited);
                if (status.ok()) {
                    ++admitted;
                    ends.push_back((i * 10) + row.heldMilliseconds);
                }
                CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(ends.size()), limiter.inFlight("a"));
            }
            CPPUNIT_ASSERT_EQUAL(row.admitted, admitted);
        }
    }

    /// Guards against state that is never removed, and against an account that gets a new burst because its state is removed
    /// before its rate has recovered.
    void removesIdleAccounts()
    {
        AccountLimiter limiter;
        const AccountRow account{"a", "accounts", 0, 2.0};
        CPPUNIT_ASSERT(limiter.admit(account, TimePoint()).ok() && limiter.admit(account, TimePoint()).ok());
        limiter.finish("a");
        limiter.tick(TimePoint() + seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), limiter.size());
        limiter.finish("a");
        limiter.tick(TimePoint() + seconds(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), limiter.size());
        CPPUNIT_ASSERT(limiter.admit(account, TimePoint()).ok() && limiter.admit(account, TimePoint()).ok());
        limiter.finish("a");
        limiter.finish("a");
        limiter.tick(TimePoint() + milliseconds(900));
        CPPUNIT_ASSERT(!limiter.admit(account, TimePoint() + milliseconds(0)).ok() || limiter.size() == 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamSelectorTest);
