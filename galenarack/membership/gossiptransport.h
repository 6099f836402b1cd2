#pragma once

#include <galenarack/core/log.h>
#include <galenarack/membership/gossipsystem.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace Galenarack {

/// Datagrams and bytes of one node, headers included.
struct GossipTraffic
{
    std::uint64_t sentDatagrams = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t dropped = 0; ///< Received but garbage, foreign, of another version or from another address than stated.
    std::uint64_t sendFailures = 0; ///< Not sent because the socket buffer was full or the address has no route.
};

/// Sends and receives the messages of a GossipSystem over one UDP socket.
class GossipTransport
{
public:
    /// Binds to the peer address of this node.
    /// @param system outlives the transport
    /// @throws boost::system::system_error when the address cannot be bound
    GossipTransport(boost::asio::io_context &context, GossipSystem &system, std::string fleet, const boost::asio::ip::udp::endpoint &local);

    /// Starts to receive and to tick every tickPeriod until stop().
    void start();

    /// Closes the socket; both coroutines end.
    void stop();

    /// Sends messages that the system returned outside of a tick.
    void send(const std::vector<GossipDelivery> &deliveries);

    /// @return the local endpoint, with the port that was bound
    boost::asio::ip::udp::endpoint localEndpoint() const;

    /// @return totals since the start
    const GossipTraffic &traffic() const
    {
        return this->totals;
    }

    static constexpr Duration tickPeriod = std::chrono::milliseconds(100);
    static constexpr Duration dropLogPeriod = std::chrono::seconds(10); ///< At most one line about dropped datagrams each.

private:
    boost::asio::awaitable<void> receiveLoop();
    boost::asio::awaitable<void> tickLoop();
    void handle(std::string_view datagram, const boost::asio::ip::udp::endpoint &source);
    void drop(std::string_view reason, const boost::asio::ip::udp::endpoint &source);

    GossipSystem &system;
    std::string fleet;
    boost::asio::ip::udp::socket socket;
    boost::asio::steady_timer timer;
    Log log{"membership"};
    GossipTraffic totals;
    std::uint64_t droppedAtLastLog = 0;
    std::optional<TimePoint> lastDropLog;
    bool stopped = false;
};

} // namespace Galenarack
