#include "support/stopjudge.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <random>
#include <sstream>

using namespace Galenarack;
using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using Clock = StopJudge::Clock;
using Time = StopJudge::Time;
using Milliseconds = std::chrono::milliseconds;

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

constexpr unsigned defaultNodeCount = 6;
constexpr unsigned roundCount = 2;

constexpr Milliseconds graceTimes[] = {2000ms, 4000ms, 8000ms, 10000ms};
constexpr auto routeTimeout = 12000ms;
constexpr auto longDeadline = 12000ms;
constexpr auto backgroundDeadline = 3000ms;
/// Work of a call that an upstream makes.
constexpr auto callWork = 30ms;

/// Pause between the requests of a background caller.
constexpr auto backgroundPause = 100ms;
/// Time from the end of a process until the platform starts it again.
constexpr auto restartDelay = 300ms;
/// Shortest time from the start of a process to SIGTERM or SIGHUP. A process that has not installed its handlers ends at once.
constexpr auto startTime = 1000ms;
/// Interval at which the platform looks for ended processes.
constexpr auto processPollInterval = 10ms;
constexpr auto logInterval = 500ms;
constexpr auto delayInterval = 5ms;
/// The platform checks the readiness of each node this often.
constexpr auto readinessInterval = 1000ms;
/// Number of failed checks in a row after which callers that follow the readiness send no new requests.
constexpr unsigned readinessMisses = 2;

/// Requests per stop whose work ends within the grace time or soon after it.
constexpr unsigned workCountPerStop = 20;
/// Requests per stop that are sent when the process has been leaving for some time.
constexpr unsigned lateCountPerStop = 10;
/// A kept connection gets its first request this long before the one that is judged.
constexpr auto warmUpTime = 600ms;

constexpr std::size_t largeBodyBytes = 400'000;
constexpr std::size_t slowBodyBytes = 2'000'000;
constexpr std::size_t slowReadChunk = 65'536;
/// Receive buffer of a slow reader. It has room for whole segments of the loopback interface.
constexpr int slowReceiveBuffer = 131'072;

/// Nodes that are stopped in a round.
enum class StopKind : std::uint8_t {
    Ingress, ///< A node whose upstream gets no requests.
    Home, ///< A node whose upstream gets requests.
    Both,
    Several,
};
constexpr unsigned stopKindCount = 4;

enum class Connection : std::uint8_t {
    New,
    Kept,
    SlowReader, ///< A new connection on which the response is read slowly and a second request is sent behind the first.
};

/// A request of a plan.
struct PlannedRequest
{
    Milliseconds at{}; ///< Since the start of the plan.
    unsigned node = 0;
    Connection connection = Connection::New;
    bool isDirect = false; ///< Whether it is sent to the process itself and not through the relay for callers.
    bool idempotent = true;
    bool makesCall = false; ///< Whether the upstream makes a call of its own.
    Milliseconds work{};
    Milliseconds deadline{};
    std::size_t bodyBytes = 0;
    Milliseconds readTime{}; ///< Time in which a slow reader reads the response.
};

/// An action of a plan.
struct PlannedAction
{
    Milliseconds at{};
    std::function<void()> run;
};

/// One run of a fleet under planned stops that depends on the seed only.
class StopSoakRun
{
public:
    StopSoakRun(unsigned seed, unsigned nodeCount)
        : seed(seed)
        , random(seed)
        , nodeCount(nodeCount)
        , grace(graceTimes[seed % std::size(graceTimes)])
        , fleet(nodeCount)
        , judge(this->grace)
        , nodes(nodeCount)
        , logs(nodeCount)
    {
        this->fleet.bounds = boundsAsTable(static_cast<unsigned>(std::chrono::duration_cast<std::chrono::seconds>(this->grace).count()));
        this->fleet.slots = this->chance(30) ? 4 : 32;
        for (unsigned node = 0; node < nodeCount; ++node) {
            this->fleet.publishEntry(node, "ready");
            this->fleet.upstreams[node]->call = [this, node](std::string parent) {
                return this->callFrom(node, std::move(parent));
            };
        }
        this->publishRoutes();
    }

