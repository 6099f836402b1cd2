#pragma once

#include "childprocess.h"
#include "temporaryfolder.h"

#include <standins/common/httpclient.h>
#include <standins/common/httpserver.h>
#include <standins/common/relay.h>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Galenarack {

/// In-process stand-in for the platform's registry: a key-value store with revisions, point and range reads, and watches by
/// long polling.
class RegistryStandIn
{
public:
    explicit RegistryStandIn(boost::asio::io_context &context);

    /// Writes an item under the next revision.
    void put(const std::string &key, const std::string &value);

    /// Marks an item as deleted under the next revision.
    void remove(const std::string &key);

    /// Accepts connections, or closes all connections and refuses new ones.
    void setReachable(bool reachable);

    /// While silent, it accepts calls, but never answers those that arrive or wait in this time, also not later.
    void setSilent(bool silent);

    /// Never sends the next replies to watches that have found a change.
    /// @param count number of replies that are lost
    void loseWatchReplies(unsigned count);

    /// Closes all connections, and with them the watches, and accepts new ones at once. Does nothing while it is unreachable.
    void cutWatches();

    /// Loses this share of all replies, 0 to 1. A connection on which a reply is lost returns nothing further.
    void setLostShare(double share);

    /// Sends each reply this much later.
    void setReplyDelay(std::chrono::milliseconds delay);

    /// Answers all calls with this status and does nothing else; 0 ends this.
    void setRejection(unsigned status);

    /// Discards the history: watches from an earlier revision are answered 410.
    void forgetHistory();

    /// While forgetful, it answers all watches 410.
    void setForgetful(bool forgetful);

    /// A write that a restore has lost, with the latest value of its key.
    struct LostWrite
    {
        std::string key;
        std::string value;
        bool deleted = false;
    };

    /// Comes back from a copy: forgets the writes of the last `age`, gives out their revisions again and begins the next era. Watches from
    /// a revision that the copy does not have are answered 410.
    /// @return the latest lost write of each key
    std::vector<LostWrite> restore(std::chrono::milliseconds age);

    /// @return value of the Store-Era header of all answers
    std::uint64_t storeEra() const
    {
        return this->era;
    }

    /// Sets the maximum number of items in a reply to a range read.
    void setPageSize(std::size_t items);

    /// @return "IPv4:port" of the registry
    std::string address() const;

    /// @return number of calls received so far, including watches that are still open
    unsigned callCount() const
    {
        return this->calls;
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        bool deleted = false;
    };

    void write(const std::string &key, Item item);
    boost::asio::awaitable<StandIns::HttpResponse> answer(const StandIns::HttpRequest &request);
    boost::asio::awaitable<StandIns::HttpResponse> answerWithoutEra(const StandIns::HttpRequest &request);
    boost::asio::awaitable<StandIns::HttpResponse> read(const StandIns::HttpRequest &request);
    boost::asio::awaitable<StandIns::HttpResponse> watch(const StandIns::HttpRequest &request, const StandIns::Target &target);
    nlohmann::json readRange(const StandIns::Target &target) const;
    /// Waits until the stand-in is destroyed.
    boost::asio::awaitable<void> waitForever();
    nlohmann::json toJson(const std::string &key, const Item &item) const;

    struct LoggedWrite
    {
        std::chrono::steady_clock::time_point at;
        std::string key;
        Item item;
    };

    boost::asio::io_context &context;
    StandIns::HttpServer server;
    std::map<std::string, Item> items;
    std::vector<LoggedWrite> writes; ///< All writes of the present history, the oldest first.
    std::uint64_t revision = 1;
    std::uint64_t era = 1;
    bool reachable = true;
    bool silent = false;
    std::mt19937 random; ///< Chooses the replies that are lost.
    double lostShare = 0;
    std::chrono::milliseconds replyDelay{};
    unsigned rejection = 0; ///< Status of all replies, or 0.
    bool forgetful = false;
    std::uint64_t historyStart = 0; ///< Revision before which the history is gone.
    unsigned lostReplies = 0; ///< Number of replies to watches that are still to be lost.
    std::size_t pageSize = 500;
    unsigned calls = 0;
};

