#include "support/configjudge.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <numeric>
#include <random>
#include <set>
#include <sstream>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr unsigned defaultNodeCount = 9;
constexpr unsigned defaultRoundCount = 6;

/// Routes that every version has; half of them move between the services.
constexpr unsigned movingRouteCount = 6;
/// Added routes that are kept before the oldest is dropped.
constexpr std::size_t addedRouteCount = 4;
/// Dropped routes to which callers still send requests.
constexpr std::size_t droppedRouteCount = 3;

constexpr unsigned callersPerNode = 3;
constexpr auto callerPause = 60ms;
constexpr auto requestDeadline = 2500ms;
/// Pause between the versions of a series.
constexpr auto seriesPause = 330ms;
/// Delay of the data on slow paths, one way.
constexpr auto slowPathDelay = 120ms;

using Clock = ConfigJudge::Clock;

enum class Fault : std::uint8_t {
    RegistrySilent,
    RegistryLosesReplies,
    RegistryLate,
    RegistryAlmostLate,
    WatchesCut,
    RegistryRejects,
    RegistryOverloaded,
    HistoryLost,
    RegistryUnreachable,
    RegistryPathsReset,
    RegistryPathsSilent, ///< Open connections to the registry go silent for good, new ones work.
    PathsSlow, ///< Data to the registry, to other nodes and to upstreams is delayed.
    PeerPathsSilent,
    NodesFrozen,
    NodesKilled,
    NodesStopped,
    UpstreamsDrain,
};
constexpr unsigned faultCount = 17;
constexpr const char *faultNames[] = {"registry silent",
                                      "registry loses replies",
                                      "registry 3 s late",
                                      "registry 240 ms late",
                                      "watches cut",
                                      "registry rejects",
                                      "registry overloaded",
                                      "history lost",
                                      "registry unreachable",
                                      "registry paths reset",
                                      "registry connections silent",
                                      "paths slow",
                                      "peer paths silent",
                                      "nodes frozen",
                                      "nodes killed",
                                      "nodes stopped",
                                      "upstreams drain"};

/// Value of an environment variable as a number, or a default.
unsigned numberFromEnvironment(const char *name, unsigned otherwise)
{
    const char *text = std::getenv(name);
    return text == nullptr ? otherwise : static_cast<unsigned>(std::stoul(text));
}

/// @return the numbers in an environment variable such as "1 2 3", or a default
std::vector<unsigned> numbersFromEnvironment(const char *name, std::vector<unsigned> otherwise)
{
    const char *text = std::getenv(name);
    if (text == nullptr) {
        return otherwise;
    }
    std::vector<unsigned> list;
    std::istringstream words(text);
    for (unsigned number = 0; words >> number;) {
        list.push_back(number);
    }
    return list;
}

/// @return the faults of a run: those in GALENARACK_SOAK_FAULTS, numbered as in Fault, or all
std::vector<unsigned> faults()
{
    std::vector<unsigned> all(faultCount);
    std::iota(all.begin(), all.end(), 0U);
    return numbersFromEnvironment("GALENARACK_SOAK_FAULTS", all);
}

/// One run of a fleet whose configuration changes all the time, beside faults of the registry, the nodes and the upstreams.
class ConfigSoakRun
{
public:
    ConfigSoakRun(unsigned seed, unsigned nodeCount, unsigned roundCount)
        : seed(seed)
        , faultRandom(seed)
        , versionRandom(seed)
        , callerRandom(seed)
        , nodeCount(nodeCount)
        , roundCount(roundCount)
        , fleet(nodeCount)
        , starts(nodeCount, 0)
        , lastDisturbed(nodeCount)
    {
        this->publishNext();
        for (unsigned node = 0; node < nodeCount; ++node) {
            this->startNode(node);
        }
        for (unsigned node = 0; node < nodeCount; ++node) {
            this->check(this->fleet.waitUntilReady(node), "node " + std::to_string(node) + " is not ready");
        }
    }