    /// @return violations found, one string each
    std::vector<std::string> run()
    {
        if (!this->fleet.startAll()) {
            return {"nodes are not ready at the start"};
        }
        this->plan();
        this->start = Clock::now();
        this->openLogs();
        this->spawn(this->collectLogs());
        this->spawn(this->measureDelay());
        for (unsigned node = 0; node < this->nodeCount; ++node) {
            this->spawn(this->followReadiness(node));
            this->spawn(this->pressOn(node, true, false));
            this->spawn(this->pressOn(node, false, true));
            this->spawn(this->sendOnNewConnections(node));
        }
        for (const PlannedRequest &request : this->requests) {
            this->spawn(this->play(request));
        }
        for (PlannedAction &action : this->actions) {
            this->spawn(this->playAction(action));
        }
        this->fleet.runFor(this->planEnd);
        this->isEnding = true;
        while (this->pendingCount > 0 || this->isUpstreamAtWork()) {
            this->fleet.runFor(50ms);
        }
        for (unsigned node = 0; node < this->nodeCount; ++node) {
            this->collectLog(node);
        }
        std::vector<std::string> violations = this->judge.judge(this->fleet.upstreams);
        for (unsigned node = 0; node < this->nodeCount; ++node) {
            if (!this->fleet.waitUntilReady(node)) {
                const std::optional<int> status = this->fleet.processes[node]->wait(0ms);
                violations.push_back("node " + std::to_string(node) + " is not ready after the stops"
                                     + (status ? ", it ended with status " + std::to_string(*status) : ""));
            }
        }
        this->report(violations);
        return violations;
    }

private:
    /// A node as the platform sees it.
    struct NodeState
    {
        bool isLeaving = false; ///< It received SIGTERM and runs.
        bool isKilled = false; ///< Its process was killed without or before the end of a planned stop.
        Time started; ///< Last start of its process in the run.
        bool isIn = true; ///< Whether callers that follow the readiness send requests to it.
    };

    unsigned randomBelow(unsigned bound)
    {
        return std::uniform_int_distribution<unsigned>(0, bound - 1)(this->random);
    }

    bool chance(unsigned percent)
    {
        return this->randomBelow(100) < percent;
    }

    Milliseconds randomTime(Milliseconds from, Milliseconds to)
    {
        return to <= from ? from : from + Milliseconds(this->randomBelow(static_cast<unsigned>((to - from).count())));
    }

    void spawn(asio::awaitable<void> work)
    {
        ++this->pendingCount;
        asio::co_spawn(this->fleet.context, std::move(work), [this](const std::exception_ptr &error) {
            --this->pendingCount;
            if (error) {
                std::rethrow_exception(error);
            }
        });
    }

    // The plan.

    void plan()
    {
        Milliseconds at = 1500ms;
        for (unsigned round = 0; round < roundCount; ++round) {
            this->planRound(at);
            at += this->randomTime(this->grace * 2 / 5, this->grace + 2500ms);
        }
    }

    void planRound(Milliseconds at)
    {
        std::vector<unsigned> stopped;
        const unsigned half = std::max(this->nodeCount / 2, 1U);
        const unsigned front = 2 * this->randomBelow(half);
        const unsigned back = 2 * this->randomBelow(half) + 1;
        switch (static_cast<StopKind>(this->randomBelow(stopKindCount))) {
        case StopKind::Ingress:
            stopped = {front};
            break;
        case StopKind::Home:
            stopped = {back};
            break;
        case StopKind::Both:
            stopped = {front, back};
            break;
        case StopKind::Several:
            for (unsigned i = 0; i < half; ++i) {
                stopped.push_back((front + back + i) % this->nodeCount);
            }
            break;
        }
        for (const unsigned node : stopped) {
            const Milliseconds stop = at + this->randomTime(0ms, 1500ms);
            this->addAction(stop, [this, node] {
                this->spawn(this->stopAndRestart(node));
            });
            this->planRequests(node, stop);
            this->planEnd = std::max(this->planEnd, stop + this->grace + 1500ms);
        }
        this->planSideEvents(at, stopped);
    }

