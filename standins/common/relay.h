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

/// Fault injected into a network path. "Forward" is the direction from the connecting side to the target.
struct PathFault
{
    bool forwardSilent = false; ///< Nothing is delivered to the target; bytes of a TCP connection stay queued until this is cleared.
    bool backwardSilent = false; ///< Same as forwardSilent, for the direction from the target.
    std::chrono::microseconds delay{0}; ///< Latency added in each direction.
};

class RelayConnection;

/// Relays TCP connections, and optionally UDP datagrams on the same port number, with injected faults.
/// Not thread-safe: used only from the thread that runs its io_context.
class Relay
{
public:
    /// @param listen address to listen on; port 0 selects a free port
    /// @param withDatagrams whether to relay UDP too; datagrams of a silent direction are dropped
    Relay(boost::asio::io_context &context, Tcp::endpoint listen, Tcp::endpoint target, bool withDatagrams);
    ~Relay();
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Applies a fault to every open connection and, unless `existingOnly`, to datagrams and new connections.
    void setFault(const PathFault &fault, bool existingOnly);

    /// Closes every open connection with a TCP reset.
    void closeConnections();

    /// Sets whether new connections are accepted or refused.
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
