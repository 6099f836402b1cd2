#include "support/platformfleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <cstdlib>
#include <random>
#include <set>
#include <sstream>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr unsigned nodeCount = 6;
constexpr auto stepCount = 24;
constexpr auto stepDuration = 250ms;

/// Bounds of the platform's sites for a leaving upstream and for a new configuration.
constexpr auto maxDrainDelay = 2000ms;
constexpr auto maxConfigDelay = 2000ms;

/// Promises that callers and upstreams have seen broken, one line each.
struct ViolationRecorder
{
    std::vector<std::string> violations;

    void check(bool holds, const std::string &what)
    {
        if (!holds) {
            this->violations.push_back(what);
        }
    }
};

/// A fleet under random faults, and the callers that watch it.
class SoakRun
{
public:
    explicit SoakRun(unsigned seed)
        : random(seed)
        , fleet(nodeCount)
    {
        for (unsigned node = 0; node < nodeCount; ++node) {
            this->fleet.startNode(node);
        }
        for (unsigned node = 0; node < nodeCount; ++node) {
            this->recorder.check(this->fleet.waitUntilReady(node), "node " + std::to_string(node) + " is not ready");
        }
    }

    /// Plays the faults, ends them, and checks what must hold.
    std::vector<std::string> run()
    {
        for (int step = 0; step < stepCount; ++step) {
            this->injectFault();
            for (unsigned i = 0; i < 6; ++i) {
                this->sendRandomRequest();
            }
            this->fleet.runFor(stepDuration);
        }
        this->clearAllFaults();
        this->waitForResponses();
        this->checkRuns();
        this->checkRecovery();
        this->checkLeavingUpstream();
        this->checkNewConfig();
        this->checkPlannedStop();
        return this->recorder.violations;
    }

private:
    struct CompletedRequest
    {
        bool idempotent = false;
        CallResult result;
    };

    unsigned randomBelow(unsigned bound)
    {
        return std::uniform_int_distribution<unsigned>(0, bound - 1)(this->random);
    }

    void sendRandomRequest()
    {
        const unsigned node = this->randomBelow(nodeCount);
        const bool idempotent = this->randomBelow(2) == 0;
        const std::string id = "q" + std::to_string(this->nextId++);
        ++this->pendingCount;
        asio::co_spawn(
            this->fleet.context,
            [this, node, idempotent, id]() -> asio::awaitable<void> {
                CallResult result = co_await this->fleet.send(
                    node, idempotent ? "GET" : "POST", idempotent ? "/read/x" : "/write/x", id, std::chrono::milliseconds(2500));
                this->completedRequests[id] = CompletedRequest{idempotent, std::move(result)};
                --this->pendingCount;
            },
            asio::detached);
    }

    void injectFault()
    {
        const unsigned node = this->randomBelow(nodeCount);
        const auto process = this->fleet.processes[node].get();
        switch (this->randomBelow(13)) {
        case 0:
            process->kill();
            this->pausedNodes.erase(node);
            this->fleet.startNode(node);
            break;
        case 1:
            process->signal(SIGTERM);
            break;
        case 2:
            process->signal(SIGSTOP);
            this->pausedNodes.insert(node);
            break;
        case 3:
            this->fleet.registry.setReachable(this->randomBelow(2) == 0);
            break;
        case 4:
            this->fleet.upstreams[node]->behaviour.status = this->randomBelow(2) == 0 ? 500 : 200;
            break;
        case 5:
            this->fleet.upstreams[node]->behaviour.rejects = this->randomBelow(2) == 0;
            break;
        case 6:
            this->fleet.upstreams[node]->behaviour.dropsResponses = this->randomBelow(2) == 0;
            break;
        case 7:
            this->fleet.upstreams[node]->behaviour.processingTime = std::chrono::milliseconds(10 + this->randomBelow(600));
            break;
        case 8:
        case 9:
            this->injectPathFault(node);
            break;
        case 10:
            this->fleet.publishConfig("/read/");
            break;
        case 11:
            this->fleet.publishEntry(node, this->randomBelow(2) == 0 ? "draining" : "ready");
            break;
        default:
            this->resumePausedNodes();
            break;
        }
        this->restartExitedNodes();
    }