    void planSideEvents(Milliseconds at, const std::vector<unsigned> &stopped)
    {
        const auto sometime = [&] {
            return this->randomTime(at - 500ms, at + this->grace * 3 / 5);
        };
        if (this->chance(50)) {
            const unsigned node = this->chance(50) ? stopped.front() : this->randomBelow(this->nodeCount);
            this->addAction(sometime(), [this, node] {
                this->spawn(this->sendHangup(node));
            });
        }
        if (this->chance(50)) {
            this->addAction(sometime(), [this] {
                this->isMoved = !this->isMoved;
                this->publishRoutes();
            });
        }
        if (this->chance(50)) {
            const unsigned node = 2 * this->randomBelow(std::max(this->nodeCount / 2, 1U)) + 1;
            const Milliseconds begin = sometime();
            this->addAction(begin, [this, node] {
                this->publishEntry(node, true);
            });
            this->addAction(begin + 4500ms, [this, node] {
                this->publishEntry(node, false);
            });
        }
        if (this->chance(15)) {
            const unsigned node = this->randomBelow(this->nodeCount);
            this->addAction(sometime(), [this, node] {
                this->kill(node);
            });
        }
    }

    /// Plans requests whose work ends within the grace time of a node or soon after it, and some that are sent late.
    void planRequests(unsigned stoppedNode, Milliseconds stop)
    {
        for (unsigned i = 0; i < workCountPerStop; ++i) {
            PlannedRequest request = this->randomRequest(stoppedNode);
            request.at = this->randomTime(stop - 1500ms, stop + std::min(StopJudge::coveredSendTime, this->grace) - 50ms);
            const unsigned endPercent = this->chance(75) ? 20 + this->randomBelow(62) : 82 + this->randomBelow(28);
            const Milliseconds end = stop + this->grace * endPercent / 100;
            request.work = std::max(end - request.at, 5ms);
            request.deadline = this->chance(60) ? longDeadline : request.work + this->randomTime(100ms, 1500ms);
            if (request.connection == Connection::SlowReader) {
                request.readTime = std::min(Milliseconds(request.work / 3), 1500ms);
                request.work -= request.readTime;
                request.bodyBytes = slowBodyBytes;
            }
            this->requests.push_back(request);
        }
        for (unsigned i = 0; i < lateCountPerStop; ++i) {
            PlannedRequest request = this->randomRequest(stoppedNode);
            request.at = this->randomTime(stop + std::min(StopJudge::coveredSendTime, this->grace) - 400ms, stop + this->grace + 300ms);
            request.work
                = this->chance(70) ? this->randomTime(5ms, 400ms) : this->randomTime(400ms, std::min<Milliseconds>(this->grace, 3000ms));
            request.deadline = this->chance(50) ? longDeadline : this->randomTime(200ms, 4000ms);
            this->requests.push_back(request);
        }
    }

    PlannedRequest randomRequest(unsigned stoppedNode)
    {
        PlannedRequest request;
        request.node = this->chance(60) ? stoppedNode : this->randomBelow(this->nodeCount);
        const unsigned connection = this->randomBelow(10);
        request.connection = connection < 4 ? Connection::New : connection < 9 ? Connection::Kept : Connection::SlowReader;
        request.isDirect = request.connection == Connection::SlowReader || this->chance(50);
        request.idempotent = this->chance(50);
        request.makesCall = this->chance(20);
        request.bodyBytes = this->chance(20) ? largeBodyBytes : 0;
        return request;
    }

    void addAction(Milliseconds at, std::function<void()> run)
    {
        this->actions.push_back({at, std::move(run)});
    }

    // The platform.

    asio::awaitable<void> playAction(const PlannedAction &action)
    {
        asio::steady_timer timer(this->fleet.context);
        co_await StandIns::sleepFor(timer, action.at - (Clock::now() - this->start));
        action.run();
    }

    void publishRoutes()
    {
        const std::vector<std::string> services
            = this->isMoved ? std::vector<std::string>{"back", "front"} : std::vector<std::string>{"back"};
        const ConfiguredRoute routes[] = {{"/read/", services, true, routeTimeout}, {"/write/", {"back"}, false, routeTimeout}};
        this->fleet.publishRoutes(routes);
    }

    void publishEntry(unsigned node, bool isDraining)
    {
        this->fleet.publishEntry(node, isDraining ? "draining" : "ready");
        this->judge.addEntry(node, isDraining, Clock::now());
    }