    /// @return violations found, one string each
    std::vector<std::string> run()
    {
        for (unsigned node = 0; node < this->nodeCount; ++node) {
            for (unsigned caller = 0; caller < callersPerNode; ++caller) {
                this->startCaller(node, caller == 0);
            }
        }
        this->spawn([this]() -> asio::awaitable<void> {
            co_await this->publishVersions();
        });
        this->spawn([this]() -> asio::awaitable<void> {
            co_await this->restartEndedNodes();
        });
        this->fleet.runFor(4s);
        for (unsigned round = 0; round < this->roundCount; ++round) {
            this->playRound();
        }
        this->stopping = true;
        while (this->tasks > 0) {
            this->fleet.runFor(20ms);
        }
        this->checkRuns();
        std::cout << "\nseed " << this->seed << ": " << this->statuses.size() << " requests, " << this->judge.judgedCount()
                  << " judged, violations " << this->violations.size() << std::endl;
        return this->violations;
    }

private:
    template<typename Task>
    void spawn(Task task)
    {
        ++this->tasks;
        asio::co_spawn(
            this->fleet.context,
            [this, task = std::move(task)]() -> asio::awaitable<void> {
                co_await task();
                --this->tasks;
            },
            asio::detached);
    }

    void check(bool holds, const std::string &what)
    {
        if (!holds) {
            this->violations.push_back(what);
        }
    }

    static unsigned randomBelow(std::mt19937 &random, unsigned bound)
    {
        return std::uniform_int_distribution<unsigned>(0, bound - 1)(random);
    }

    static std::chrono::milliseconds randomTime(std::mt19937 &random, std::chrono::milliseconds from, std::chrono::milliseconds to)
    {
        return from + std::chrono::milliseconds(randomBelow(random, static_cast<unsigned>((to - from).count()) + 1));
    }

    void startNode(unsigned node)
    {
        this->fleet.startNode(node);
        ++this->starts[node];
        this->lastDisturbed[node] = Clock::now();
        this->leaving.erase(node);
    }

    /// Starts the processes that have ended again, as the platform does.
    asio::awaitable<void> restartEndedNodes()
    {
        asio::steady_timer timer(this->fleet.context);
        while (!this->stopping) {
            for (unsigned node = 0; node < this->nodeCount; ++node) {
                if (!this->fleet.processes[node]->isRunning()) {
                    this->startNode(node);
                }
            }
            co_await StandIns::sleepFor(timer, 50ms);
        }
    }

    /// Publishes a version that moves two routes to the other service, adds one and drops one.
    void publishNext()
    {
        for (unsigned i = 0; i < 2; ++i) {
            const unsigned route = randomBelow(this->versionRandom, movingRouteCount);
            this->isMoved[route] = !this->isMoved[route];
        }
        this->added.push_back("/added-" + std::to_string(this->nextAdded++) + "/");
        if (this->added.size() > addedRouteCount) {
            this->dropped.push_back(this->added.front());
            this->added.erase(this->added.begin());
            if (this->dropped.size() > droppedRouteCount) {
                this->dropped.erase(this->dropped.begin());
            }
        }
        std::vector<ConfiguredRoute> routes = {{"/read/", {"back"}, true}, {"/write/", {"back"}, false}};
        for (unsigned route = 0; route < movingRouteCount; ++route) {
            const std::string service = this->isMoved[route] ? "front" : "back";
            routes.push_back({"/move-" + std::to_string(route) + "/", {service}, route % 2 == 0});
        }
        for (const std::string &prefix : this->added) {
            routes.push_back({prefix, {"front"}, true});
        }
        const bool isSplit = randomBelow(this->versionRandom, 2) == 0;
        routes.push_back({"/split/", isSplit ? std::vector<std::string>{"front", "back"} : std::vector<std::string>{"front"}, true});
        this->fleet.publishRoutes(routes);
        this->judge.addVersion(routes, Clock::now());
    }

    /// Publishes versions, one at a time or in a series.
    asio::awaitable<void> publishVersions()
    {
        asio::steady_timer timer(this->fleet.context);
        while (!this->stopping) {
            const unsigned length = randomBelow(this->versionRandom, 3) == 0 ? 2 + randomBelow(this->versionRandom, 4) : 1;
            for (unsigned i = 0; i < length; ++i) {
                this->publishNext();
                co_await StandIns::sleepFor(timer, seriesPause);
            }
            co_await StandIns::sleepFor(timer, randomTime(this->versionRandom, 200ms, 3000ms));
        }
    }

