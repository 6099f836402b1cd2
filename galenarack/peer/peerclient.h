#pragma once

#include <galenarack/core/log.h>
#include <galenarack/core/nodeidentity.h>
#include <galenarack/health/pathtable.h>
#include <galenarack/peer/peercontrol.h>
#include <galenarack/peer/peersession.h>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Galenarack {

/// What is known about a peer from its last hello, heartbeat or response.
struct PeerView
{
    Incarnation incarnation;
    std::uint64_t revision = 0;
    bool leaving = false;
    std::int64_t clockMs = 0; ///< The peer's clock in its last message.
    TimePoint clockReceived; ///< When that message came in, in this node's clock.

    /// Estimates the peer's clock. It lags the true value by the delay of the message and a margin for drift,
    /// so an expiry computed from it comes early and never late.
    std::int64_t estimateClockMs(TimePoint now) const;
};

/// Result of a request that a peer answered, with the peer's run it was addressed to.
struct PeerReply
{
    PeerResponse response;
    Incarnation incarnation;
};

/// Kept connections to other nodes, opened on demand.
class PeerClient
{
public:
    /// Heartbeats are sent on one connection after the other at this pace, so their cost does not grow with the fleet.
    static constexpr Duration heartbeatPace = std::chrono::seconds(1);

    /// @param ownReport makes the report sent in hello and heartbeats
    /// @param reportReceived is told of each report of a peer, with its VM name
    /// @param paths takes what connections show about the paths; must outlive the client
    PeerClient(boost::asio::any_io_executor executor,
               NodeIdentity identity,
               PeerLimits limits,
               std::function<NodeReport()> ownReport,
               std::function<void(const NodeReport &)> reportReceived,
               PathTable &paths);

    /// Tells where the node of a VM listens. A changed address closes the old connection.
    void setAddress(const std::string &vm, const boost::asio::ip::tcp::endpoint &address);

    /// @return what is known about the node, or null before its first hello
    const PeerView *view(const std::string &vm) const;

    /// @return the connected node's view, after connecting when needed
    /// @return PeerUnreachable when no connection can be had before `deadline`
    boost::asio::awaitable<absl::StatusOr<PeerView>> connect(const std::string &vm, TimePoint deadline);

    /// Sends one request over the kept connection, which is opened when needed.
    /// @param makeRequest builds the request from the view of the node, after the connection stands
    /// @return as PeerSession::request(); PeerUnreachable when no connection could be had
    /// @param cancellation may be null
    boost::asio::awaitable<absl::StatusOr<PeerReply>> request(const std::string &vm,
                                                              std::function<PeerRequest(const PeerView &)> makeRequest,
                                                              TimePoint deadline,
                                                              std::shared_ptr<Cancellation> cancellation = nullptr);

    /// Takes a clock value that came with a response.
    void updateClock(const std::string &vm, std::int64_t clockMs, TimePoint now);

    /// Checks all connections for silence, sends due heartbeats and tries one path that cannot be used. Call it every 100 ms.
    void tick(TimePoint now);

    /// @return open connections
    std::size_t connectionCount() const;

private:
    struct Link;

    boost::asio::awaitable<absl::Status> ensureConnected(std::shared_ptr<Link> link, TimePoint deadline);
    boost::asio::awaitable<absl::Status> openConnection(std::shared_ptr<Link> link);
    boost::asio::awaitable<absl::Status> sendHello(std::shared_ptr<Link> link, std::shared_ptr<PeerSession> session);
    boost::asio::awaitable<void> sendHeartbeat(std::shared_ptr<Link> link);
    void applyReport(Link &link, const NodeReport &report);
    void sendDueHeartbeats(TimePoint now);
    void observePath(Link &link, TimePoint now);
    void reconnectOne(TimePoint now);

    boost::asio::any_io_executor executor;
    NodeIdentity identity;
    PeerLimits limits;
    std::function<NodeReport()> ownReport;
    std::function<void(const NodeReport &)> reportReceived;
    std::map<std::string, std::shared_ptr<Link>, std::less<>> links;
    PathTable &paths;
    std::string reconnectCursor; ///< VM that was reconnected last; the next one in order is due.
    std::string heartbeatCursor; ///< VM that got the last heartbeat; the next one in order is due.
    TimePoint lastTick;
    TimePoint lastHeartbeat;
    Log log;
};

} // namespace Galenarack