    /// Stops the process of a node as the platform does: with SIGTERM, and with SIGKILL at the end of the grace time. Then starts it
    /// again.
    asio::awaitable<void> stopAndRestart(unsigned node)
    {
        NodeState &state = this->nodes[node];
        if (state.isLeaving || state.isKilled) {
            co_return;
        }
        asio::steady_timer timer(this->fleet.context);
        co_await StandIns::sleepFor(timer, state.started + startTime - Clock::now());
        if (state.isLeaving || state.isKilled) {
            co_return;
        }
        const Time signalled = Clock::now();
        this->fleet.processes[node]->signal(SIGTERM);
        this->judge.addStop(node, signalled);
        state.isLeaving = true;
        while (this->fleet.processes[node]->isRunning() && Clock::now() < signalled + this->grace) {
            co_await StandIns::sleepFor(timer, processPollInterval);
        }
        if (!state.isKilled) {
            this->judge.addStopEnd(node, signalled, Clock::now(), this->fleet.processes[node]->wait(0ms));
        }
        this->fleet.processes[node]->kill();
        state.isLeaving = false;
        co_await this->restart(node);
    }

    asio::awaitable<void> sendHangup(unsigned node)
    {
        asio::steady_timer timer(this->fleet.context);
        co_await StandIns::sleepFor(timer, this->nodes[node].started + startTime - Clock::now());
        this->fleet.processes[node]->signal(SIGHUP);
    }

    /// Kills the process of a node and starts it again.
    void kill(unsigned node)
    {
        NodeState &state = this->nodes[node];
        if (state.isKilled) {
            return;
        }
        state.isKilled = true;
        this->judge.addKill(node, Clock::now());
        this->fleet.processes[node]->kill();
        if (!state.isLeaving) {
            this->spawn(this->restart(node));
        }
    }

    asio::awaitable<void> restart(unsigned node)
    {
        asio::steady_timer timer(this->fleet.context);
        this->nodes[node].isKilled = true;
        co_await StandIns::sleepFor(timer, restartDelay);
        this->collectLog(node);
        this->fleet.startNode(node);
        this->nodes[node].started = Clock::now();
        this->judge.addStart(node, this->nodes[node].started);
        this->nodes[node].isKilled = false;
    }

    /// Takes a node out for callers that follow the readiness, and in again, as the platform does.
    asio::awaitable<void> followReadiness(unsigned node)
    {
        asio::steady_timer timer(this->fleet.context);
        StandIns::HttpClient client(this->fleet.context, this->fleet.operatorsAddress(node));
        unsigned misses = 0;
        while (!this->isEnding) {
            StandIns::HttpRequest request(http::verb::get, "/readyz", 11);
            const StandIns::Exchange exchange = co_await client.exchange(std::move(request), 500ms);
            const bool isReady = exchange.end == StandIns::ExchangeEnd::Complete && exchange.response.result_int() == 200;
            misses = isReady ? 0 : misses + 1;
            this->nodes[node].isIn = misses < readinessMisses;
            co_await StandIns::sleepFor(timer, readinessInterval);
        }
    }

    /// Keeps the log of a node in the folder GALENARACK_SOAK_LOGS.
    void collectLog(unsigned node)
    {
        while (this->logs[node].is_open()) {
            const std::optional<std::string> line = this->fleet.processes[node]->readLine(2ms);
            if (!line) {
                break;
            }
            this->logs[node] << *line << '\n';
        }
    }

    asio::awaitable<void> collectLogs()
    {
        asio::steady_timer timer(this->fleet.context);
        while (!this->isEnding) {
            for (unsigned node = 0; node < this->nodeCount; ++node) {
                this->collectLog(node);
            }
            co_await StandIns::sleepFor(timer, logInterval);
        }
    }

    /// Records how late the event loop of the test runs, so that its own delays are not taken for those of a node.
    asio::awaitable<void> measureDelay()
    {
        asio::steady_timer timer(this->fleet.context);
        while (this->pendingCount > 1 || !this->isEnding) {
            const Time due = Clock::now() + delayInterval;
            co_await StandIns::sleepFor(timer, delayInterval);
            this->judge.addOwnDelay(due, Clock::now());
        }
    }

