#include "support/noticejudge.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <functional>
#include <set>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr unsigned nodeCount = 8;
constexpr auto requestTimeout = 2500ms;

/// A fleet with callers at every node, whose requests and answers are recorded for the judge.
class NoticeFleet
{
public:
    using Clock = NoticeJudge::Clock;

    NoticeFleet()
        : fleet(nodeCount)
    {
        for (unsigned upstream = 0; upstream < nodeCount; ++upstream) {
            this->fleet.upstreams[upstream]->startTimeMs = StandIns::unixMilliseconds() - 60'000;
            this->fleet.publishEntry(upstream, "ready");
        }
        CPPUNIT_ASSERT(this->fleet.startAll());
    }

    ~NoticeFleet()
    {
        this->stopCallers();
    }

    NoticeFleet(const NoticeFleet &) = delete;
    NoticeFleet &operator=(const NoticeFleet &) = delete;

    /// Starts callers that send a request, wait for the answer and pause, until stopCallers().
    void startCallers(unsigned perNode, std::chrono::milliseconds pause)
    {
        for (unsigned node = 0; node < nodeCount; ++node) {
            for (unsigned caller = 0; caller < perNode; ++caller) {
                ++this->callers;
                asio::co_spawn(
                    this->fleet.context,
                    [this, node, caller, pause]() -> asio::awaitable<void> {
                        asio::steady_timer timer(this->fleet.context);
                        while (!this->stopping) {
                            co_await this->sendOne(node, caller % 2 == 0);
                            co_await StandIns::sleepFor(timer, pause);
                        }
                        --this->callers;
                    },
                    asio::detached);
            }
        }
    }

    void stopCallers()
    {
        this->stopping = true;
        while (this->callers > 0) {
            this->fleet.runFor(20ms);
        }
    }

    asio::awaitable<void> sendOne(unsigned node, bool isIdempotent)
    {
        const std::string id = "n" + std::to_string(this->nextId++);
        this->judge.onSent(id, node, Clock::now());
        const CallResult result
            = co_await this->fleet.send(node, isIdempotent ? "GET" : "POST", isIdempotent ? "/read/x" : "/write/x", id, requestTimeout);
        this->hasPassedOnNotice = this->hasPassedOnNotice || result.hasNotice;
        this->statuses[result.status] += 1;
        for (unsigned upstream = 0; upstream < nodeCount; ++upstream) {
            const PlatformUpstream &record = *this->fleet.upstreams[upstream];
            if (const auto notice = record.notices.find(id); notice != record.notices.end() && result.seal == "seal-" + record.id) {
                this->judge.onPassedOn(node, upstream, notice->second, Clock::now());
            }
        }
    }

    void killAndStart(unsigned node)
    {
        this->judge.onDisturbed(node, NoticeJudge::Disturbance::RestartOrFreeze, Clock::now());
        this->fleet.processes[node]->kill();
        this->fleet.startNode(node);
    }

    /// @return requests that have reached an upstream so far
    std::size_t arrivals(unsigned upstream) const
    {
        return this->fleet.upstreams[upstream]->arrivals.size();
    }

    std::string violationText() const
    {
        std::string text;
        for (const std::string &violation : this->judge.violations(this->fleet.upstreams)) {
            text += "\n" + violation;
        }
        return text;
    }

    PlatformFleet fleet;
    NoticeJudge judge;
    std::map<unsigned, unsigned> statuses; ///< Number of answers by status.
    bool hasPassedOnNotice = false;

private:
    unsigned nextId = 0;
    unsigned callers = 0;
    bool stopping = false;
};

} // namespace