    std::string randomPrefix()
    {
        switch (randomBelow(this->callerRandom, 7)) {
        case 0:
            return randomBelow(this->callerRandom, 2) == 0 ? "/read/" : "/write/";
        case 5:
            return "/split/";
        case 1:
        case 2:
            return "/move-" + std::to_string(randomBelow(this->callerRandom, movingRouteCount)) + "/";
        case 3:
        case 4:
            return this->added[this->added.size() - 1 - randomBelow(this->callerRandom, std::min<unsigned>(2, this->added.size()))];
        default:
            return this->dropped.empty() || randomBelow(this->callerRandom, 4) == 0
                       ? "/never/"
                       : this->dropped[randomBelow(this->callerRandom, static_cast<unsigned>(this->dropped.size()))];
        }
    }

    bool isInTouch(unsigned node, Clock::time_point now) const
    {
        return !this->disturbed.contains(node) && !this->leaving.contains(node) && !this->registryDisturbed
               && now - this->lastDisturbed[node] >= ConfigJudge::settleTime && now - this->lastRegistryFault >= ConfigJudge::settleTime;
    }

    /// Starts a caller that sends one request after the other until the run ends, on open connections or on new ones.
    void startCaller(unsigned node, bool opensNew)
    {
        this->spawn([this, node, opensNew]() -> asio::awaitable<void> {
            StandIns::HttpClient kept(this->fleet.context, this->fleet.callerAddress(node, true));
            asio::steady_timer timer(this->fleet.context);
            while (!this->stopping) {
                if (opensNew) {
                    StandIns::HttpClient single(this->fleet.context, this->fleet.callerAddress(node, true));
                    co_await this->sendOne(single, node);
                } else {
                    co_await this->sendOne(kept, node);
                }
                co_await StandIns::sleepFor(timer, callerPause);
            }
        });
    }

    asio::awaitable<void> sendOne(StandIns::HttpClient &client, unsigned node)
    {
        ConfigJudge::Observation seen;
        seen.id = "r" + std::to_string(this->nextId++);
        seen.node = node;
        seen.nodeStarts = this->starts[node];
        seen.prefix = this->randomPrefix();
        seen.sent = Clock::now();
        seen.isInTouch = this->isInTouch(node, seen.sent);
        const bool isIdempotent = this->isIdempotent(seen.prefix);
        const CallResult result
            = co_await this->fleet.sendThrough(client, isIdempotent ? "GET" : "POST", seen.prefix + "x", seen.id, requestDeadline);
        seen.ended = Clock::now();
        seen.status = result.status;
        for (unsigned upstream = 0; upstream < this->nodeCount; ++upstream) {
            if (this->fleet.upstreams[upstream]->runs.contains(seen.id)) {
                seen.services.push_back(PlatformFleet::serviceOf(upstream));
            }
        }
        this->statuses[seen.id] = {isIdempotent, result.status};
        if (seen.nodeStarts == this->starts[node]) {
            if (const auto violation = this->judge.judge(seen)) {
                this->violations.push_back(*violation + "; " + this->ageText(seen.sent - this->lastRegistryFault)
                                           + " after the last fault of the registry (" + this->lastFault + ")");
            }
        }
    }