    // The callers.

    bool isUpstreamAtWork() const
    {
        return std::ranges::any_of(this->fleet.upstreams, [](const auto &upstream) {
            return std::ranges::any_of(upstream->arrivals, [](const PlatformUpstream::Arrival &arrival) {
                return arrival.isRun && !arrival.answered;
            });
        });
    }

    std::string nextRequestId()
    {
        return "s" + std::to_string(this->nextId++);
    }

    /// Sends a request and records its outcome.
    asio::awaitable<StandIns::ExchangeEnd> exchange(StandIns::HttpClient &client, PlannedRequest request, std::string form)
    {
        StopJudge::Observation seen = this->observe(request, std::move(form));
        seen.sent = Clock::now();
        seen.result = co_await this->fleet.sendThrough(client, method(request), target(request), seen.id, request.deadline);
        seen.ended = Clock::now();
        const StandIns::ExchangeEnd end = seen.result.end;
        this->judge.addObservation(std::move(seen));
        co_return end;
    }

    StopJudge::Observation observe(const PlannedRequest &request, std::string form)
    {
        StopJudge::Observation seen;
        seen.id = this->nextRequestId();
        seen.node = request.node;
        seen.idempotent = request.idempotent;
        seen.isReadSlowly = request.connection == Connection::SlowReader;
        seen.form = std::move(form) + (request.isDirect ? ", direct" : ", relayed") + ", " + method(request) + " " + target(request)
                    + ", deadline " + std::to_string(request.deadline.count()) + " ms";
        seen.minBodyBytes = request.bodyBytes;
        seen.limit = std::min<Milliseconds>(request.deadline, routeTimeout);
        return seen;
    }

    static std::string method(const PlannedRequest &request)
    {
        return request.idempotent ? "GET" : "POST";
    }

    static std::string target(const PlannedRequest &request)
    {
        return std::string(request.idempotent ? "/read/x" : "/write/x") + "?work-ms=" + std::to_string(request.work.count())
               + "&body-bytes=" + std::to_string(request.bodyBytes) + (request.makesCall ? "&calls=1" : "");
    }

    asio::awaitable<void> play(const PlannedRequest &request)
    {
        asio::steady_timer timer(this->fleet.context);
        const Time at = this->start + request.at;
        StandIns::HttpClient client(this->fleet.context, this->fleet.callerAddress(request.node, request.isDirect));
        if (request.connection == Connection::Kept) {
            co_await StandIns::sleepFor(timer, at - warmUpTime - Clock::now());
            PlannedRequest first = request;
            first.idempotent = true;
            first.makesCall = false;
            first.work = 5ms;
            first.bodyBytes = 0;
            co_await this->exchange(client, first, "first on a connection");
        }
        co_await StandIns::sleepFor(timer, at - Clock::now());
        if (request.connection == Connection::SlowReader) {
            co_await this->readSlowly(request);
        } else {
            co_await this->exchange(client, request, request.connection == Connection::Kept ? "planned, kept" : "planned, new");
        }
    }

    static StandIns::HttpRequest makeRequest(const PlannedRequest &request, const std::string &id)
    {
        StandIns::HttpRequest message(http::string_to_verb(method(request)), target(request), 11);
        message.set(http::field::host, "fleet.example");
        message.set("Request-Id", id);
        message.set("Deadline-Ms", std::to_string(request.deadline.count()));
        message.prepare_payload();
        return message;
    }

