#include <galenarack/execution/executionledger.h>

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

using namespace Galenarack;

namespace {

constexpr Incarnation home{0xa1};
constexpr Incarnation previousHome{0xa0};
constexpr Incarnation ingress{0xb1};

TimePoint at(int seconds)
{
    return TimePoint(std::chrono::hours(1) + std::chrono::seconds(seconds));
}

/// Request in the test tables. Times are in seconds; a key of 0 stands for a request without a key.
struct Request
{
    std::uint64_t id = 1;
    std::uint64_t key = 0;
    int received = 0;
    int expiry = 10;
    std::uint64_t content = 1;
    Incarnation addressedTo = home;
    Incarnation keyHome = home;
    int issued = 0;

    operator LedgerRequest() const
    {
        LedgerRequest request{{ingress, this->id}, this->addressedTo, at(this->received), at(this->expiry), {0, this->content}, {}};
        if (this->key != 0) {
            request.key = IdempotencyKey{"vm-1", this->keyHome, at(this->issued), this->key};
        }
        return request;
    }

    WorkId work() const
    {
        const LedgerRequest request = *this;
        return request.key ? WorkId::of(*request.key) : WorkId::of(request.id);
    }
};

struct DecisionName
{
    std::string operator()(const LedgerDecision::Run &) const
    {
        return "run";
    }
    std::string operator()(const LedgerDecision::Join &) const
    {
        return "join";
    }
    std::string operator()(const LedgerDecision::Retained &retained) const
    {
        return retained.response->body;
    }
    std::string operator()(const LedgerDecision::Tombstoned &) const
    {
        return "tombstoned";
    }
    std::string operator()(const LedgerDecision::Refuse &refuse) const
    {
        return std::string(errorRow(refuse.kind).name);
    }
};

std::shared_ptr<const RetainedResponse> responseOf(std::string body)
{
    return std::make_shared<RetainedResponse>(RetainedResponse{200, {}, std::move(body)});
}

enum Operation {
    Admit,
    Query,
    Dispatch,
    Finish,
    FinishTruncated,
    Abandon,
    Count, ///< Expires entries and returns the number of those left.
};

struct Step
{
    int time; ///< Time of the operation, in seconds.
    Operation operation;
    Request request;
    std::string expected;
};

std::string perform(ExecutionLedger &ledger, const Step &step)
{
    const TimePoint now = at(step.time);
    const WorkId work = step.request.work();
    switch (step.operation) {
    case Admit:
        return std::visit(DecisionName(), ledger.admit(step.request, now));
    case Query:
        return std::visit(DecisionName(), ledger.queryOutcome(step.request, now));
    case Dispatch: {
        const auto refused = ledger.markDispatched(work, now);
        return refused ? std::string(errorRow(*refused).name) : "";
    }
    case Finish:
        ledger.finish(work, responseOf("body"), now);
        return "";
    case FinishTruncated:
        ledger.finish(work, ErrorKind::UpstreamAnswerCut, now);
        return "";
    case Abandon:
        ledger.abandon(work, now);
        return "";
    case Count:
        ledger.expire(now);
        return std::to_string(ledger.entryCount());
    }
    return "";
}

struct Scenario
{
    const char *guardsAgainst;
    std::vector<Step> steps;
    std::size_t maxEntries = 60'000;
};

const Request unkeyed{};
const Request keyed{.key = 5};

const std::vector<Scenario> scenarios = {
    {"a duplicate of a request that runs again",
     {{0, Admit, unkeyed, "run"},
      {1, Admit, unkeyed, "join"},
      {1, Dispatch, unkeyed, ""},
      {2, Admit, unkeyed, "join"},
      {3, Finish, unkeyed, ""},
      {4, Admit, unkeyed, "body"}}},
    {"a key that runs again through another ingress",
     {{0, Admit, keyed, "run"},
      {0, Dispatch, keyed, ""},
      {1, Admit, {.id = 2, .key = 5}, "join"},
      {2, Finish, keyed, ""},
      {9, Admit, {.id = 3, .key = 5, .received = 8, .expiry = 20}, "body"}}},
    {"a dropped response that is reported as not run",
     {{0, Admit, keyed, "run"},
      {0, Dispatch, keyed, ""},
      {1, Finish, keyed, ""},
      {60, Query, keyed, "body"},
      {61, Query, keyed, "answer-not-kept"},
      {299, Admit, keyed, "answer-not-kept"}}},
    {"a key that runs again after its entry was dropped",
     {{0, Admit, keyed, "run"},
      {0, Dispatch, keyed, ""},
      {1, Finish, keyed, ""},
      {299, Count, {}, "1"},
      {300, Admit, {.id = 2, .key = 5, .received = 300, .expiry = 310}, "key-expired"},
      {300, Query, keyed, "outcome-unknown"},
      {301, Count, {}, "0"}}},
    {"work that runs again after its response was truncated",
     {{0, Admit, keyed, "run"},
      {0, Dispatch, keyed, ""},
      {1, FinishTruncated, keyed, ""},
      {2, Admit, {.id = 2, .key = 5}, "upstream-answer-cut"}}},
    {"work that starts after its expiry",
     {{10, Admit, unkeyed, "deadline-passed"},
      {9, Admit, {.id = 2}, "run"},
      {10, Dispatch, {.id = 2}, "deadline-passed"},
      {10, Abandon, {.id = 2}, ""},
      {10, Admit, {.id = 2}, "tombstoned"}}},
    {"a duplicate that runs after its outcome was reported as not run",
     {{1, Query, unkeyed, "tombstoned"},
      {2, Admit, unkeyed, "tombstoned"},
      {3, Query, keyed, "tombstoned"},
      {4, Admit, keyed, "tombstoned"}}},
    {"an outcome of not run for work that is running or has ended",
     {{0, Admit, unkeyed, "run"},
      {1, Query, unkeyed, "join"},
      {1, Dispatch, unkeyed, ""},
      {2, Query, unkeyed, "join"},
      {3, Finish, unkeyed, ""},
      {4, Query, unkeyed, "body"}}},
    {"an outcome of not run when the entry may have been dropped already",
     {{0, Admit, unkeyed, "run"},
      {0, Dispatch, unkeyed, ""},
      {1, Finish, unkeyed, ""},
      {14, Query, unkeyed, "body"},
      {15, Query, unkeyed, "outcome-unknown"},
      {16, Count, {}, "0"}}},
    {"an entry dropped while its work runs",
     {{0, Admit, unkeyed, "run"},
      {0, Dispatch, unkeyed, ""},
      {400, Count, {}, "1"},
      {400, Query, unkeyed, "join"},
      {400, Finish, unkeyed, ""},
      {400, Count, {}, "0"}}},
    {"a duplicate that runs after a refusal before dispatch",
     {{0, Admit, unkeyed, "run"}, {1, Abandon, unkeyed, ""}, {2, Admit, unkeyed, "tombstoned"}, {2, Query, unkeyed, "tombstoned"}}},
    {"a key that stays unusable after a refusal before dispatch, or an earlier request with it that runs late",
     {{0, Admit, keyed, "run"},
      {4, Abandon, keyed, ""},
      {5, Admit, {.id = 2, .key = 5, .received = 4}, "tombstoned"},
      {6, Admit, {.id = 3, .key = 5, .received = 5}, "tombstoned"},
      {7, Admit, {.id = 4, .key = 5, .received = 7}, "run"}}},
    {"an earlier request that runs after the tombstone of a request with a shorter deadline",
     {{1, Admit, {.id = 2, .key = 5, .received = 1, .expiry = 2}, "run"}, {1, Abandon, keyed, ""}, {3, Admit, keyed, "tombstoned"}}},
    {"an earlier request that runs after one was refused at its deadline",
     {{5, Admit, {.id = 2, .key = 5, .received = 1, .expiry = 4}, "deadline-passed"}, {6, Admit, keyed, "tombstoned"}}},
    {"an earlier request that runs after one was refused as addressed to another incarnation",
     {{5, Admit, {.id = 2, .key = 5, .received = 5, .addressedTo = previousHome}, "stale-incarnation"}, {6, Admit, keyed, "tombstoned"}}},
    {"a duplicate of a refused request that runs once the ledger has room",
     {{0, Admit, unkeyed, "run"},
      {0, Admit, {.id = 2}, "ledger-full"},
      {0, Admit, {.id = 3, .key = 6}, "ledger-full"},
      {1, Admit, {.id = 4, .expiry = 20}, "ledger-full"},
      {1, Query, {.id = 5, .expiry = 20}, "tombstoned"},
      {16, Count, {}, "1"},
      {16, Abandon, unkeyed, ""},
      {17, Count, {}, "0"},
      {18, Admit, {.id = 4, .expiry = 20}, "tombstoned"},
      {18, Admit, {.id = 5, .expiry = 20}, "tombstoned"}},
     1},
    {"a full ledger that evicts an entry early",
     {{0, Admit, keyed, "run"},
      {0, Dispatch, keyed, ""},
      {1, Finish, keyed, ""},
      {290, Admit, {.id = 2, .received = 290, .expiry = 299}, "ledger-full"},
      {290, Admit, keyed, "answer-not-kept"}},
     1},
};

} // namespace

class ExecutionLedgerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ExecutionLedgerTest);
    CPPUNIT_TEST(returnsExpectedDecisions);
    CPPUNIT_TEST(refusesWithCorrectKind);
    CPPUNIT_TEST(limitsRetainedBytes);
    CPPUNIT_TEST(expiryWheelIsNeverEarly);
    CPPUNIT_TEST(tombstoneFilterHasNoFalseNegatives);
    CPPUNIT_TEST_SUITE_END();

public:
    void returnsExpectedDecisions()
    {
        for (const Scenario &scenario : scenarios) {
            LedgerLimits limits;
            limits.maxEntries = scenario.maxEntries;
            ExecutionLedger ledger(home, limits, at(0));
            for (const Step &step : scenario.steps) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    scenario.guardsAgainst + std::string(", at ") + std::to_string(step.time), step.expected, perform(ledger, step));
            }
        }
    }

    /// Guards against a refusal with an error kind that misstates whether the work ran.
    void refusesWithCorrectKind()
    {
        struct Row
        {
            Request request;
            const char *expected;
        };
        const Row rows[] = {
            {{.addressedTo = previousHome}, "stale-incarnation"},
            {{.key = 7, .addressedTo = previousHome}, "stale-incarnation"},
            {{.key = 7, .keyHome = previousHome}, "key-home-restarted"},
            {{.key = 7, .issued = -300}, "key-expired"},
            {{.key = 7, .issued = 2}, "key-not-issued"},
            {{.key = 8, .content = 2}, "key-conflict"},
            {{.key = 8, .expiry = -1, .addressedTo = previousHome}, "join"},
            {{.expiry = 0}, "deadline-passed"},
            {{.expiry = 61}, "internal"},
            {{.received = 2}, "internal"},
            {{.received = -1, .expiry = 59}, "run"},
        };
        for (const Row &row : rows) {
            ExecutionLedger ledger(home, {}, at(0));
            ledger.admit(Request{.key = 8}, at(0));
            CPPUNIT_ASSERT_EQUAL(std::string(row.expected), std::visit(DecisionName(), ledger.admit(row.request, at(0))));
        }
    }

    /// Guards against retained responses that exceed the limit, and against dropping the newest before older ones.
    void limitsRetainedBytes()
    {
        LedgerLimits limits;
        limits.maxResponseBytes = 10'000;
        ExecutionLedger ledger(home, limits, at(0));
        const std::size_t sizes[] = {4'000, 4'000, 4'000, 20'000};
        for (std::uint64_t id = 1; id <= std::size(sizes); ++id) {
            const Request request{.id = id};
            ledger.admit(request, at(0));
            CPPUNIT_ASSERT(!ledger.markDispatched(request.work(), at(0)));
            ledger.finish(request.work(), responseOf(std::string(sizes[id - 1], 'x')), at(0));
            CPPUNIT_ASSERT(ledger.responseByteCount() <= limits.maxResponseBytes);
        }
        const std::string kept(4'000, 'x');
        const std::string expected[] = {"answer-not-kept", kept, kept, "answer-not-kept"};
        for (std::uint64_t id = 1; id <= std::size(sizes); ++id) {
            CPPUNIT_ASSERT_EQUAL(expected[id - 1], std::visit(DecisionName(), ledger.queryOutcome(Request{.id = id}, at(1))));
        }
        ledger.expire(at(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), ledger.responseByteCount());
    }

    /// Guards against an index that becomes due early, or is never due after a pause longer than the wheel's span.
    void expiryWheelIsNeverEarly()
    {
        struct Row
        {
            int scheduledMs;
            int notDueMs;
            int dueMs;
        };
        const Row rows[] = {{0, -1, 0}, {15, 14, 20}, {20, 19, 20}, {1'000, 999, 1'000}, {999, 998, 100'000}, {5'000, 990, 1'010}};
        for (const Row &row : rows) {
            ExpiryWheel wheel(std::chrono::seconds(1), at(0));
            wheel.grow(1);
            wheel.schedule(0, at(0) + std::chrono::milliseconds(row.scheduledMs));
            CPPUNIT_ASSERT(!wheel.popDue(at(0) + std::chrono::milliseconds(row.notDueMs)));
            CPPUNIT_ASSERT(wheel.popDue(at(0) + std::chrono::milliseconds(row.dueMs)) == 0U);
            CPPUNIT_ASSERT(!wheel.popDue(at(1'000)));
        }
    }

    /// Guards against lost tombstones, and against a high rate of false positives.
    void tombstoneFilterHasNoFalseNegatives()
    {
        struct Row
        {
            int lifetime; ///< Lifetime of each addition, in seconds, at 10,000 additions per second.
            std::uint64_t maxFalsePositives;
        };
        constexpr std::uint64_t count = 300'000;
        constexpr std::uint64_t perSecond = 10'000;
        // The second row exceeds the capacity of both generations: false positives increase, but no tombstone may be lost.
        for (const Row &row : {Row{5, count / 1'000}, Row{20, count}}) {
            TombstoneFilter filter;
            std::uint64_t falsePositives = 0;
            for (std::uint64_t i = 0; i < count; ++i) {
                const int second = static_cast<int>(i / perSecond);
                const std::uint64_t oldest = i - std::min(i, (row.lifetime - 1) * perSecond);
                falsePositives += filter.mayContain({2, i, false}, at(second)) ? 1 : 0;
                filter.add({1, i, false}, at(second + row.lifetime), at(second));
                CPPUNIT_ASSERT(filter.mayContain({1, i, false}, at(second)) && filter.mayContain({1, oldest, false}, at(second)));
            }
            CPPUNIT_ASSERT(falsePositives <= row.maxFalsePositives);
            CPPUNIT_ASSERT(!filter.mayContain({1, count - 1, false}, at(100)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ExecutionLedgerTest);
