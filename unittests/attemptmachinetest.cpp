#include <galenarack/execution/attemptmachine.h>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

using namespace Galenarack;

namespace {

struct ActionName
{
    std::string operator()(const AttemptAction::Send &send) const
    {
        return "send " + std::to_string(send.attempt);
    }
    std::string operator()(const AttemptAction::QueryOutcome &query) const
    {
        const auto delay = std::chrono::duration_cast<std::chrono::milliseconds>(query.delay).count();
        return std::string(query.throughThirdNode ? "third " : "query ") + std::to_string(delay);
    }
    std::string operator()(const AttemptAction::Answer &) const
    {
        return "answer";
    }
    std::string operator()(const AttemptAction::Fail &fail) const
    {
        return std::string(errorRow(fail.kind).name);
    }
    std::string operator()(const AttemptAction::Ignore &) const
    {
        return "ignore";
    }
};

struct Step
{
    AttemptEvent::Any event;
    const char *expected;
};

struct Scenario
{
    const char *guardsAgainst;
    WorkKind work;
    std::vector<Step> steps; ///< Events after Started, with the expected actions.
    bool isBudgetExhausted = false;
};

const AttemptEvent::NotSent notSent;
const AttemptEvent::ConnectionLost connectionLost;
const AttemptEvent::Response response;
const AttemptEvent::BadResponse badResponse;
const AttemptEvent::OutcomeUnreachable outcomeUnreachable;
const AttemptEvent::DeadlineReached deadlineReached;
const AttemptEvent::DeadlineReached deadlineReachedUnsent{false};

AttemptEvent::Any refused(ErrorKind kind)
{
    return AttemptEvent::Refused{kind};
}

AttemptEvent::Any outcome(ErrorKind kind)
{
    return AttemptEvent::OutcomeReply{kind};
}

using enum ErrorKind;
constexpr WorkKind repeatable = WorkKind::Repeatable;
constexpr WorkKind nonRepeatable = WorkKind::NonRepeatable;
constexpr WorkKind keyed = WorkKind::Keyed;

const std::vector<Scenario> scenarios = {
    {"two answers to one caller", nonRepeatable, {{response, "answer"}, {response, "ignore"}, {deadlineReached, "ignore"}}},
    {"a lost repeatable request that is not retried", repeatable, {{connectionLost, "send 2"}, {response, "answer"}}},
    {"a retry storm", repeatable, {{connectionLost, "peer-lost"}}, true},
    {"a retry of a bad response without budget", repeatable, {{badResponse, "upstream-answer-invalid"}}, true},
    {"a retry of a shed request without budget", nonRepeatable, {{refused(UpstreamShedding), "upstream-shedding"}}, true},
    {"a refusal by the home that uses retry budget", nonRepeatable, {{refused(Overloaded), "send 2"}, {response, "answer"}}, true},
    {"an earlier uncertain attempt that is forgotten",
     repeatable,
     {{connectionLost, "send 2"}, {refused(Draining), "send 3"}, {notSent, "peer-lost"}}},
    {"an earlier uncertain attempt forgotten at the deadline",
     repeatable,
     {{connectionLost, "send 2"}, {deadlineReachedUnsent, "peer-lost"}}},
    {"more than three attempts",
     nonRepeatable,
     {{refused(LedgerFull), "send 2"}, {notSent, "send 3"}, {refused(Overloaded), "overloaded"}}},
    {"a retry of a request that no home can accept", nonRepeatable, {{refused(InvalidRequest), "invalid-request"}}},
    {"non-repeatable work sent to another home after an uncertain outcome",
     nonRepeatable,
     {{connectionLost, "query 0"}, {outcome(OutcomeUnknown), "outcome-unknown"}}},
    {"non-repeatable work repeated after a truncated response", nonRepeatable, {{refused(UpstreamAnswerCut), "upstream-answer-cut"}}},
    {"a proof of not run that does not lead to a retry",
     nonRepeatable,
     {{connectionLost, "query 0"}, {outcome(Tombstoned), "send 2"}, {response, "answer"}}},
    {"a retained response that is not fetched after a bad response",
     nonRepeatable,
     {{badResponse, "query 0"}, {badResponse, "third 0"}, {response, "answer"}}},
    {"an outcome that is queried on one path only or without limit",
     nonRepeatable,
     {{connectionLost, "query 0"},
      {outcomeUnreachable, "third 0"},
      {outcomeUnreachable, "query 100"},
      {outcomeUnreachable, "third 200"},
      {outcomeUnreachable, "query 400"},
      {outcomeUnreachable, "third 800"},
      {outcomeUnreachable, "query 1000"},
      {outcomeUnreachable, "third 1000"},
      {outcomeUnreachable, "peer-lost"}}},
    {"a claim of not run at the deadline of a sent request", nonRepeatable, {{deadlineReached, "timeout"}}},
    {"an uncertain outcome at the deadline of an unsent request", nonRepeatable, {{deadlineReachedUnsent, "deadline-passed"}}},
    {"a claim of not run while the outcome is queried", nonRepeatable, {{connectionLost, "query 0"}, {deadlineReachedUnsent, "timeout"}}},
    {"a third node's own refusal taken for the home's reply",
     nonRepeatable,
     {{connectionLost, "query 0"}, {outcomeUnreachable, "third 0"}, {outcome(NotReady), "query 100"}}},
    {"an uncertain send error handled as not sent", nonRepeatable, {{AttemptEvent::NotSent{Internal}, "query 0"}}},
    {"a finished execution without retained response reported as unknown",
     nonRepeatable,
     {{connectionLost, "query 0"}, {outcome(AnswerNotKept), "answer-not-kept"}}},
    {"a key sent to another home", keyed, {{refused(Overloaded), "overloaded"}}},
    {"a key sent to another home after its tombstone", keyed, {{connectionLost, "query 0"}, {outcome(Tombstoned), "tombstoned"}}},
    {"a claim of not run about earlier requests with the key", keyed, {{notSent, "key-home-unreachable"}}},
    {"a claim of not run about earlier requests with the key, at the deadline", keyed, {{deadlineReachedUnsent, "timeout"}}},
    {"a restarted home reported as not run", keyed, {{refused(KeyHomeRestarted), "key-home-restarted"}}},
};

} // namespace

class AttemptMachineTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AttemptMachineTest);
    CPPUNIT_TEST(returnsExpectedActions);
    CPPUNIT_TEST_SUITE_END();

public:
    void returnsExpectedActions()
    {
        for (const Scenario &scenario : scenarios) {
            RetryBudget budget;
            while (!scenario.isBudgetExhausted && !budget.tryHedge()) {
                budget.onFirstAttempt();
            }
            while (scenario.isBudgetExhausted && budget.tryRetry()) { }
            AttemptMachine machine(scenario.work, budget);
            const auto first = std::visit(ActionName(), machine.on(AttemptEvent::Started()));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(scenario.guardsAgainst, std::string("send 1"), first);
            for (const Step &step : scenario.steps) {
                const auto action = std::visit(ActionName(), machine.on(step.event));
                CPPUNIT_ASSERT_EQUAL_MESSAGE(scenario.guardsAgainst, std::string(step.expected), action);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptMachineTest);