    /// Sends a request on a new connection and a second one behind it, and reads the responses slowly.
    asio::awaitable<void> readSlowly(PlannedRequest request)
    {
        request.idempotent = true;
        PlannedRequest second = request;
        second.work = 5ms;
        second.bodyBytes = 0;
        StopJudge::Observation seen[] = {this->observe(request, "slow reader"), this->observe(second, "behind a slow reader")};
        seen[1].isBehindAnother = true;
        std::ostringstream both;
        both << makeRequest(request, seen[0].id) << makeRequest(second, seen[1].id);
        boost::beast::tcp_stream stream(this->fleet.context);
        stream.socket().open(StandIns::Tcp::v4());
        stream.socket().set_option(asio::socket_base::receive_buffer_size(slowReceiveBuffer));
        stream.expires_after(request.deadline + 1500ms);
        const auto [connectError] = co_await stream.async_connect(this->fleet.callerAddress(request.node, true), asTuple);
        seen[0].sent = Clock::now();
        seen[1].sent = seen[0].sent;
        const std::string text = both.str();
        // A write error is ignored, as the node may have sent a response before it closed the connection.
        co_await asio::async_write(stream, asio::buffer(text), asTuple);
        bool isOpen = !connectError;
        boost::beast::flat_buffer buffer(slowReadChunk);
        for (StopJudge::Observation &each : seen) {
            each.result.end = connectError ? StandIns::ExchangeEnd::ConnectFailed : StandIns::ExchangeEnd::ConnectionLost;
            if (isOpen) {
                isOpen = co_await this->readResponse(stream, buffer, request.readTime, each.result);
            }
            each.ended = Clock::now();
            this->judge.addObservation(each);
        }
    }

    /// Reads a response at the rate at which `slowBodyBytes` take `readTime`.
    /// @return whether a further response may follow on the connection
    asio::awaitable<bool> readResponse(boost::beast::tcp_stream &stream,
                                       boost::beast::flat_buffer &buffer,
                                       Milliseconds readTime,
                                       CallResult &result)
    {
        asio::steady_timer timer(this->fleet.context);
        http::response_parser<http::string_body> parser;
        std::optional<Time> begin;
        std::size_t received = 0;
        while (!parser.is_done()) {
            const auto [error, bytes] = co_await http::async_read_some(stream, buffer, parser, asTuple);
            if (error) {
                const StandIns::ExchangeEnd broken
                    = parser.got_some() ? StandIns::ExchangeEnd::ResponseCut : StandIns::ExchangeEnd::ConnectionLost;
                result.end = error == boost::beast::error::timeout ? StandIns::ExchangeEnd::Timeout : broken;
                co_return false;
            }
            begin = begin.value_or(Clock::now());
            received += bytes;
            const auto due = std::chrono::duration_cast<Clock::duration>(readTime * (double(received) / slowBodyBytes));
            co_await StandIns::sleepFor(timer, *begin + due - Clock::now());
        }
        const http::response<http::string_body> response = parser.release();
        result.end = StandIns::ExchangeEnd::Complete;
        result.status = response.result_int();
        result.isSigned = response.count("Server-Seal") == 1;
        result.echoedId = std::string(response["Request-Id"]);
        result.body = response.body();
        co_return response.keep_alive();
    }

    /// Makes a call of an upstream through the node on its VM.
    asio::awaitable<bool> callFrom(unsigned node, std::string parent)
    {
        PlannedRequest request;
        request.node = node;
        request.isDirect = true;
        request.work = callWork;
        request.deadline = backgroundDeadline;
        StandIns::HttpClient client(this->fleet.context, this->fleet.callerAddress(node, true));
        StopJudge::Observation seen = this->observe(request, "call of " + parent);
        seen.sent = Clock::now();
        seen.result = co_await this->fleet.sendThrough(client, method(request), target(request), seen.id, request.deadline);
        seen.ended = Clock::now();
        const bool isServed = seen.result.end == StandIns::ExchangeEnd::Complete && seen.result.status == 200;
        this->judge.addObservation(std::move(seen));
        co_return isServed;
    }

    /// Sends requests one after the other, on one connection while it is open.
    asio::awaitable<void> pressOn(unsigned node, bool isDirect, bool followsReadiness)
    {
        std::mt19937 own(this->seed * 1000 + node * 2 + (isDirect ? 1 : 0));
        asio::steady_timer timer(this->fleet.context);
        StandIns::HttpClient client(this->fleet.context, this->fleet.callerAddress(node, isDirect));
        while (!this->isEnding) {
            if (!followsReadiness || this->nodes[node].isIn) {
                co_await this->exchange(client, backgroundRequest(own, node, isDirect), "background, kept");
            }
            co_await StandIns::sleepFor(timer, backgroundPause);
        }
    }

