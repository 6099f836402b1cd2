#pragma once

#include <galenarack/core/listener.h>
#include <galenarack/core/log.h>
#include <galenarack/peer/peersession.h>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace Galenarack {

/// Connections between the nodes of a fleet: one persistent HTTP/2 connection to each node that this one sends requests to,
/// opened on demand, and the connections that other nodes opened to this one.
class PeerLinks
{
public:
    /// @param port on which every node of the fleet listens for its peers
    /// @param bodyBytes maximum size of all bodies in transit between this node and its peers, in bytes
    /// @param handler called for each request of a peer
    PeerLinks(const boost::asio::any_io_executor &executor, std::uint16_t port, std::size_t bodyBytes, PeerHandler handler);

    /// Binds to an address and starts to accept connections.
    /// @return SettingInvalid when the address cannot be bound
    absl::Status listen(const boost::asio::ip::tcp::endpoint &address);

    /// Sends a request to the node of a VM and waits for the response. The body is sent only once the node asks for it.
    /// @param progress must outlive the call
    /// @return as PeerSession::requestWithExpectContinue(); PeerUnreachable when there is no connection, so nothing was sent
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> exchange(boost::asio::ip::address vm,
                                                                  PeerRequest request,
                                                                  TimePoint deadline,
                                                                  std::shared_ptr<Cancellation> cancellation,
                                                                  PeerProgress &progress);

    /// Checks that the peers to which this node has connected respond, and closes replaced connections once they are idle.
    /// Call it every 100 ms.
    void tick(TimePoint now);

    /// Stops accepting connections.
    void stop();

    /// @return whether a call of another node has not been answered, or its response not been written to the socket yet
    bool isAnswering() const;

    /// @return number of nodes that this node has connected, or tried to connect, to
    std::size_t connectionCount() const
    {
        return this->links.size();
    }

private:
    /// Connection to one node.
    struct Link
    {
        explicit Link(const boost::asio::any_io_executor &executor)
            : connected(executor, boost::asio::steady_timer::time_point::max())
        {
        }
        std::shared_ptr<PeerSession> session; ///< Null when there is no connection.
        bool isConnecting = false;
        boost::asio::steady_timer connected; ///< Cancelled when an attempt to connect has ended.
    };

    boost::asio::awaitable<std::shared_ptr<PeerSession>> acquireSession(const boost::asio::ip::address &vm);
    boost::asio::awaitable<std::shared_ptr<PeerSession>> connect(const boost::asio::ip::address &vm);
    void accept(boost::asio::ip::tcp::socket socket);

    boost::asio::any_io_executor executor;
    std::uint16_t port;
    PeerLimits limits; ///< Limits of each connection; their budget is shared by all connections.
    PeerHandler handler;
    Listener listener;
    std::map<boost::asio::ip::address, std::shared_ptr<Link>> links;
    /// Replaced connections whose peer was unresponsive; requests in progress on them may still end.
    std::vector<std::shared_ptr<PeerSession>> drainingSessions;
    std::vector<std::weak_ptr<PeerSession>> accepted; ///< Connections opened by peers.
    TimePoint lastTick;
    Log log{"peer"};
};

} // namespace Galenarack
