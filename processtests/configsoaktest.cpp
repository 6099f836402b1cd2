#include "support/configjudge.h"
#include "support/noticejudge.h"

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
constexpr unsigned fullRoundCount = 4;

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
    RegistryRestored, ///< The registry is away for a moment and comes back from a copy that is some seconds old.
};
/// Faults of the runs without restores.
constexpr unsigned plainFaultCount = 17;
constexpr unsigned faultCount = 18;
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
                                      "upstreams drain",
                                      "registry restored"};

/// What a run plays beside the faults of the registry, the nodes and the upstreams.
enum class Extent : std::uint8_t {
    Plain, ///< Nothing else.
    Full, ///< Also restores of the registry, and upstreams that name limits, leave, and are removed.
};

/// Restores are chosen so much more often than other faults.
constexpr std::size_t extraRestores = 4;
/// Longest time until what a restore has lost is written again.
constexpr auto rewriteTime = 1800ms;
/// Pause between the writes of the upstreams, so that a restore loses many revisions.
constexpr auto heartbeatPause = 150ms;
/// At the end of a full run no upstream names a limit or leaves. First there is more work than slots, so that all upstreams are needed,
/// then little, which must be served.
constexpr auto busyTime = 6s;
constexpr auto busyProcessingTime = 500ms;
constexpr auto settledTime = 3s;
constexpr auto servingTime = 3s;

/// Limits that upstreams name, most of them far below what they get.
constexpr const char *limitValues[] = {"0", "0.3", "0.8", "1.5", "3", "6", "12", "40", "-1", "few", "1e9"};

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
std::vector<unsigned> faults(Extent extent)
{
    std::vector<unsigned> all(extent == Extent::Full ? faultCount : plainFaultCount);
    std::iota(all.begin(), all.end(), 0U);
    if (extent == Extent::Full) {
        all.insert(all.end(), extraRestores, static_cast<unsigned>(Fault::RegistryRestored));
    }
    return numbersFromEnvironment("GALENARACK_SOAK_FAULTS", all);
}

