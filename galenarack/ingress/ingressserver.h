#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/core/listener.h>
#include <galenarack/core/log.h>
#include <galenarack/ingress/requestforwarder.h>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <list>
#include <memory>

namespace Galenarack {

/// Limits of the connections from callers and of the requests on them.
struct IngressLimits
{
    std::size_t connections = 4096; ///< Maximum number of open connections.
    std::size_t headerBytes = 16 * 1024; ///< Maximum size of a request's header section, in bytes.
    std::size_t bodyBytes = 1024 * 1024; ///< Maximum size of a request's body, in bytes.
    Duration idleTimeout = std::chrono::seconds(60); ///< Longest wait for the header section of the next request.
    Duration transferTimeout = std::chrono::seconds(10); ///< Time-out of reading a body and of writing a response.
    Duration discardTimeout = std::chrono::seconds(2); ///< Longest time to read and discard what a refused caller still sends.
};

/// HTTP/1.1 server for callers, with persistent connections.
class IngressServer
{
public:
    IngressServer(boost::asio::any_io_executor executor, IngressLimits limits, RequestForwarder &forwarder);

    /// Binds the address and starts to accept connections.
    /// @return SettingInvalid when the address cannot be bound
    absl::Status listen(const boost::asio::ip::tcp::endpoint &address);

    /// @return the bound address, with the port that the system assigned if port 0 was requested
    boost::asio::ip::tcp::endpoint address() const;

    /// From now on ends each connection after its next response, which carries `Connection: close`. Idle connections stay
    /// open and new ones are accepted until stop().
    void drain();

    /// Stops accepting connections and closes the idle ones, whose callers are between two requests.
    void stop();

    /// @return number of open connections
    std::size_t connectionCount() const
    {
        return this->connections;
    }

private:
    struct Connection;

    void accept(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> serveRequest(Connection &connection);
    boost::asio::awaitable<PeerResponse> answer(Connection &connection, CallerRequest request);
    /// Reads and discards what the caller is still sending. Closing a socket with unread bytes resets the connection, and the
    /// caller could lose the response that states why the request was refused.
    boost::asio::awaitable<void> discardRest(Connection &connection);
    boost::asio::awaitable<bool> writeResponse(Connection &connection, PeerResponse response, bool keepAlive, bool isHead);

    boost::asio::any_io_executor executor;
    IngressLimits limits;
    RequestForwarder &forwarder;
    Listener listener;
    std::list<Connection *> openConnections;
    std::size_t connections = 0; ///< Number of open connections, without refused ones.
    std::size_t refusedConnections = 0; ///< Number of connections above the limit that are being sent a refusal.
    bool draining = false; ///< Whether responses carry `Connection: close`.
    Log log;
};

} // namespace Galenarack
