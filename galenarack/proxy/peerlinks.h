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

/// Connections between the nodes of a fleet: one kept HTTP/2 connection to each node that gets work, opened on demand, and
/// the connections that other nodes opened to this one.
class PeerLinks
{
public:
    /// @param port on which every node of the fleet listens for the others
    /// @param handler answers the requests of other nodes
    PeerLinks(const boost::asio::any_io_executor &executor, std::uint16_t port, PeerHandler handler);

    /// Binds and starts to accept.
    /// @return SettingInvalid when the address cannot be bound
    absl::Status listen(const boost::asio::ip::tcp::endpoint &address);

    /// Sends a request to the node of a VM and waits for the response. Its body is held back until the node asks for it.
    /// @param progress must outlive the call
    /// @return as PeerSession::requestWhenAsked(); PeerUnreachable when there is no connection, so nothing was sent
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> exchange(boost::asio::ip::address vm,
                                                                  PeerRequest request,
                                                                  TimePoint deadline,
                                                                  std::shared_ptr<Cancellation> cancellation,
                                                                  PeerProgress &progress);

    /// Checks all connections for silence. Call it every 100 ms.
    void tick(TimePoint now);

    /// Accepts no more connections.
    void stop();

    /// @return connections that this node opened
    std::size_t connectionCount() const
    {
        return this->links.size();
    }

private:
    /// The connection to one node.
    struct Link
    {
        explicit Link(const boost::asio::any_io_executor &executor)
            : connected(executor, boost::asio::steady_timer::time_point::max())
        {
        }
        std::shared_ptr<PeerSession> session;
        bool isConnecting = false;
        boost::asio::steady_timer connected; ///< Cancelled when an attempt to connect has ended.
    };

    boost::asio::awaitable<std::shared_ptr<PeerSession>> acquireSession(const boost::asio::ip::address &vm);
    boost::asio::awaitable<std::shared_ptr<PeerSession>> connect(const boost::asio::ip::address &vm);
    void accept(boost::asio::ip::tcp::socket socket);

    boost::asio::any_io_executor executor;
    std::uint16_t port;
    PeerHandler handler;
    Listener listener;
    std::map<boost::asio::ip::address, std::shared_ptr<Link>> links;
    std::vector<std::shared_ptr<PeerSession>> drainingSessions; ///< Silent connections with requests that may still end.
    std::vector<std::weak_ptr<PeerSession>> accepted;
    TimePoint lastTick;
    Log log{"peer"};
};

} // namespace Galenarack