/// One run of a fleet whose configuration changes all the time, beside faults of the registry, the nodes and the upstreams.
class ConfigSoakRun
{
public:
    ConfigSoakRun(Extent extent, unsigned seed, unsigned nodeCount, unsigned roundCount)
        : extent(extent)
        , seed(seed)
        , faultRandom(seed)
        , versionRandom(seed)
        , callerRandom(seed)
        , noticeRandom(seed)
        , nodeCount(nodeCount)
        , roundCount(roundCount)
        , fleet(nodeCount)
        , starts(nodeCount, 0)
        , lastDisturbed(nodeCount)
    {
        if (extent == Extent::Full) {
            for (unsigned upstream = 0; upstream < nodeCount; ++upstream) {
                this->fleet.upstreams[upstream]->startTimeMs = StandIns::unixMilliseconds() - 60'000;
                this->fleet.publishEntry(upstream, "ready");
            }
        }
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
                this->startCaller(node, caller == 0, this->stopping);
            }
        }
        this->spawn([this]() -> asio::awaitable<void> {
            co_await this->publishVersions();
        });
        this->spawn([this]() -> asio::awaitable<void> {
            co_await this->restartEndedNodes();
        });
        if (this->extent == Extent::Full) {
            this->spawn([this]() -> asio::awaitable<void> {
                co_await this->writeHeartbeats();
            });
        }
        this->fleet.runFor(4s);
        for (unsigned round = 0; round < this->roundCount; ++round) {
            this->playRound();
        }
        if (this->extent == Extent::Full) {
            this->checkRecovery();
        }
        this->stopping = true;
        while (this->tasks > 0) {
            this->fleet.runFor(20ms);
        }
        this->checkRuns();
        this->checkNotices();
        std::cout << "\nseed " << this->seed << ": " << this->statuses.size() << " requests, " << this->judge.judgedCount() << " judged, "
                  << this->noticeJudge.limitedCount() << " at limited upstreams, " << this->withdrawnCount
                  << " withdrawals judged, violations " << this->violations.size() << std::endl;
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
        this->noticeJudge.onDisturbed(node, NoticeJudge::Disturbance::RestartOrFreeze, Clock::now());
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

    /// Starts a caller that sends one request after the other until `ending` is set, on open connections or on new ones.
    void startCaller(unsigned node, bool opensNew, const bool &ending)
    {
        this->spawn([this, node, opensNew, &ending]() -> asio::awaitable<void> {
            StandIns::HttpClient kept(this->fleet.context, this->fleet.callerAddress(node, true));
            asio::steady_timer timer(this->fleet.context);
            while (!ending) {
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
        this->noticeJudge.onSent(seen.id, node, seen.sent);
        this->sentInTouch[seen.id] = {node, seen.sent, seen.isInTouch};
        const bool isIdempotent = this->isIdempotent(seen.prefix);
        const CallResult result
            = co_await this->fleet.sendThrough(client, isIdempotent ? "GET" : "POST", seen.prefix + "x", seen.id, requestDeadline);
        seen.ended = Clock::now();
        seen.status = result.status;
        this->recordNotices(seen, result);
        for (unsigned upstream = 0; upstream < this->nodeCount; ++upstream) {
            if (this->fleet.upstreams[upstream]->runs.contains(seen.id)) {
                seen.services.push_back(PlatformFleet::serviceOf(upstream));
            }
        }
        this->statuses[seen.id] = {isIdempotent, result.status};
        // These routes are in every version.
        const bool isLasting
            = seen.prefix == "/read/" || seen.prefix == "/write/" || seen.prefix == "/split/" || seen.prefix.starts_with("/move-");
        this->servedCount += isLasting && result.status == 200 ? 1 : 0;
        this->failedCount += isLasting && result.status != 200 ? 1 : 0;
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
        const std::vector<unsigned> kinds = faults(this->extent);
        const auto fault = static_cast<Fault>(kinds[randomBelow(this->faultRandom, static_cast<unsigned>(kinds.size()))]);
        const auto second = static_cast<Fault>(kinds[randomBelow(this->faultRandom, static_cast<unsigned>(kinds.size()))]);
        const bool hasSecond = randomBelow(this->faultRandom, 4) == 0;
        this->lastFault = faultNames[static_cast<unsigned>(fault)];
        if (hasSecond) {
            this->lastFault += std::string(" and ") + faultNames[static_cast<unsigned>(second)];
        }
        if (this->extent == Extent::Full) {
            this->setNotices();
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
        if (this->extent == Extent::Full) {
            this->playCalm();
        } else {
            this->fleet.runFor(randomTime(this->faultRandom, 4000ms, 8000ms));
        }
    }

    /// Lets the registry and the nodes settle, then withdraws the entries of some upstreams, as draining or removed, and writes them
    /// again later.
    void playCalm()
    {
        this->fleet.runFor(ConfigJudge::settleTime + 200ms);
        std::vector<unsigned> withdrawn;
        for (unsigned upstream = 0; upstream < this->nodeCount; ++upstream) {
            if (randomBelow(this->noticeRandom, 4) == 0) {
                withdrawn.push_back(upstream);
                this->withdraw(upstream, randomBelow(this->noticeRandom, 2) == 0);
            }
        }
        this->fleet.runFor(randomTime(this->noticeRandom, 3000ms, 5000ms));
        // Some come back only after the next fault, so that a restore may lose their withdrawal.
        for (const unsigned upstream : withdrawn) {
            if (randomBelow(this->noticeRandom, 2) == 0) {
                this->returnToService(upstream);
            }
        }
    }

    /// Writes the entry of an upstream as draining, or removes it, while it goes on serving.
    void withdraw(unsigned upstream, bool isRemoval)
    {
        this->withdrawals[upstream] = {Clock::now(), isRemoval};
        this->writeEntry(upstream);
    }

    void returnToService(unsigned upstream)
    {
        if (this->withdrawals.contains(upstream)) {
            this->endWithdrawal(upstream);
            this->fleet.upstreams[upstream]->restart();
            this->writeEntry(upstream);
        }
    }

    /// Judges the requests that have reached a withdrawn upstream: those that were sent and taken on by nodes in touch.
    void endWithdrawal(unsigned upstream)
    {
        const Withdrawal withdrawal = this->withdrawals[upstream];
        this->withdrawnCount += Clock::now() > withdrawal.at + NoticeJudge::drainTime ? 1 : 0;
        const auto &arrivals = this->fleet.upstreams[upstream]->arrivals;
        for (auto arrival = arrivals.rbegin(); arrival != arrivals.rend() && arrival->at > withdrawal.at; ++arrival) {
            const auto request = this->sentInTouch.find(arrival->requestId);
            if (request == this->sentInTouch.end() || !request->second.isInTouch || arrival->at <= withdrawal.at + NoticeJudge::drainTime) {
                continue;
            }
            const bool isHomeInTouch = !this->disturbed.contains(upstream) && !this->leaving.contains(upstream)
                                       && this->lastDisturbed[upstream] + ConfigJudge::settleTime <= request->second.at;
            this->check(!isHomeInTouch,
                        "DRAIN: " + arrival->requestId + " of node " + std::to_string(request->second.node) + " reached upstream "
                            + std::to_string(upstream) + " " + ageText(arrival->at - withdrawal.at) + " after it was "
                            + (withdrawal.isRemoval ? "removed" : "draining"));
        }
        this->withdrawals.erase(upstream);
    }

    /// Writes the entry of an upstream as the upstream is now.
    void writeEntry(unsigned upstream)
    {
        const auto withdrawal = this->withdrawals.find(upstream);
        if (withdrawal != this->withdrawals.end() && withdrawal->second.isRemoval) {
            this->fleet.registry.remove("servers/" + this->fleet.upstreams[upstream]->id);
        } else {
            this->fleet.publishEntry(upstream, withdrawal != this->withdrawals.end() ? "draining" : "ready");
        }
    }

    /// Writes the entries of the upstreams one after the other, but no removed one.
    asio::awaitable<void> writeHeartbeats()
    {
        asio::steady_timer timer(this->fleet.context);
        for (unsigned upstream = 0; !this->stopping; upstream = (upstream + 1) % this->nodeCount) {
            const auto withdrawal = this->withdrawals.find(upstream);
            const bool isRemoved = withdrawal != this->withdrawals.end() && withdrawal->second.isRemoval;
            if (!isRemoved && !this->registryAway) {
                this->writeEntry(upstream);
            }
            co_await StandIns::sleepFor(timer, heartbeatPause);
        }
    }

    /// Changes the limits that upstreams name; lets some say that they leave, and starts those again that have said so.
    void setNotices()
    {
        for (unsigned upstream = 0; upstream < this->nodeCount; ++upstream) {
            PlatformUpstream &server = *this->fleet.upstreams[upstream];
            if (server.behaviour.saysLeaving) {
                server.behaviour.saysLeaving = false;
                server.restart();
                this->writeEntry(upstream);
            }
            const unsigned kind = randomBelow(this->noticeRandom, 10);
            if (kind < 4) {
                server.behaviour.limits = {limitValues[randomBelow(this->noticeRandom, std::size(limitValues))]};
            } else if (kind < 7) {
                server.behaviour.limits.clear();
            }
            server.behaviour.saysLeaving = randomBelow(this->noticeRandom, 8) == 0;
        }
        this->spawn([this, half = randomBelow(this->noticeRandom, this->nodeCount)]() -> asio::awaitable<void> {
            // Falls or ends in the middle of the round.
            asio::steady_timer timer(this->fleet.context);
            co_await StandIns::sleepFor(timer, 2500ms);
            for (unsigned upstream = half; upstream < this->nodeCount; upstream += 2) {
                std::vector<std::string> &limits = this->fleet.upstreams[upstream]->behaviour.limits;
                if (!limits.empty()) {
                    limits = upstream % 3 == 0 ? std::vector<std::string>() : std::vector<std::string>{"0.8"};
                }
            }
        });
    }

    void recordNotices(const ConfigJudge::Observation &seen, const CallResult &result)
    {
        this->check(!result.hasNotice, "NOTICE: " + seen.id + " got the notice of an upstream");
        if (seen.nodeStarts != this->starts[seen.node]) {
            return;
        }
        for (unsigned upstream = 0; upstream < this->nodeCount; ++upstream) {
            const PlatformUpstream &record = *this->fleet.upstreams[upstream];
            const auto notice = record.notices.find(seen.id);
            if (notice != record.notices.end() && result.seal == "seal-" + record.id) {
                this->noticeJudge.onPassedOn(seen.node, upstream, notice->second, seen.ended);
            }
        }
    }

    void checkNotices()
    {
        for (const std::string &violation : this->noticeJudge.violations(this->fleet.upstreams)) {
            this->violations.push_back(violation);
        }
    }

    /// Ends all that the upstreams say. Checks that each of them gets requests while there is work for all, and that requests are served
    /// afterwards.
    void checkRecovery()
    {
        for (unsigned upstream = 0; upstream < this->nodeCount; ++upstream) {
            this->returnToService(upstream);
            PlatformUpstream &server = *this->fleet.upstreams[upstream];
            server.behaviour = UpstreamBehaviour();
            server.behaviour.processingTime = busyProcessingTime;
            server.restart();
            this->writeEntry(upstream);
        }
        std::vector<std::size_t> before;
        for (const auto &upstream : this->fleet.upstreams) {
            before.push_back(upstream->arrivals.size());
        }
        for (unsigned node = 0; node < this->nodeCount; ++node) {
            for (unsigned caller = 0; caller < callersPerNode; ++caller) {
                this->startCaller(node, false, this->busyTimeEnded);
            }
        }
        this->fleet.runFor(busyTime);
        this->busyTimeEnded = true;
        for (const auto &upstream : this->fleet.upstreams) {
            upstream->behaviour = UpstreamBehaviour();
        }
        this->fleet.runFor(settledTime);
        this->servedCount = 0;
        this->failedCount = 0;
        this->fleet.runFor(servingTime);
        for (unsigned upstream = 0; upstream < this->nodeCount; ++upstream) {
            this->check(this->fleet.upstreams[upstream]->arrivals.size() > before[upstream],
                        "SERVED: upstream " + std::to_string(upstream) + " gets nothing after it has recovered");
        }
        constexpr unsigned failedShare = 50;
        this->check(this->failedCount * failedShare < this->servedCount,
                    "SERVED: " + std::to_string(this->failedCount) + " requests failed and " + std::to_string(this->servedCount)
                        + " were served after all faults have ended");
    }

    /// The registry is away for a moment and comes back from a copy. What it has lost is written again.
    asio::awaitable<void> restoreRegistry(std::chrono::milliseconds away, std::chrono::milliseconds age)
    {
        asio::steady_timer timer(this->fleet.context);
        this->fleet.registry.setReachable(false);
        this->registryAway = true;
        co_await StandIns::sleepFor(timer, away);
        const auto lost = this->fleet.registry.restore(away + age);
        this->fleet.registry.setReachable(true);
        this->registryAway = false;
        for (const RegistryStandIn::LostWrite &write : lost) {
            co_await StandIns::sleepFor(timer, rewriteTime / static_cast<int>(lost.size()));
            this->writeAgain(write);
        }
    }

    /// Writes a lost item again, unless it was written since, as its upstream or the operator has it now.
    void writeAgain(const RegistryStandIn::LostWrite &write)
    {
        for (unsigned upstream = 0; upstream < this->nodeCount; ++upstream) {
            if (write.key == "servers/" + this->fleet.upstreams[upstream]->id) {
                this->writeEntry(upstream);
                return;
            }
        }
        this->fleet.publishConfigAgain();
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
        if (fault < Fault::PathsSlow || fault == Fault::RegistryRestored) {
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
        case Fault::RegistryRestored: {
            const auto away = randomTime(this->faultRandom, 50ms, 1200ms);
            const auto age = randomTime(this->faultRandom, 3000ms, 14000ms);
            this->spawn([this, away, age]() -> asio::awaitable<void> {
                co_await this->restoreRegistry(away, age);
            });
            break;
        }
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
            this->noticeJudge.onDisturbed(node, NoticeJudge::Disturbance::Cut, Clock::now());
            break;
        case Fault::NodesFrozen:
            this->noticeJudge.onDisturbed(node, NoticeJudge::Disturbance::RestartOrFreeze, Clock::now());
            this->fleet.processes[node]->signal(SIGSTOP);
            break;
        case Fault::NodesKilled:
            this->fleet.processes[node]->kill();
            this->startNode(node);
            break;
        case Fault::UpstreamsDrain:
            this->drainEntry(node);
            break;
        case Fault::NodesStopped:
            this->fleet.processes[node]->signal(SIGTERM);
            this->leaving.insert(node);
            break;
        default:
            break;
        }
    }

    void drainEntry(unsigned upstream)
    {
        if (this->extent == Extent::Plain) {
            this->fleet.publishEntry(upstream, "draining");
        } else if (!this->withdrawals.contains(upstream)) {
            this->withdraw(upstream, false);
        }
    }

    void endFaults()
    {
        RegistryStandIn &registry = this->fleet.registry;
        registry.setSilent(false);
        registry.setLostShare(0);
        registry.setReplyDelay(0ms);
        registry.setRejection(0);
        while (this->registryAway) {
            this->fleet.runFor(20ms);
        }
        registry.setReachable(true);
        const auto now = Clock::now();
        for (const unsigned node : this->disturbed) {
            this->fleet.processes[node]->signal(SIGCONT);
            for (const auto path : {PlatformFleet::Path::Registry, PlatformFleet::Path::Peers, PlatformFleet::Path::Upstream}) {
                this->fleet.setPathFault(node, path, {}, false);
            }
            if (this->extent == Extent::Plain) {
                this->fleet.publishEntry(node, "ready");
            } else {
                this->returnToService(node);
                this->writeEntry(node);
            }
            this->lastDisturbed[node] = now;
            this->noticeJudge.onDisturbed(node, NoticeJudge::Disturbance::Cut, now);
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

    /// An upstream whose entry says that it drains, or was removed.
    struct Withdrawal
    {
        Clock::time_point at;
        bool isRemoval = false;
    };

    /// A request as its caller sent it.
    struct SentRequest
    {
        unsigned node = 0;
        Clock::time_point at;
        bool isInTouch = false;
    };

    Extent extent;
    unsigned seed;
    std::mt19937 faultRandom; ///< Chooses the faults, so that their sequence depends on the seed only.
    std::mt19937 versionRandom;
    std::mt19937 callerRandom;
    std::mt19937 noticeRandom; ///< Chooses limits, leaving upstreams and withdrawn entries.
    unsigned nodeCount;
    unsigned roundCount;
    PlatformFleet fleet;
    ConfigJudge judge;
    NoticeJudge noticeJudge;
    std::map<unsigned, Withdrawal> withdrawals; ///< By upstream.
    std::map<std::string, SentRequest> sentInTouch; ///< By request id.
    std::size_t withdrawnCount = 0; ///< Number of withdrawals that lasted longer than the time for draining.
    unsigned servedCount = 0;
    unsigned failedCount = 0;
    bool registryAway = false; ///< A restore is in progress.
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
    bool busyTimeEnded = false; ///< The callers of the busy time end.
};

/// Runs seeds and fails with the violations that were found.
void runSeeds(Extent extent, const std::vector<unsigned> &seeds, unsigned roundCount)
{
    std::string text;
    for (const unsigned seed : seeds) {
        const std::vector<std::string> violations
            = ConfigSoakRun(extent, seed, numberFromEnvironment("GALENARACK_SOAK_NODES", defaultNodeCount), roundCount).run();
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

// Regression seeds. A seed that has failed is added with a comment on the cause and never removed.
// 206: CONFIG and DENIED with watches whose lost replies are noticed too late (2942ea6) or after 28 s, REFUSED and TWICE with copies
// of rejections that are taken for the next response.
const std::vector<unsigned> plainSeeds = {206};
// 517: LIMIT, and DRAIN by Server-Leaving, with nodes that heed no notices (8e554dc); DRAIN by entries that are withdrawn after a restore,
// with nodes that compare revisions of two eras (4ae9f1e).
const std::vector<unsigned> fullSeeds = {517};

} // namespace

class ConfigSoakTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigSoakTest);
    CPPUNIT_TEST(followsConfigurationUnderFaults);
    CPPUNIT_TEST(heedsNoticesAndRestoresUnderFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against nodes that act on an old configuration for too long after a fault, answer 404 on a route that is there, go back
    /// to an older version, run refused work or run work twice, while versions follow each other. GALENARACK_SOAK_PLAIN_SEEDS sets
    /// other seeds, GALENARACK_SOAK_DAEMON names another build of the node, GALENARACK_SOAK_NODES and GALENARACK_SOAK_ROUNDS the size of
    /// a run.
    void followsConfigurationUnderFaults()
    {
        runSeeds(Extent::Plain,
                 numbersFromEnvironment("GALENARACK_SOAK_PLAIN_SEEDS", plainSeeds),
                 numberFromEnvironment("GALENARACK_SOAK_ROUNDS", defaultRoundCount));
    }

    /// Guards against the same, and against requests beyond the limit that an upstream names, at upstreams that have said that they leave
    /// or whose entry was withdrawn, and at none although they have recovered, while the registry also comes back from copies.
    /// GALENARACK_SOAK_SEEDS sets other seeds.
    void heedsNoticesAndRestoresUnderFaults()
    {
        runSeeds(Extent::Full,
                 numbersFromEnvironment("GALENARACK_SOAK_SEEDS", fullSeeds),
                 numberFromEnvironment("GALENARACK_SOAK_ROUNDS", fullRoundCount));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigSoakTest);