    /// Delays, resets, silences or cuts one way a path of a node, or ends such a fault.
    void injectPathFault(unsigned node)
    {
        const auto path = static_cast<PlatformFleet::Path>(this->randomBelow(PlatformFleet::pathCount));
        const bool existingOnly = this->randomBelow(2) == 0;
        StandIns::PathFault fault;
        switch (this->randomBelow(5)) {
        case 0:
            fault.delay = std::chrono::milliseconds(5 + this->randomBelow(150));
            break;
        case 1:
            fault.forwardSilent = true;
            fault.backwardSilent = true;
            break;
        case 2:
            fault.forwardSilent = this->randomBelow(2) == 0;
            fault.backwardSilent = !fault.forwardSilent;
            break;
        case 3:
            this->fleet.resetPath(node, path);
            return;
        default:
            break;
        }
        this->fleet.setPathFault(node, path, fault, existingOnly);
    }

    void clearPathFaults()
    {
        for (unsigned node = 0; node < nodeCount; ++node) {
            for (unsigned path = 0; path < PlatformFleet::pathCount; ++path) {
                this->fleet.setPathFault(node, static_cast<PlatformFleet::Path>(path), {}, false);
            }
        }
    }

    void resumePausedNodes()
    {
        for (const unsigned node : this->pausedNodes) {
            this->fleet.processes[node]->signal(SIGCONT);
        }
        this->pausedNodes.clear();
    }

    /// As the platform does, a process that has ended is started again.
    void restartExitedNodes()
    {
        for (unsigned node = 0; node < nodeCount; ++node) {
            if (!this->fleet.processes[node]->isRunning()) {
                this->fleet.startNode(node);
            }
        }
    }

    void clearAllFaults()
    {
        this->resumePausedNodes();
        this->clearPathFaults();
        this->fleet.registry.setReachable(true);
        for (unsigned node = 0; node < nodeCount; ++node) {
            this->fleet.publishEntry(node, "ready");
        }
        for (const auto &upstream : this->fleet.upstreams) {
            upstream->behaviour = UpstreamBehaviour();
        }
        // Processes that were told to end may take their whole grace time.
        for (int i = 0; i < 35; ++i) {
            this->fleet.runFor(200ms);
            this->restartExitedNodes();
        }
    }

    void checkRuns()
    {
        for (const auto &[id, request] : this->completedRequests) {
            const unsigned runs = this->fleet.runCount(id);
            const CallResult &result = request.result;
            this->recorder.check(request.idempotent || runs <= 1, id + " is not idempotent and ran " + std::to_string(runs) + " times");
            const bool reportedNotRun = result.status == 503 || result.status == 429 || result.status == 408 || result.status == 421;
            this->recorder.check(request.idempotent || !reportedNotRun || runs == 0, id + " was reported as not run and ran");
            if (result.status == 200) {
                this->recorder.check(result.isSigned && result.echoedId == id && result.body == "ran " + id, id + " got another response");
                this->recorder.check(runs >= 1, id + " was answered without a run");
            }
            this->recorder.check(result.status != 404, id + " was denied");
        }
    }

    /// Sends requests to all nodes by turns and waits for their ends; they replace the ones before.
    void sendRandomRequests(int count)
    {
        this->completedRequests.clear();
        for (int i = 0; i < count; ++i) {
            this->sendRandomRequest();
            this->fleet.runFor(30ms);
        }
        this->waitForResponses();
    }

    void waitForResponses()
    {
        while (this->pendingCount > 0) {
            this->fleet.runFor(20ms);
        }
    }

