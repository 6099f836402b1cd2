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

/// How an exchange ended.
enum class ExchangeEnd : std::uint8_t {
    Complete, ///< The whole response was received.
    ConnectFailed,
    ConnectionLost, ///< No byte of a response was received.
    ResponseCut, ///< Part of a response was received.
    Timeout,
};

/// @return "complete", "connect-failed", "connection-lost", "response-cut" or "timeout"
std::string_view exchangeEndName(ExchangeEnd end);

/// One request with what came back.
struct Exchange
{
    ExchangeEnd end = ExchangeEnd::Complete;
    HttpResponse response; ///< Valid when complete.
};

/// Keep-alive connections to one server. A connection is closed after an exchange that was not complete.
class HttpClient
{
public:
    HttpClient(boost::asio::io_context &context, Tcp::endpoint server);

    /// Sends a request and waits for the response, over an idle connection if there is one.
    /// @param timeout for the whole exchange
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

    /// @return an idle connection that the server has not closed, or null
    ConnectionPointer popIdleConnection();

    boost::asio::io_context &context;
    Tcp::endpoint endpoint;
    std::vector<ConnectionPointer> idle;
};

/// Member `name` of a JSON object in text form; empty when the text is no object or lacks a string of that name.
std::string jsonStringMember(std::string_view text, const char *name);

} // namespace Galenarack::StandIns
