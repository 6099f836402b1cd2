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

/// Numbers of datagrams and bytes sent and received by one node. Bytes include IP and UDP headers.
struct GossipTraffic
{
    std::uint64_t sentDatagrams = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedDatagrams = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t dropped = 0; ///< Datagrams received but malformed, of another fleet or version, or not from the stated address.
    std::uint64_t sendFailures = 0; ///< Datagrams not sent, e.g. because the socket buffer was full or there is no route.
};

/// Sends and receives the messages of a GossipSystem over one UDP socket.
class GossipTransport
{
public:
    /// Binds to the peer address of this node.
    /// @param system must outlive the transport
    /// @param fleet name of the fleet; datagrams of other fleets are dropped
    /// @throws boost::system::system_error when the address cannot be bound
    GossipTransport(boost::asio::io_context &context, GossipSystem &system, std::string fleet, const boost::asio::ip::udp::endpoint &local);

    /// Starts to receive datagrams and to call GossipSystem::tick() every tickPeriod, until stop().
    void start();

    /// Closes the socket and ends the receive and tick loops.
    void stop();

    /// Sends messages that the system returned outside of a tick, e.g. from GossipSystem::applyVmList().
    void send(const std::vector<GossipDelivery> &deliveries);

    /// @return the local endpoint with the bound port
    boost::asio::ip::udp::endpoint localEndpoint() const;

    /// @return totals since the start
    const GossipTraffic &traffic() const
    {
        return this->totals;
    }

    static constexpr Duration tickPeriod = std::chrono::milliseconds(100); ///< Time between two ticks.
    static constexpr Duration dropLogPeriod = std::chrono::seconds(10); ///< Minimum time between two log lines about dropped datagrams.

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