    static std::string ageText(Clock::duration age)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count()) + " ms";
    }

    bool isIdempotent(const std::string &prefix) const
    {
        return prefix != "/write/" && !(prefix.starts_with("/move-") && (prefix[6] - '0') % 2 == 1);
    }

    /// Plays one fault, or two that overlap, and a quiet time after it that begins with a change at times.
    void playRound()
    {
        this->setUpstreamFaults();
        std::set<unsigned> nodes;
        const bool isEverywhere = randomBelow(this->faultRandom, 2) == 0;
        for (unsigned i = 0; i < (isEverywhere ? this->nodeCount : 3); ++i) {
            nodes.insert(isEverywhere ? i : randomBelow(this->faultRandom, this->nodeCount));
        }
        const std::vector<unsigned> kinds = faults();
        const auto fault = static_cast<Fault>(kinds[randomBelow(this->faultRandom, static_cast<unsigned>(kinds.size()))]);
        const auto second = static_cast<Fault>(kinds[randomBelow(this->faultRandom, static_cast<unsigned>(kinds.size()))]);
        const bool hasSecond = randomBelow(this->faultRandom, 4) == 0;
        this->lastFault = faultNames[static_cast<unsigned>(fault)];
        if (hasSecond) {
            this->lastFault += std::string(" and ") + faultNames[static_cast<unsigned>(second)];
        }
        this->begin(fault, nodes);
        if (hasSecond) {
            this->fleet.runFor(300ms);
            this->begin(second, nodes);
        }
        this->fleet.runFor(randomTime(this->faultRandom, 1500ms, 6000ms));
        this->endFaults();
        if (randomBelow(this->faultRandom, 2) == 0) {
            this->fleet.runFor(randomTime(this->faultRandom, 0ms, 900ms));
            this->publishNext();
        }
        this->fleet.runFor(randomTime(this->faultRandom, 4000ms, 8000ms));
    }

    /// Some upstreams reject first arrivals, send copies of answers or lose the connection after a run.
    void setUpstreamFaults()
    {
        for (const auto &upstream : this->fleet.upstreams) {
            upstream->behaviour = UpstreamBehaviour();
            upstream->behaviour.processingTime = std::chrono::milliseconds(10 + randomBelow(this->faultRandom, 60));
            const unsigned kind = randomBelow(this->faultRandom, 8);
            upstream->behaviour.rejectsFirstArrivals = kind < 3;
            upstream->behaviour.repeatsRejections = kind < 2;
            upstream->behaviour.repeatsResponses = kind == 3;
            upstream->behaviour.dropsResponses = kind == 4;
        }
    }

    void begin(Fault fault, const std::set<unsigned> &nodes)
    {
        if (fault < Fault::PathsSlow) {
            this->registryDisturbed = true;
        } else {
            this->disturbed.insert(nodes.begin(), nodes.end());
        }
        RegistryStandIn &registry = this->fleet.registry;
        switch (fault) {
        case Fault::RegistrySilent:
            registry.setSilent(true);
            break;
        case Fault::RegistryLosesReplies:
            registry.setLostShare(0.35);
            break;
        case Fault::RegistryLate:
            registry.setReplyDelay(3s);
            break;
        case Fault::RegistryAlmostLate:
            registry.setReplyDelay(240ms);
            break;
        case Fault::WatchesCut:
            registry.cutWatches();
            break;
        case Fault::RegistryRejects:
            registry.setRejection(503);
            break;
        case Fault::RegistryOverloaded:
            registry.setRejection(429);
            break;
        case Fault::HistoryLost:
            registry.forgetHistory();
            break;
        case Fault::RegistryUnreachable:
            registry.setReachable(false);
            break;
        default:
            for (const unsigned node : nodes) {
                this->beginAt(fault, node);
            }
            break;
        }
    }

    void beginAt(Fault fault, unsigned node)
    {
        StandIns::PathFault silent;
        silent.forwardSilent = true;
        silent.backwardSilent = true;
        switch (fault) {
        case Fault::RegistryPathsReset:
            this->fleet.resetPath(node, PlatformFleet::Path::Registry);
            break;
        case Fault::RegistryPathsSilent:
            this->fleet.setPathFault(node, PlatformFleet::Path::Registry, silent, true);
            break;
        case Fault::PathsSlow:
            for (const auto path : {PlatformFleet::Path::Registry, PlatformFleet::Path::Peers, PlatformFleet::Path::Upstream}) {
                this->fleet.setPathFault(node, path, {.delay = slowPathDelay}, false);
            }
            break;
        case Fault::PeerPathsSilent:
            this->fleet.setPathFault(node, PlatformFleet::Path::Peers, silent, false);
            break;
        case Fault::NodesFrozen:
            this->fleet.processes[node]->signal(SIGSTOP);
            break;
        case Fault::NodesKilled:
            this->fleet.processes[node]->kill();
            this->startNode(node);
            break;
        case Fault::UpstreamsDrain:
            this->fleet.publishEntry(node, "draining");
            break;
        case Fault::NodesStopped:
            this->fleet.processes[node]->signal(SIGTERM);
            this->leaving.insert(node);
            break;
        default:
            break;
        }
    }

    void endFaults()
    {
        RegistryStandIn &registry = this->fleet.registry;
        registry.setSilent(false);
        registry.setLostShare(0);
        registry.setReplyDelay(0ms);
        registry.setRejection(0);
        registry.setReachable(true);
        const auto now = Clock::now();
        for (const unsigned node : this->disturbed) {
            this->fleet.processes[node]->signal(SIGCONT);
            for (const auto path : {PlatformFleet::Path::Registry, PlatformFleet::Path::Peers, PlatformFleet::Path::Upstream}) {
                this->fleet.setPathFault(node, path, {}, false);
            }
            this->fleet.publishEntry(node, "ready");
            this->lastDisturbed[node] = now;
        }
        this->disturbed.clear();
        if (this->registryDisturbed) {
            this->registryDisturbed = false;
            this->lastRegistryFault = now;
        }
    }

    void checkRuns()
    {
        for (const auto &[id, request] : this->statuses) {
            const unsigned runs = this->fleet.runCount(id);
            const auto &[isIdempotent, status] = request;
            const bool isPromise = status == 503 || status == 429 || status == 408 || status == 421;
            this->check(isIdempotent || runs <= 1, "TWICE: " + id + " ran " + std::to_string(runs) + " times");
            this->check(isIdempotent || !isPromise || runs == 0, "REFUSED: " + id + " was answered " + std::to_string(status) + " and ran");
        }
    }

    unsigned seed;
    std::mt19937 faultRandom; ///< Chooses the faults, so that their sequence depends on the seed only.
    std::mt19937 versionRandom;
    std::mt19937 callerRandom;
    unsigned nodeCount;
    unsigned roundCount;
    PlatformFleet fleet;
    ConfigJudge judge;
    std::vector<std::string> violations;
    std::map<std::string, std::pair<bool, unsigned>> statuses; ///< Idempotence and status of the requests that have ended.
    bool isMoved[movingRouteCount] = {}; ///< Whether a route leads to `front`.
    std::vector<std::string> added; ///< Added routes in force, the oldest first.
    std::vector<std::string> dropped; ///< Routes dropped last.
    unsigned nextAdded = 0;
    std::vector<unsigned> starts; ///< Number of starts of each node's process.
    std::vector<Clock::time_point> lastDisturbed; ///< End of the last fault of each node.
    std::set<unsigned> disturbed; ///< Nodes with a fault.
    std::set<unsigned> leaving; ///< Nodes whose process was asked to stop and has not ended.
    bool registryDisturbed = false;
    Clock::time_point lastRegistryFault; ///< End of the last fault of the registry.
    std::string lastFault = "none";
    unsigned nextId = 0;
    unsigned tasks = 0; ///< Number of callers and writers in progress.
    bool stopping = false;
};