    /// An upstream that is leaving gets no work after the time that the platform allows.
    void checkLeavingUpstream()
    {
        const unsigned node = this->fleet.backNodes().front();
        this->fleet.publishEntry(node, "draining");
        this->fleet.runFor(maxDrainDelay);
        const std::size_t before = this->fleet.upstreams[node]->runs.size();
        this->sendRandomRequests(20);
        this->recorder.check(this->fleet.upstreams[node]->runs.size() == before, "a leaving upstream gets work");
        this->fleet.publishEntry(node, "ready");
    }

    /// A configuration is in force at all nodes after the time that the platform allows, and the one before it is not.
    void checkNewConfig()
    {
        this->fleet.publishConfig("/read-next/");
        this->fleet.runFor(maxConfigDelay);
        this->sendRandomRequests(20);
        for (const auto &[id, request] : this->completedRequests) {
            this->recorder.check(!request.idempotent || request.result.status == 404, id + " was served on a route that was removed");
        }
        this->fleet.publishConfig("/read/");
        this->fleet.runFor(maxConfigDelay);
        this->sendRandomRequests(20);
        for (const auto &[id, request] : this->completedRequests) {
            this->recorder.check(request.result.status != 404, id + " was denied on a route that was added");
        }
    }

    /// A node that is told to stop loses none of the requests that it has read.
    void checkPlannedStop()
    {
        this->completedRequests.clear();
        for (unsigned i = 0; i < 4 * nodeCount; ++i) {
            this->sendRandomRequest();
        }
        this->fleet.runFor(10ms);
        const unsigned node = this->randomBelow(nodeCount);
        this->fleet.processes[node]->signal(SIGTERM);
        this->waitForResponses();
        for (const auto &[id, request] : this->completedRequests) {
            this->recorder.check(request.result.end == StandIns::ExchangeEnd::Complete, id + " was lost at a planned stop");
        }
    }

    void checkRecovery()
    {
        for (unsigned node = 0; node < nodeCount; ++node) {
            this->recorder.check(this->fleet.waitUntilReady(node), "node " + std::to_string(node) + " does not recover");
        }
        this->sendRandomRequests(30);
        unsigned served = 0;
        for (const auto &[id, request] : this->completedRequests) {
            served += request.result.status == 200 ? 1 : 0;
        }
        this->recorder.check(served >= 27, "after the faults only " + std::to_string(served) + " of 30 requests are served");
    }

    std::mt19937 random;
    PlatformFleet fleet;
    ViolationRecorder recorder;
    std::map<std::string, CompletedRequest> completedRequests; ///< Requests that have ended.
    std::set<unsigned> pausedNodes; ///< Nodes that are paused.
    unsigned pendingCount = 0;
    unsigned nextId = 0;
};

/// @return the seeds to play: those of GALENARACK_SOAK_SEEDS ("1 2 3"), or the regression cases
std::vector<unsigned> seeds()
{
    // Each seed that has ever failed stays here, with a line on the cause.
    std::vector<unsigned> list = {1, 2};
    if (const char *text = std::getenv("GALENARACK_SOAK_SEEDS")) {
        list.clear();
        std::istringstream words(text);
        for (unsigned seed = 0; words >> seed;) {
            list.push_back(seed);
        }
    }
    return list;
}

} // namespace

class SoakTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SoakTest);
    CPPUNIT_TEST(keepsGuaranteesUnderFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Real processes that are killed, stopped, paused and restarted, paths that are slow, silent, cut one way or reset, a store
    /// that goes away, and upstreams that fail or leave, in random order. Guards against work that runs twice, refusals that are not true,
    /// responses of another request, and a fleet that does not recover.
    void keepsGuaranteesUnderFaults()
    {
        for (const unsigned seed : seeds()) {
            const std::vector<std::string> violations = SoakRun(seed).run();
            std::string text;
            for (const std::string &line : violations) {
                text += line + "; ";
            }
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + text, violations.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakTest);
