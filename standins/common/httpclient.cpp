#include <standins/common/httpclient.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

#include <sys/socket.h>

namespace Galenarack::StandIns {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t bodyLimit = std::size_t(8) << 20;

} // namespace

std::string_view exchangeEndName(ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::Complete:
        return "complete";
    case ExchangeEnd::ConnectFailed:
        return "connect-failed";
    case ExchangeEnd::ConnectionLost:
        return "connection-lost";
    case ExchangeEnd::ResponseCut:
        return "response-cut";
    case ExchangeEnd::Timeout:
        return "timeout";
    }
    return "";
}

HttpClient::HttpClient(asio::io_context &context, Tcp::endpoint server)
    : context(context)
    , endpoint(std::move(server))
{
}

asio::awaitable<Exchange> HttpClient::exchange(HttpRequest request, std::chrono::milliseconds timeout)
{
    Exchange result;
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    ConnectionPointer connection = this->popIdleConnection();
    if (!connection) {
        connection = std::make_unique<Connection>(Connection{boost::beast::tcp_stream(this->context), {}});
        connection->stream.expires_at(deadline);
        const auto [error] = co_await connection->stream.async_connect(this->endpoint, asTuple);
        if (error) {
            result.end = error == boost::beast::error::timeout ? ExchangeEnd::Timeout : ExchangeEnd::ConnectFailed;
            co_return result;
        }
        connection->stream.socket().set_option(Tcp::no_delay(true));
    }
    connection->stream.expires_at(deadline);
    if (request[http::field::host].empty()) {
        request.set(http::field::host, endpointText(this->endpoint));
    }
    request.prepare_payload();
    // A write error is ignored, as the server may have sent a response before it closed the connection.
    co_await http::async_write(connection->stream, request, asTuple);
    http::response_parser<http::string_body> parser;
    parser.body_limit(bodyLimit);
    const auto [error, bytes] = co_await http::async_read(connection->stream, connection->buffer, parser, asTuple);
    if (error) {
        const bool timedOut = error == boost::beast::error::timeout;
        const ExchangeEnd broken = parser.got_some() ? ExchangeEnd::ResponseCut : ExchangeEnd::ConnectionLost;
        result.end = timedOut ? ExchangeEnd::Timeout : broken;
        co_return result;
    }
    result.response = parser.release();
    if (result.response.keep_alive()) {
        connection->stream.expires_never();
        this->idle.push_back(std::move(connection));
    }
    co_return result;
}

HttpClient::ConnectionPointer HttpClient::popIdleConnection()
{
    while (!this->idle.empty()) {
        ConnectionPointer connection = std::move(this->idle.back());
        this->idle.pop_back();
        char byte = 0;
        const ssize_t size = ::recv(connection->stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        // The connection is reusable if it is open and has no unsolicited bytes to read.
        if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return connection;
        }
    }
    return nullptr;
}

std::string jsonStringMember(std::string_view text, const char *name)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains(name) || !json[name].is_string()) {
        return {};
    }
    return json[name].get<std::string>();
}

} // namespace Galenarack::StandIns
