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

/// Bounds of the callers' port.
struct IngressLimits
{
    std::size_t connections = 4096;
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    Duration idleTimeout = std::chrono::seconds(60); ///< Between two requests of a connection.
    Duration transferTimeout = std::chrono::seconds(10); ///< For reading a request and for writing a response.
    Duration discardTimeout = std::chrono::seconds(2); ///< For what a refused caller is still sending.
};

/// The callers' port: HTTP/1.1 with kept connections.
class IngressServer
{
public:
    IngressServer(boost::asio::any_io_executor executor, IngressLimits limits, RequestForwarder &forwarder);

    /// Binds and starts to accept.
    /// @return SettingInvalid when the address cannot be bound
    absl::Status listen(const boost::asio::ip::tcp::endpoint &address);

    /// @return the address that is bound, with the port that the system chose when 0 was asked for
    boost::asio::ip::tcp::endpoint address() const;

    /// From now on each response says `Connection: close`; idle connections are closed after a moment, so that their
    /// callers see it between two requests. New connections are still answered, until stop().
    void drain();

    /// Accepts no more connections.
    void stop();

    /// @return open connections
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
    /// Reads what the caller is still sending. Closing with unread bytes would reset the connection, and the caller could
    /// lose the response that says why it was refused.
    boost::asio::awaitable<void> discardRest(Connection &connection);
    boost::asio::awaitable<bool> writeResponse(Connection &connection, PeerResponse response, bool keepAlive, bool isHead);

    boost::asio::any_io_executor executor;
    IngressLimits limits;
    RequestForwarder &forwarder;
    Listener listener;
    std::list<Connection *> openConnections;
    std::size_t connections = 0;
    std::size_t refusedConnections = 0; ///< Above the limit, being told so.
    bool draining = false;
    Log log;
};

} // namespace Galenarack
