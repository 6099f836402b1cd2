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

/// Status of a peer according to its last hello, heartbeat or response.
struct PeerView
{
    Incarnation incarnation;
    std::uint64_t revision = 0; ///< Highest document revision reported by this incarnation.
    bool leaving = false;
    std::int64_t clockMs = 0; ///< Clock value from which the peer's clock is estimated, in milliseconds.
    TimePoint clockReceived; ///< Time at which `clockMs` was received, in this node's clock.

    /// Estimates the peer's clock in milliseconds. The estimate lags the true value by the delay of the message and a margin
    /// for drift, so an expiry computed from it is early and never late.
    std::int64_t estimateClockMs(TimePoint now) const;
};

/// Response of a peer, with the incarnation of the peer that the request was addressed to.
struct PeerReply
{
    PeerResponse response;
    Incarnation incarnation;
};

/// Persistent connections to other nodes, opened on demand.
class PeerClient
{
public:
    /// Time between two heartbeats. Each goes to the next connection in turn, so their cost does not grow with the fleet.
    static constexpr Duration heartbeatPace = std::chrono::seconds(1);

    /// @param ownReport makes the report of this node that is sent in a hello
    /// @param reportReceived is called with each report of a peer
    /// @param paths receives what the connections show about the network paths; must outlive the client
    PeerClient(boost::asio::any_io_executor executor,
               NodeIdentity identity,
               PeerLimits limits,
               std::function<NodeReport()> ownReport,
               std::function<void(const NodeReport &)> reportReceived,
               PathTable &paths);

    /// Sets the address on which the node of a VM listens. A changed address closes the old connection.
    void setAddress(const std::string &vm, const boost::asio::ip::tcp::endpoint &address);

    /// @return the status of the node, or null before its first hello
    const PeerView *view(const std::string &vm) const;

    /// Connects to the node of a VM unless a usable connection exists.
    /// @return the status of the node, or PeerUnreachable when no connection is established before `deadline`
    boost::asio::awaitable<absl::StatusOr<PeerView>> connect(const std::string &vm, TimePoint deadline);

    /// Sends one request over the persistent connection, which is opened when needed.
    /// @param makeRequest builds the request from the status of the node, once the connection is established
    /// @param cancellation may be null
    /// @return as PeerSession::request(); also PeerUnreachable when no connection could be established
    boost::asio::awaitable<absl::StatusOr<PeerReply>> request(const std::string &vm,
                                                              std::function<PeerRequest(const PeerView &)> makeRequest,
                                                              TimePoint deadline,
                                                              std::shared_ptr<Cancellation> cancellation = nullptr);

    /// Updates the estimate of a peer's clock from a clock value that was received with a response.
    void updateClock(const std::string &vm, std::int64_t clockMs, TimePoint now);

    /// Checks that all connections are alive, tries to reconnect to one unreachable node and sends a heartbeat when due. Call
    /// it every 100 ms.
    void tick(TimePoint now);

    /// @return the number of open connections
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
    std::string reconnectCursor; ///< VM of the last reconnect attempt; the next attempt goes to the next unreachable VM by name.
    std::string heartbeatCursor; ///< VM that was sent the last heartbeat; the next one goes to the next connected VM by name.
    TimePoint lastTick;
    TimePoint lastHeartbeat;
    Log log;
};

} // namespace Galenarack