/// Behaviour of an upstream stand-in.
struct UpstreamBehaviour
{
    std::chrono::milliseconds processingTime{20}; ///< Time between receipt of a request and its response.
    unsigned status = 200; ///< HTTP status of the responses.
    bool rejects = false; ///< Whether it rejects requests with Not-Executed, without running them.
    bool rejectsFirstArrivals = false; ///< Whether it rejects the first arrival of each request with Not-Executed.
    bool repeatsRejections = false; ///< Whether a second copy of a rejection precedes the next response on its connection.
    bool repeatsResponses = false; ///< The same for all responses.
    bool dropsResponses = false; ///< Whether it runs requests and closes the connection before the response.
    std::optional<std::size_t> sentBytes{}; ///< Number of bytes of each response that it sends before it closes the connection.
    std::vector<std::string> limits{}; ///< Values of the Server-Limit fields of all its answers.
    bool saysLeaving = false; ///< Whether all its answers say Server-Leaving.
    bool isReplacedInHealthChecks = false; ///< Whether another upstream, without notices, answers the health checks at its address.
};

/// In-process stand-in for an upstream that uses the platform's protocol and counts the requests that it runs.
///
/// Parameters in the query of a request replace the behaviour for this request: `work-ms` is the processing time and `body-bytes` the
/// minimum size of the body of the response. With `calls`, the upstream makes a call halfway through its work and answers 500 if the
/// call fails.
class PlatformUpstream
{
public:
    /// Sends a request from the VM of an upstream while it works on another.
    /// @return whether the call succeeded
    using Call = std::function<boost::asio::awaitable<bool>(std::string requestId)>;

    /// Starts to listen on a free port.
    /// @param id instance id that requests must carry in Expect-Instance
    /// @param vm IPv4 address to listen on
    PlatformUpstream(boost::asio::io_context &context, std::string id, const std::string &vm);

    /// @return "IPv4:port" of the upstream
    std::string address() const;

    /// Ends the process of the upstream and starts it again under the same id: closes all connections and begins a new lifetime.
    void restart();

    UpstreamBehaviour behaviour;
    Call call; ///< Call that a request with the parameter `calls` makes, may be empty.
    std::int64_t startTimeMs = 1; ///< Start time of the upstream process in its registry entry, in milliseconds.
    /// A request that has arrived, whether or not it is run.
    struct Arrival
    {
        std::chrono::steady_clock::time_point at;
        std::string requestId;
        std::int64_t startTimeMs = 0; ///< Lifetime of the upstream that received it.
        bool isRun = false; ///< Whether the upstream ran the request.
        std::optional<std::chrono::steady_clock::time_point> answered{}; ///< When the upstream finished the work, empty before.
    };

    /// What an answer said of the upstream.
    struct Notice
    {
        bool hasLimit = false;
        bool saysLeaving = false;
        std::int64_t startTimeMs = 0; ///< Lifetime of the upstream that answered.
    };

    /// Limit that the upstream names from an answer on, until the next entry.
    struct NamedLimit
    {
        std::chrono::steady_clock::time_point at;
        std::optional<double> perSecond; ///< Requests per second; empty when it names none that is valid.
        std::int64_t startTimeMs = 0; ///< Lifetime of the upstream that answered.
    };

    std::map<std::string, unsigned> runs; ///< Number of runs, by request id.
    std::vector<Arrival> arrivals; ///< Requests that named this upstream, the oldest first.
    std::vector<NamedLimit> namedLimits; ///< Changes of the limit in its answers, the oldest first.
    std::map<std::string, Notice> notices; ///< Notices in the answers to requests that were run, by request id.
    unsigned probeCount = 0; ///< Number of health checks received.
    std::size_t responseBytes = 0; ///< Size of the last complete response, header included.
    std::map<std::string, std::string> callerServices; ///< Value of Caller-Service, by request id.
    const std::string id;

private:
    boost::asio::awaitable<StandIns::HttpResponse> answer(const StandIns::HttpRequest &request);

