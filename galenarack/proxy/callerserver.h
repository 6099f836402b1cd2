#pragma once

#include <galenarack/core/bytebudget.h>
#include <galenarack/core/cancellation.h>
#include <galenarack/core/errorkind.h>
#include <galenarack/core/listener.h>
#include <galenarack/core/log.h>
#include <galenarack/fleet/trafficconfig.h>
#include <galenarack/ingress/requestforwarder.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace Galenarack {

/// HTTP/1.1 server for callers, with persistent connections and pipelining. Requests of one connection run concurrently;
/// their responses are sent in the order of the requests.
class CallerServer
{
public:
    /// Handles one request and returns its response.
    using Handler = std::function<boost::asio::awaitable<PeerResponse>(CallerRequest, std::shared_ptr<Cancellation> cancellation)>;

    /// @param limits returns the limits currently in force
    /// @param bodyBytes maximum size of the bodies of all requests in progress together, in bytes; a request whose body does not fit is
    ///                  refused as overloaded, before its body is received if it has a length
    /// @param handler called for each request
    CallerServer(boost::asio::any_io_executor executor, std::function<CallerLimits()> limits, std::size_t bodyBytes, Handler handler);

    /// Binds to an address and starts to accept connections.
    /// @return SettingInvalid when the address cannot be bound
    absl::Status listen(const boost::asio::ip::tcp::endpoint &address);

    /// Closes connections that are idle, or slow to send a request, for longer than the limits allow, and those whose caller takes over
    /// 15 s to receive a response. Call it every 100 ms.
    void tick(TimePoint now);

    /// Called when the node is leaving: from now on each connection is closed after its last pending response.
    void drain();

    /// Stops accepting connections. From then on, tick() closes the connections on which no request has arrived for a short
    /// time.
    void stop();

    /// @return the local address with the bound port
    boost::asio::ip::tcp::endpoint address() const
    {
        return this->listener.address();
    }

    /// @return number of open connections
    std::size_t connectionCount() const
    {
        return this->connections.size();
    }

    /// @return number of requests whose response has not been sent, including those received in part
    std::size_t pending() const;

private:
    struct Connection;
    struct Pending;
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void accept(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> readLoop(std::shared_ptr<Connection> connection);
    /// Receives one request.
    /// @param reservation takes the size of its body
    /// @return no_buffer_space when the body does not fit beside those of other requests
    boost::asio::awaitable<boost::beast::error_code> readRequest(Connection &connection, Parser &parser, ByteReservation &reservation);
    boost::asio::awaitable<boost::beast::error_code> readBody(Connection &connection, Parser &parser, ByteReservation &reservation);
    /// Reads and drops what the caller sends until the connection ends.
    boost::asio::awaitable<void> skipInput(Connection &connection);
    boost::asio::awaitable<void> answer(std::shared_ptr<Connection> connection, std::shared_ptr<Pending> pending, CallerRequest request);
    boost::asio::awaitable<void> writeLoop(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> discardUnread(std::shared_ptr<Connection> connection);
    /// Cancels the requests whose responses have not been sent.
    static void cancelUnanswered(const Connection &connection);
    void enqueue(const std::shared_ptr<Connection> &connection, std::shared_ptr<Pending> pending);
    void refuse(const std::shared_ptr<Connection> &connection, ErrorKind kind, const std::string &detail);
    void close(Connection &connection);

    boost::asio::any_io_executor executor;
    std::function<CallerLimits()> limits;
    std::shared_ptr<ByteBudget> bodies; ///< Bodies of the requests in progress. Requests share it, since they may end later.
    Handler handler;
    Listener listener;
    std::list<std::shared_ptr<Connection>> connections;
    bool draining = false;
    std::optional<TimePoint> stoppedAt; ///< Time of stop(), if it was called.
    Log log{"callers"};
};

} // namespace Galenarack