/// What nodes do with what upstreams say of themselves in their answers.
class NoticeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(NoticeTest);
    CPPUNIT_TEST(limitedUpstreamGetsNoMoreThanItTakes);
    CPPUNIT_TEST(malformedLimitIsNoLimit);
    CPPUNIT_TEST(endedLimitIsNoticed);
    CPPUNIT_TEST(healthCheckOfAnotherUpstreamEndsNoLimit);
    CPPUNIT_TEST(rejectsAtOnceWhenNoLimitHasRoom);
    CPPUNIT_TEST(leavingUpstreamGetsNoNewRequests);
    CPPUNIT_TEST(upstreamThatStartsAgainIsUsed);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an upstream that gets more requests than the limit allows that it names, whatever its home, the other nodes and
    /// the limit itself do meanwhile.
    void limitedUpstreamGetsNoMoreThanItTakes()
    {
        const struct
        {
            const char *name;
            const char *limit;
            std::function<void(NoticeFleet &, unsigned upstream)> disturb; ///< Called 4 s after the limit was named.
        } table[] = {
            {"steady", "2.5", [](NoticeFleet &, unsigned) {}},
            {"home killed",
             "2",
             [](NoticeFleet &fleet, unsigned upstream) {
                 fleet.killAndStart(upstream);
             }},
            {"limit falls",
             "8",
             [](NoticeFleet &fleet, unsigned upstream) {
                 fleet.fleet.upstreams[upstream]->behaviour.limits = {"1"};
             }},
            {"below one a second", "0.8", [](NoticeFleet &, unsigned) {}},
            {"limit falls to 0",
             "3",
             [](NoticeFleet &fleet, unsigned upstream) {
                 fleet.fleet.upstreams[upstream]->behaviour.limits = {"0"};
             }},
            {"rejects and loses answers",
             "2",
             [](NoticeFleet &fleet, unsigned upstream) {
                 fleet.fleet.upstreams[upstream]->behaviour.rejectsFirstArrivals = true;
             }},
        };
        // Three rows at a time, each on an upstream of its own; the fourth upstream has no limit.
        constexpr std::size_t rowsAtOnce = 3;
        for (std::size_t first = 0; first < std::size(table); first += rowsAtOnce) {
            NoticeFleet fleet;
            const std::vector<unsigned> upstreams = fleet.fleet.backNodes();
            for (std::size_t i = 0; i < rowsAtOnce; ++i) {
                fleet.fleet.upstreams[upstreams[i]]->behaviour.limits = {table[first + i].limit};
            }
            fleet.startCallers(4, 40ms);
            fleet.fleet.runFor(4s);
            for (std::size_t i = 0; i < rowsAtOnce; ++i) {
                table[first + i].disturb(fleet, upstreams[i]);
            }
            fleet.fleet.runFor(6s);
            fleet.stopCallers();
            const std::string violations = fleet.violationText();
            std::string names;
            for (std::size_t i = 0; i < rowsAtOnce; ++i) {
                names += std::string(i == 0 ? "" : ", ") + fleet.fleet.upstreams[upstreams[i]]->id + ": " + table[first + i].name;
            }
            CPPUNIT_ASSERT_MESSAGE(names, fleet.judge.limitedCount() > 0);
            CPPUNIT_ASSERT_MESSAGE(names + violations, violations.empty());
            CPPUNIT_ASSERT_MESSAGE(names, !fleet.hasPassedOnNotice);
        }
    }

    /// Guards against an upstream that gets nothing, or a node that ends, because of a limit that is no number.
    void malformedLimitIsNoLimit()
    {
        const struct
        {
            const char *name;
            std::vector<std::string> limits;
        } table[] = {{"word", {"few"}},
                     {"negative", {"-3"}},
                     {"huge", {"99999999999999999999999999999999999999"}},
                     {"not a number", {"nan"}},
                     {"exponent", {"1e-9"}},
                     {"empty", {""}},
                     {"two values", {"0", "50"}}};
        NoticeFleet fleet;
        const unsigned odd = fleet.fleet.backNodes().front();
        fleet.startCallers(2, 40ms);
        for (const auto &row : table) {
            fleet.fleet.upstreams[odd]->behaviour.limits = row.limits;
            fleet.fleet.runFor(600ms);
            const std::size_t before = fleet.arrivals(odd);
            fleet.fleet.runFor(1s);
            CPPUNIT_ASSERT_MESSAGE(row.name + std::string(": ") + std::to_string(fleet.arrivals(odd) - before),
                                   fleet.arrivals(odd) - before >= 15);
            CPPUNIT_ASSERT_MESSAGE(row.name, fleet.fleet.processes[odd]->isRunning());
        }
    }

    /// Guards against an upstream that stays without requests after its limit has ended or risen, also when it took none at all.
    void endedLimitIsNoticed()
    {
        const struct
        {
            const char *name;
            const char *limit;
            std::vector<std::string> next; ///< Limits afterwards.
        } table[] = {{"ends", "1", {}}, {"0 ends", "0", {}}, {"0 rises", "0", {"100"}}, {"tiny ends", "0.01", {}}};
        // All rows at once, each on an upstream of its own.
        NoticeFleet fleet;
        const std::vector<unsigned> upstreams = fleet.fleet.backNodes();
        CPPUNIT_ASSERT_EQUAL(std::size(table), upstreams.size());
        const auto setLimits = [&](auto limitsOf) {
            for (std::size_t i = 0; i < upstreams.size(); ++i) {
                fleet.fleet.upstreams[upstreams[i]]->behaviour.limits = limitsOf(table[i]);
            }
        };
        setLimits([](const auto &row) {
            return std::vector<std::string>{row.limit};
        });
        fleet.startCallers(4, 40ms);
        fleet.fleet.runFor(5s);
        setLimits([](const auto &row) {
            return row.next;
        });
        fleet.fleet.runFor(4s);
        std::vector<std::size_t> before;
        before.reserve(upstreams.size());
        for (const unsigned upstream : upstreams) {
            before.push_back(fleet.arrivals(upstream));
        }
        fleet.fleet.runFor(1s);
        fleet.stopCallers();
        for (std::size_t i = 0; i < upstreams.size(); ++i) {
            const std::size_t count = fleet.arrivals(upstreams[i]) - before[i];
            CPPUNIT_ASSERT_MESSAGE(table[i].name + std::string(": ") + std::to_string(count), count >= 15);
        }
        const std::string violations = fleet.violationText();
        CPPUNIT_ASSERT_MESSAGE(violations, violations.empty());
    }

    /// Guards against a limit that is taken for ended because another upstream has answered at the address.
    void healthCheckOfAnotherUpstreamEndsNoLimit()
    {
        NoticeFleet fleet;
        const unsigned limited = fleet.fleet.backNodes().front();
        PlatformUpstream &upstream = *fleet.fleet.upstreams[limited];
        upstream.behaviour.limits = {"0"};
        upstream.behaviour.isReplacedInHealthChecks = true;
        fleet.startCallers(2, 40ms);
        fleet.fleet.runFor(2s);
        const std::size_t before = fleet.arrivals(limited);
        fleet.fleet.runFor(5s);
        fleet.stopCallers();
        CPPUNIT_ASSERT(upstream.probeCount > 0);
        CPPUNIT_ASSERT_EQUAL(before, fleet.arrivals(limited));
    }

    /// Guards against requests that wait until their deadline although no upstream can take them in time, and against a Retry-After
    /// that says nothing of the limits.
    void rejectsAtOnceWhenNoLimitHasRoom()
    {
        NoticeFleet fleet;
        for (const unsigned upstream : fleet.fleet.backNodes()) {
            fleet.fleet.upstreams[upstream]->behaviour.limits = {"0.2"};
        }
        // Names the limits and takes what they allow at first.
        fleet.startCallers(2, 40ms);
        fleet.fleet.runFor(5s);
        fleet.stopCallers();
        unsigned refused = 0;
        for (unsigned i = 0; i < 20; ++i) {
            const auto start = std::chrono::steady_clock::now();
            const CallResult result = fleet.fleet.sendAndWait(i % nodeCount, "POST", "/write/x", "late" + std::to_string(i));
            const auto took = std::chrono::steady_clock::now() - start;
            if (result.status != 503) {
                continue;
            }
            ++refused;
            CPPUNIT_ASSERT(took < 300ms);
            // Each limit has room once in 5 s, for higher priorities first.
            const double retryAfter = result.retryAfter.empty() ? 0 : std::stod(result.retryAfter);
            CPPUNIT_ASSERT_MESSAGE(result.retryAfter, retryAfter > 0.2 && retryAfter <= 30);
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(refused), refused >= 10);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("answers without a promise", 0U, fleet.statuses[504] + fleet.statuses[502]);
    }

    /// Guards against requests to an upstream that has said in an answer that it leaves, whatever the registry says and whatever
    /// happens to its home.
    void leavingUpstreamGetsNoNewRequests()
    {
        const struct
        {
            const char *name;
            std::function<void(NoticeFleet &, unsigned upstream)> disturb; ///< Called 1 s after the upstream began to leave.
        } table[] = {
            {"entry stays ready", [](NoticeFleet &, unsigned) {}},
            {"entry is written again",
             [](NoticeFleet &fleet, unsigned upstream) {
                 fleet.fleet.publishEntry(upstream, "ready");
             }},
            {"entry is removed and comes back",
             [](NoticeFleet &fleet, unsigned upstream) {
                 fleet.fleet.registry.remove("servers/" + fleet.fleet.upstreams[upstream]->id);
                 fleet.fleet.runFor(1s);
                 fleet.fleet.publishEntry(upstream, "ready");
             }},
            {"home killed",
             [](NoticeFleet &fleet, unsigned upstream) {
                 fleet.killAndStart(upstream);
             }},
            {"silent registry, rejects",
             [](NoticeFleet &fleet, unsigned upstream) {
                 fleet.fleet.registry.setSilent(true);
                 fleet.fleet.upstreams[upstream]->behaviour.rejectsFirstArrivals = true;
             }},
        };
        // Three rows at a time, each on an upstream of its own; the fourth upstream stays.
        constexpr std::size_t rowsAtOnce = 3;
        for (std::size_t first = 0; first < std::size(table); first += rowsAtOnce) {
            NoticeFleet fleet;
            const std::vector<unsigned> upstreams = fleet.fleet.backNodes();
            const std::size_t rows = std::min(rowsAtOnce, std::size(table) - first);
            fleet.startCallers(4, 40ms);
            fleet.fleet.runFor(1s);
            for (std::size_t i = 0; i < rows; ++i) {
                fleet.fleet.upstreams[upstreams[i]]->behaviour.saysLeaving = true;
            }
            fleet.fleet.runFor(1s);
            for (std::size_t i = 0; i < rows; ++i) {
                table[first + i].disturb(fleet, upstreams[i]);
            }
            fleet.fleet.runFor(5s);
            fleet.stopCallers();
            std::string names;
            for (std::size_t i = 0; i < rows; ++i) {
                names += std::string(i == 0 ? "" : ", ") + fleet.fleet.upstreams[upstreams[i]]->id + ": " + table[first + i].name;
            }
            const std::string violations = fleet.violationText();
            CPPUNIT_ASSERT_MESSAGE(names + violations, violations.empty());
            CPPUNIT_ASSERT_MESSAGE(names, !fleet.hasPassedOnNotice);
        }
    }

    /// Guards against an upstream that stays without requests after it has left and started again under its id, also when the registry
    /// did not answer meanwhile, and when the home was frozen.
    void upstreamThatStartsAgainIsUsed()
    {
        NoticeFleet fleet;
        const std::vector<unsigned> upstreams = fleet.fleet.backNodes();
        fleet.startCallers(4, 40ms);
        fleet.fleet.runFor(500ms);
        for (const unsigned upstream : {upstreams[0], upstreams[1]}) {
            fleet.fleet.upstreams[upstream]->behaviour.saysLeaving = true;
        }
        fleet.fleet.runFor(1s);
        fleet.fleet.registry.setSilent(true);
        fleet.fleet.processes[upstreams[1]]->signal(SIGSTOP);
        fleet.fleet.runFor(2s);
        for (const unsigned upstream : {upstreams[0], upstreams[1]}) {
            fleet.fleet.upstreams[upstream]->behaviour.saysLeaving = false;
            fleet.fleet.upstreams[upstream]->startTimeMs = StandIns::unixMilliseconds();
            fleet.fleet.publishEntry(upstream, "ready");
        }
        fleet.fleet.runFor(1s);
        fleet.fleet.processes[upstreams[1]]->signal(SIGCONT);
        fleet.fleet.registry.setSilent(false);
        fleet.fleet.runFor(4s);
        const std::size_t before[] = {fleet.arrivals(upstreams[0]), fleet.arrivals(upstreams[1])};
        fleet.fleet.runFor(1s);
        fleet.stopCallers();
        for (std::size_t i = 0; i < std::size(before); ++i) {
            CPPUNIT_ASSERT_MESSAGE(std::to_string(i), fleet.arrivals(upstreams[i]) - before[i] >= 15);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NoticeTest);