    boost::asio::io_context &context;
    StandIns::HttpResponse makeAnswer(const StandIns::HttpRequest &request, unsigned status, std::string body);
    void recordNamedLimit();

    std::set<std::string> arrivedIds; ///< Ids of the requests that have arrived.
    StandIns::HttpServer server;
};

/// A route of a configuration.
struct ConfiguredRoute
{
    std::string prefix; ///< Path prefix, with a slash at both ends.
    std::vector<std::string> services; ///< Services that share the requests.
    bool idempotent = true;
    std::chrono::milliseconds timeout{4000};
    std::vector<std::uint32_t> weights{}; ///< Weight of each service, empty for even shares.
};

/// Outcome of one request as its caller observed it.
struct CallResult
{
    StandIns::ExchangeEnd end = StandIns::ExchangeEnd::Complete;
    unsigned status = 0; ///< HTTP status code, or 0 when `end` is not Complete.
    bool isSigned = false; ///< Whether the response carries the Server-Seal of an upstream.
    std::string seal; ///< Value of Server-Seal.
    std::string retryAfter; ///< Value of Retry-After, in seconds.
    bool hasNotice = false; ///< Whether the response carries Server-Limit or Server-Leaving.
    std::string echoedId; ///< Value of Request-Id in the response.
    std::string body;
};

/// @param graceSeconds time between SIGTERM and SIGKILL
/// @return the bounds of a deployment as a list of texts that are joined by commas, with those that nodes do not use
std::string boundsAsList(unsigned graceSeconds);

/// The same as a table, which the platform renders as a JSON object.
std::string boundsAsTable(unsigned graceSeconds);

/// A fleet with the platform adapter: nodes as real processes on loopback addresses, one upstream stand-in per node, and a
/// registry stand-in with the entries of the upstreams and the configuration.
///
/// Upstreams of nodes with even numbers belong to the service `front`, the others to `back`. The routes `/read/` (idempotent)
/// and `/write/` (not idempotent) lead to `back`. The first half of the nodes is in failure domain `a`, the rest in `b`.
class PlatformFleet
{
public:
    /// A path that leads through a relay with adjustable faults.
    enum class Path : std::uint8_t {
        Peers, ///< From the other nodes to the node.
        Registry, ///< From the node to the registry.
        Upstream, ///< From the node to its upstream.
        Callers, ///< From callers to the node.
    };
    static constexpr unsigned pathCount = 4;

    /// Starts the registry, upstreams and relays, but no nodes.
    explicit PlatformFleet(unsigned nodes);

    /// Makes a node reach its upstream at this address, without a relay, from the next start of its process on.
    void setUpstreamAddress(unsigned node, const StandIns::Tcp::endpoint &address);

    /// Starts a process of a node. It replaces the previous process of the node, which is killed if it still runs.
    void startNode(unsigned node);

    /// Starts all nodes and waits until they are ready.
    /// @return false when waitUntilReady() fails for a node
    bool startAll();

    /// Polls `/readyz` of the node until it reports ready.
    /// @return false when the node is not ready after 200 attempts, which take 20 s or more
    bool waitUntilReady(unsigned node);

    /// Sends a request to a node and waits for the response.
    /// @param id value of Request-Id
    /// @param timeout deadline of the request; the caller waits 1.5 s longer for the response
    boost::asio::awaitable<CallResult> send(
        unsigned node, std::string method, std::string target, std::string id, std::chrono::milliseconds timeout);

    /// Like send(), but runs the event loop until the request has ended. The deadline is 3 s.
    CallResult sendAndWait(unsigned node, const std::string &method, const std::string &target, const std::string &id);

