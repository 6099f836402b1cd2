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
    CPPUNIT_TEST(sharesByTable);
    CPPUNIT_TEST(selectsOnlyWhatIsLeft);
    CPPUNIT_TEST(limitsAccountsByTable);
    CPPUNIT_TEST(limiterForgetsIdleAccounts);
    CPPUNIT_TEST_SUITE_END();

    /// Six upstreams, two in each failure domain; this ingress is in the domain of 0 and 3.
    struct Bench
    {
        Bench()
        {
            Document document;
            document.services.push_back({"service", "services", TrustProfile::Claims, {}, 64});
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
    /// Guards the share that row 0 gets, by situation; the expected interval follows from the rule in the comment.
    void sharesByTable()
    {
        struct Row
        {
            const char *name;
            std::function<void(Bench &)> prepare;
            double low;
            double high;
        };
        const auto setLoads = [](Bench &bench, std::uint32_t first, std::uint32_t others) {
            for (std::uint32_t i = 0; i < 6; ++i) {
                bench.load(i, i == 0 ? first : others);
            }
        };
        const Row rows[] = {
            // Own failure domain has room: both local rows alike, half each.
            {"local rows share",
             [&](Bench &bench) {
                 setLoads(bench, 0, 0);
             },
             0.48,
             0.52},
            // The less loaded of the two local rows always wins.
            {"less work wins",
             [&](Bench &bench) {
                 setLoads(bench, 0, 1);
             },
             0.99,
             1.0},
            // Requests sent since the report count.
            {"own requests count",
             [&](Bench &bench) {
                 setLoads(bench, 0, 1);
                 bench.table.rows[0].sentSinceReport = 9;
             },
             0.0,
             0.01},
            // Both local rows are full and the others idle: only the few draws of two local rows stay.
            {"full domain spills",
             [&](Bench &bench) {
                 setLoads(bench, 6, 0);
                 bench.load(3, 6);
             },
             0.0,
             0.05},
            // Reports older than 2 s count as average, here 2/3 of a slot each, and so do not prefer row 0.
            {"old report is unknown",
             [&](Bench &bench) {
                 setLoads(bench, 0, 2);
                 bench.load(0, 0, TimePoint() - seconds(3));
             },
             0.40,
             0.60},
            // A tenth of the weight never beats an equal load, and is drawn against itself at most.
            {"slow start",
             [&](Bench &bench) {
                 setLoads(bench, 0, 0);
                 bench.table.rows[0].weight = 0.1F;
             },
             0.0,
             0.1},
            // A trial is drawn by weight only: 0.05 of 1.05.
            {"trial",
             [&](Bench &bench) {
                 setLoads(bench, 0, 0);
                 bench.table.rows[0].state = UpstreamState::Ejected;
                 bench.table.rows[0].trial = true;
                 bench.table.rows[0].weight = 0.05F;
             },
             0.03,
             0.06},
            {"ejected",
             [&](Bench &bench) {
                 bench.table.rows[0].state = UpstreamState::Ejected;
             },
             0.0,
             0.0},
            {"leaving",
             [&](Bench &bench) {
                 bench.table.rows[0].state = UpstreamState::Leaving;
             },
             0.0,
             0.0},
            {"unreachable",
             [&](Bench &bench) {
                 bench.table.rows[0].state = UpstreamState::Unreachable;
             },
             0.0,
             0.0},
        };
        for (const Row &row : rows) {
            Bench bench;
            row.prepare(bench);
            const double share = bench.shares()[0];
            CPPUNIT_ASSERT_MESSAGE(std::string(row.name) + " " + std::to_string(share), share >= row.low && share <= row.high);
        }
    }

    /// Guards exclusion, trials for non-repeatable work, insistence and an empty service.
    void selectsOnlyWhatIsLeft()
    {
        Bench bench;
        bench.table.rows[5].insist = true;
        const std::vector<std::uint32_t> exclude = {0, 1, 2, 3, 4};
        const auto last = bench.selector.select(0, true, exclude, TimePoint());
        CPPUNIT_ASSERT(last && last->row == 5 && last->insist);
        for (ReportRow &row : bench.table.rows) {
            row.state = UpstreamState::Ejected;
        }
        bench.table.rows[2].trial = true;
        CPPUNIT_ASSERT(bench.selector.select(0, true, {}, TimePoint())->trial);
        CPPUNIT_ASSERT(!bench.selector.select(0, false, {}, TimePoint()));
    }

    /// Guards rate and requests in flight: admitted of 100 requests, one each 10 ms, each lasting `heldMilliseconds`.
    void limitsAccountsByTable()
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
            {4, 0.0, 35, 100}, // never more than 4 at once
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

    /// Guards memory, and against an account that regains its burst by being forgotten early.
    void limiterForgetsIdleAccounts()
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