    asio::awaitable<void> sendOnNewConnections(unsigned node)
    {
        std::mt19937 own(this->seed * 1000 + 500 + node);
        asio::steady_timer timer(this->fleet.context);
        while (!this->isEnding) {
            const PlannedRequest request = backgroundRequest(own, node, own() % 2 == 0);
            StandIns::HttpClient client(this->fleet.context, this->fleet.callerAddress(node, request.isDirect));
            co_await this->exchange(client, request, "background, new");
            co_await StandIns::sleepFor(timer, backgroundPause);
        }
    }

    static PlannedRequest backgroundRequest(std::mt19937 &own, unsigned node, bool isDirect)
    {
        PlannedRequest request;
        request.node = node;
        request.isDirect = isDirect;
        request.idempotent = own() % 2 == 0;
        request.makesCall = own() % 10 == 0;
        request.work = Milliseconds(own() % 5 == 0 ? 100 + own() % 800 : 5 + own() % 40);
        request.deadline = backgroundDeadline;
        return request;
    }

    /// Prints the numbers of a run.
    void report(const std::vector<std::string> &violations) const
    {
        const StopJudge::Summary &summary = this->judge.summary();
        std::cout << "stop soak, seed " << this->seed << ", " << this->nodeCount << " nodes, grace " << this->grace.count()
                  << " ms: " << summary.requests << " requests, " << summary.served << " served, " << summary.nearEnd
                  << " of them late in a grace time, " << summary.refused << " refused, " << summary.unread << " unread, "
                  << summary.excused << " excused, " << summary.killedInPause << " killed in a pause, " << violations.size()
                  << " violations\n"
                  << std::flush;
    }

    void openLogs()
    {
        const char *folder = std::getenv("GALENARACK_SOAK_LOGS");
        if (folder == nullptr) {
            return;
        }
        const std::filesystem::path path = std::filesystem::path(folder) / ("seed-" + std::to_string(this->seed));
        std::filesystem::create_directories(path);
        for (unsigned node = 0; node < this->nodeCount; ++node) {
            this->logs[node].open(path / ("node-" + std::to_string(node) + ".log"));
        }
    }

    unsigned seed;
    std::mt19937 random;
    unsigned nodeCount;
    Milliseconds grace;
    PlatformFleet fleet;
    StopJudge judge;
    std::vector<NodeState> nodes;
    std::vector<std::ofstream> logs; ///< Logs of the nodes, closed unless they are kept.
    std::vector<PlannedRequest> requests;
    std::vector<PlannedAction> actions;
    Milliseconds planEnd{}; ///< Time at which the callers end.
    Time start; ///< Start of the plan.
    bool isMoved = false; ///< Whether the idempotent route leads to both services.
    bool isEnding = false; ///< Whether the background callers end after their current request.
    unsigned pendingCount = 0; ///< Number of callers and actions in progress.
    unsigned nextId = 0; ///< Number in the id of the next request.
};

/// @return number of nodes, from GALENARACK_SOAK_NODES
unsigned nodeCountOfRuns()
{
    const char *text = std::getenv("GALENARACK_SOAK_NODES");
    return text == nullptr ? defaultNodeCount : static_cast<unsigned>(std::stoul(text));
}

/// @return seeds to run: those in GALENARACK_SOAK_SEEDS (e.g. "1 2 3"), or the regression seeds
std::vector<unsigned> seeds()
{
    // Regression seeds, one for each grace time. A seed that has failed is added with a comment on the cause and never removed.
    std::vector<unsigned> list = {
        1,
        2,
        3,
        4, // A node with a grace time of 2 s exited too late and was killed.
        16, // The same node cut requests that waited for a slot.
    };
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

/// Random sequences of planned stops under callers with long and short requests.
class StopSoakTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StopSoakTest);
    CPPUNIT_TEST(losesNothingAroundPlannedStops);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests that a leaving node has read and does not answer, for grace times other than the default.
    void losesNothingAroundPlannedStops()
    {
        for (const unsigned seed : seeds()) {
            const std::vector<std::string> violations = StopSoakRun(seed, nodeCountOfRuns()).run();
            std::string text;
            for (const std::string &line : violations) {
                text += line + "\n";
            }
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ":\n" + text, violations.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StopSoakTest);
