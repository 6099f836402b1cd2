#pragma once

#include "childprocess.h"
#include "temporaryfolder.h"

#include <standins/common/httpclient.h>
#include <standins/common/httpserver.h>
#include <standins/common/relay.h>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Galenarack {

/// Stand-in for the platform's store: items with revisions, reads and long polls.
class RegistryStandIn
{
public:
    explicit RegistryStandIn(boost::asio::io_context &context);

    /// Writes an item.
    void put(const std::string &key, const std::string &value);

    /// Removes an item.
    void remove(const std::string &key);

    /// Takes connections, or resets all and refuses new ones.
    void setReachable(bool reachable);

    std::string address() const;

    /// @return calls that were answered or are waiting
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

    boost::asio::awaitable<StandIns::HttpResponse> answer(const StandIns::HttpRequest &request);
    boost::asio::awaitable<StandIns::HttpResponse> watch(const StandIns::HttpRequest &request, const StandIns::Target &target);
    nlohmann::json toJson(const std::string &key, const Item &item) const;

    boost::asio::io_context &context;
    StandIns::HttpServer server;
    std::map<std::string, Item> items;
    std::uint64_t revision = 1;
    bool reachable = true;
    unsigned calls = 0;
};

/// How an upstream stand-in answers.
struct UpstreamBehaviour
{
    std::chrono::milliseconds processingTime{20};
    unsigned status = 200;
    bool rejects = false; ///< Says that it has not run the request.
    bool dropsResponses = false; ///< Runs the request and closes the connection.
};

/// Stand-in for an upstream that speaks as the platform's do, and counts what it runs.
class PlatformUpstream
{
public:
    PlatformUpstream(boost::asio::io_context &context, std::string id, const std::string &vm);

    std::string address() const;

    UpstreamBehaviour behaviour;
    std::int64_t startTimeMs = 1; ///< Start of its run, as its entry says.
    std::map<std::string, unsigned> runs; ///< By request id.
    std::map<std::string, std::string> callerServices; ///< By request id.
    const std::string id;

private:
    boost::asio::awaitable<StandIns::HttpResponse> answer(const StandIns::HttpRequest &request);

    boost::asio::io_context &context;
    StandIns::HttpServer server;
};

/// What a caller saw of one request.
struct CallResult
{
    StandIns::ExchangeEnd end = StandIns::ExchangeEnd::Complete;
    unsigned status = 0;
    bool isSigned = false; ///< By an upstream.
    std::string echoedId;
    std::string body;
};

/// Nodes as real processes on loopback addresses, one upstream beside each, and a store that names them.
///
/// Services `front` and `back` have the upstreams by turns; `/read/` is idempotent and `/write/` is not, both lead to `back`.
class PlatformFleet
{
public:
    /// A path that leads through a relay which fails on command.
    enum class Path : std::uint8_t {
        Peers, ///< From the other nodes to this one.
        Registry, ///< From this node to the store.
        Upstream, ///< From this node to its upstream.
        Callers, ///< From callers to this node.
    };
    static constexpr unsigned pathCount = 4;

    explicit PlatformFleet(unsigned nodes);

    /// Starts the node, or starts it again.
    void startNode(unsigned node);

    /// Waits until the node is ready.
    /// @return false after 20 s
    bool waitUntilReady(unsigned node);

    /// Sends a request to a node.
    boost::asio::awaitable<CallResult> send(
        unsigned node, std::string method, std::string target, std::string id, std::chrono::milliseconds timeout);

    /// Applies a fault to a path of a node. It holds for new connections as well, unless `existingOnly`.
    void setPathFault(unsigned node, Path path, const StandIns::PathFault &fault, bool existingOnly);

    /// Takes connections on a path, or resets all and refuses new ones.
    void setPathAccepting(unsigned node, Path path, bool accepting);

    /// Resets the open connections of a path.
    void resetPath(unsigned node, Path path);

    /// Writes the configuration again with a new version and another prefix for `/read/`.
    void publishConfig(const std::string &readPrefix);

    /// Writes the entry of a node's upstream.
    void publishEntry(unsigned node, const std::string &state);

    /// @return runs of a request at all upstreams together
    unsigned runCount(const std::string &id) const;

    /// Runs the loop for a while.
    void runFor(std::chrono::milliseconds time);

    /// @return upstreams of `back`, by index of their node
    std::vector<unsigned> backNodes() const;

    boost::asio::io_context context;
    RegistryStandIn registry;
    std::vector<std::unique_ptr<PlatformUpstream>> upstreams; ///< By node.
    std::vector<std::unique_ptr<ChildProcess>> processes; ///< By node.

private:
    std::string vmAddress(unsigned node) const;
    std::string directAddress(unsigned node, unsigned offset) const;
    void addRelays(unsigned node);

    TemporaryFolder folder;
    unsigned nodeCount;
    std::uint64_t version = 1;
    std::uint64_t sequence = 1;
    std::uint16_t basePort;
    std::vector<std::vector<std::unique_ptr<StandIns::Relay>>> relays; ///< By node and path.
};

} // namespace Galenarack
