#pragma once

#include <standins/common/network.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <chrono>
#include <map>
#include <memory>
#include <set>

namespace Galenarack::StandIns {

/// Fault of a path in both directions. "Forward" is from the connecting side to the target.
struct PathFault
{
    bool forwardSilent = false; ///< Bytes are kept and delivered only when the direction is no longer silent.
    bool backwardSilent = false;
    std::chrono::microseconds delay{0}; ///< Added in each direction.
};

class RelayConnection;

/// Relay for TCP connections, and for datagrams on the same port number, that fails on command.
/// It lives on one io_context and is used from its thread only.
class Relay
{
public:
    /// @param listen port 0 takes a free port
    /// @param withDatagrams also relays UDP; datagrams of a silent direction are dropped
    Relay(boost::asio::io_context &context, Tcp::endpoint listen, Tcp::endpoint target, bool withDatagrams);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Applies a fault to every open connection and, unless `existingOnly`, to datagrams and new connections.
    void setFault(const PathFault &fault, bool existingOnly);

    /// Closes every open connection with a reset.
    void closeConnections();

    /// Refuses new connections while `accepting` is false.
    void setAccepting(bool accepting);

    const Tcp::endpoint &address() const
    {
        return this->listenEndpoint;
    }
    std::size_t openConnections() const
    {
        return this->connections.size();
    }
    std::uint64_t acceptedConnections() const
    {
        return this->accepted;
    }

private:
    using Udp = boost::asio::ip::udp;
    using ConnectionPointer = std::shared_ptr<RelayConnection>;
    using DatagramSocket = std::shared_ptr<Udp::socket>;

    boost::asio::awaitable<void> acceptLoop(std::shared_ptr<Tcp::acceptor> acceptor);
    boost::asio::awaitable<void> runConnection(ConnectionPointer connection);
    boost::asio::awaitable<void> relayDatagrams(DatagramSocket socket);
    boost::asio::awaitable<void> relayReplies(DatagramSocket socket, Udp::endpoint client);
    void sendAfterDelay(const DatagramSocket &socket, std::string datagram, const Udp::endpoint &receiver);
    DatagramSocket socketFor(const Udp::endpoint &client);

    boost::asio::io_context &context;
    Tcp::endpoint listenEndpoint;
    Tcp::endpoint targetEndpoint;
    PathFault fault;
    std::shared_ptr<Tcp::acceptor> acceptor;
    std::set<ConnectionPointer> connections;
    std::uint64_t accepted = 0;
    DatagramSocket datagramSocket;
    std::map<Udp::endpoint, DatagramSocket> datagramClients;
};

} // namespace Galenarack::StandIns
