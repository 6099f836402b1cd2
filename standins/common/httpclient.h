#pragma once

#include <standins/common/network.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Galenarack::StandIns {

/// Outcome of an HTTP exchange.
enum class ExchangeEnd : std::uint8_t {
    Complete, ///< The whole response was received.
    ConnectFailed, ///< No connection was established.
    ConnectionLost, ///< The connection failed before the first byte of a response.
    ResponseCut, ///< The connection failed after part of a response.
    Timeout, ///< The exchange exceeded its timeout.
};

/// @return the name of `end`: "complete", "connect-failed", "connection-lost", "response-cut" or "timeout"
std::string_view exchangeEndName(ExchangeEnd end);

/// Result of one request.
struct Exchange
{
    ExchangeEnd end = ExchangeEnd::Complete;
    HttpResponse response; ///< Valid only if `end` is Complete.
};

/// HTTP/1.1 client for one server with a pool of keep-alive connections. A connection is closed after an incomplete exchange.
class HttpClient
{
public:
    HttpClient(boost::asio::io_context &context, Tcp::endpoint server);

    /// Sends a request and waits for the response. Reuses an idle connection if there is one.
    /// @param timeout limit for the whole exchange, including the connection setup
    boost::asio::awaitable<Exchange> exchange(HttpRequest request, std::chrono::milliseconds timeout);

    const Tcp::endpoint &server() const
    {
        return this->endpoint;
    }

private:
    struct Connection
    {
        boost::beast::tcp_stream stream;
        boost::beast::flat_buffer buffer;
    };
    using ConnectionPointer = std::unique_ptr<Connection>;

    /// Removes an idle connection from the pool and discards those that the server has closed.
    /// @return the connection, or null if none is usable
    ConnectionPointer popIdleConnection();

    boost::asio::io_context &context;
    Tcp::endpoint endpoint;
    std::vector<ConnectionPointer> idle;
};

/// @return the string member `name` of the JSON object in `text`; empty if `text` is not an object or has no such string
std::string jsonStringMember(std::string_view text, const char *name);

} // namespace Galenarack::StandIns