    /// Sends requests on a route one after the other.
    /// @return whether one of them is answered 200 within `limit`
    bool isServedWithin(unsigned node, const std::string &prefix, std::chrono::milliseconds limit);

    /// Like send(), on a new connection to the process of the node itself, without the relay for callers. A connection that the
    /// process has not accepted fails.
    boost::asio::awaitable<CallResult> sendDirectly(
        unsigned node, std::string method, std::string target, std::string id, std::chrono::milliseconds timeout);

    /// Like send(), through a client that keeps its connections for further requests.
    boost::asio::awaitable<CallResult> sendThrough(
        StandIns::HttpClient &client, std::string method, std::string target, std::string id, std::chrono::milliseconds timeout);

    /// @return address at which a node accepts callers, behind the relay or that of the process itself
    StandIns::Tcp::endpoint callerAddress(unsigned node, bool isDirect) const;

    /// @return address at which a node reports its readiness
    StandIns::Tcp::endpoint operatorsAddress(unsigned node) const;

    /// Applies a fault to a path of a node, for existing connections and, unless `existingOnly`, for new ones.
    void setPathFault(unsigned node, Path path, const StandIns::PathFault &fault, bool existingOnly);

    /// Accepts connections on a path, or resets all connections and refuses new ones.
    void setPathAccepting(unsigned node, Path path, bool accepting);

    /// Resets the open connections of a path.
    void resetPath(unsigned node, Path path);

    /// Writes the configuration to the registry with a new version.
    /// @param readPrefix path prefix of the idempotent route
    void publishConfig(const std::string &readPrefix);

    /// The same with other routes.
    void publishRoutes(std::span<const ConfiguredRoute> routes);

    /// Writes the configuration that was written last once more, as an operator does whose write was lost.
    void publishConfigAgain();

    /// @return service of a node's upstream
    static std::string serviceOf(unsigned node)
    {
        return node % 2 == 0 ? "front" : "back";
    }

    /// Writes the registry entry of a node's upstream.
    /// @param state "ready" or "draining"
    void publishEntry(unsigned node, const std::string &state);

    /// @return number of runs of a request, summed over all upstreams
    unsigned runCount(const std::string &id) const;

    /// Runs the event loop for `time`.
    void runFor(std::chrono::milliseconds time);

    /// @return numbers of the nodes whose upstreams belong to `back`
    std::vector<unsigned> backNodes() const;

    boost::asio::io_context context;
    RegistryStandIn registry;
    std::vector<std::unique_ptr<PlatformUpstream>> upstreams; ///< Upstream of each node.
    std::vector<std::unique_ptr<ChildProcess>> processes; ///< Process of each node, null before its first start.
    std::string bounds = boundsAsTable(6); ///< Value of `--bounds` from the next start of a node on.
    unsigned slots = 4; ///< Slots in the entries that are written from now on.
    std::size_t maxBodyBytes = 1024 * 1024; ///< Limit of a request's body in the next configuration, in bytes.

private:
    /// @return IPv4 address of the VM of a node
    std::string vmAddress(unsigned node) const;

    /// @return "IPv4:port" where the node listens behind the relay
    std::string directAddress(unsigned node, unsigned offset) const;

    /// Adds the relays of a node in the order of Path.
    void addRelays(unsigned node);

    TemporaryFolder folder;
    unsigned nodeCount;
    std::map<unsigned, std::string> upstreamAddresses; ///< Addresses of upstreams that are reached without a relay, by node.
    std::string lastConfig; ///< Configuration that was written last.
    std::uint64_t version = 1; ///< Version of the next configuration.
    std::uint64_t sequence = 1; ///< Sequence number of the next upstream entry.
    std::uint16_t basePort; ///< Caller port of the nodes; the peer and operator ports follow.
    std::vector<std::vector<std::unique_ptr<StandIns::Relay>>> relays; ///< Relays by node and Path.
};

} // namespace Galenarack