/// @return seeds to run: those in GALENARACK_SOAK_SEEDS, or the regression seeds
std::vector<unsigned> seeds()
{
    // Regression seeds. A seed that has failed is added with a comment on the cause and never removed.
    // 206: CONFIG and DENIED with watches whose lost replies are noticed too late (2942ea6) or after 28 s, REFUSED and TWICE with copies
    // of rejections that are taken for the next response.
    return numbersFromEnvironment("GALENARACK_SOAK_SEEDS", {206});
}

} // namespace

class ConfigSoakTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigSoakTest);
    CPPUNIT_TEST(followsConfigurationUnderFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against nodes that act on an old configuration for too long after a fault, answer 404 on a route that is there, go back
    /// to an older version, run refused work or run work twice, while versions follow each other. GALENARACK_SOAK_DAEMON names
    /// another build of the node, GALENARACK_SOAK_NODES and GALENARACK_SOAK_ROUNDS the size of a run.
    void followsConfigurationUnderFaults()
    {
        std::string text;
        for (const unsigned seed : seeds()) {
            const std::vector<std::string> violations = ConfigSoakRun(seed,
                                                                      numberFromEnvironment("GALENARACK_SOAK_NODES", defaultNodeCount),
                                                                      numberFromEnvironment("GALENARACK_SOAK_ROUNDS", defaultRoundCount))
                                                            .run();
            std::map<std::string, unsigned> counts;
            for (const std::string &violation : violations) {
                const std::string rule = violation.substr(0, violation.find(':'));
                if (++counts[rule] <= 3) {
                    text += "\nseed " + std::to_string(seed) + ": " + violation;
                }
            }
            for (const auto &[rule, count] : counts) {
                text += "\nseed " + std::to_string(seed) + ": " + std::to_string(count) + " x " + rule;
            }
        }
        CPPUNIT_ASSERT_MESSAGE(text, text.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigSoakTest);
