#include <galenarack/ingress/ingressserver.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/scopeguard.h>
#include <galenarack/ingress/callermessage.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/parse.hpp>

#include <algorithm>
#include <array>

namespace Galenarack {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view controlPrefix = "/.galenarack/";
constexpr std::string_view keysPath = "/.galenarack/keys";

/// Maximum number of connections above the limit that are sent a refusal at the same time; further ones are closed without a
/// response.
constexpr std::size_t maxRefusedConnections = 64;

/// @return the decoded value of a query parameter; empty when it is absent or the target is malformed
std::string queryParameter(std::string_view target, std::string_view name)
{
    const auto url = boost::urls::parse_origin_form(target);
    if (!url) {
        return {};
    }
    const auto parameters = url->params();
    const auto entry = parameters.find(name);
    return entry == parameters.end() ? std::string() : std::string((*entry).value);
}

} // namespace

/// One connection of a caller.
struct IngressServer::Connection
{
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool idle = false; ///< Whether the connection waits for the header section of a request.
};

IngressServer::IngressServer(asio::any_io_executor executor, IngressLimits limits, RequestForwarder &forwarder)
    : executor(std::move(executor))
    , limits(limits)
    , forwarder(forwarder)
    , listener(this->executor,
               [this](asio::ip::tcp::socket socket) {
                   this->accept(std::move(socket));
               })
    , log("ingress")
{
}

absl::Status IngressServer::listen(const asio::ip::tcp::endpoint &address)
{
    return this->listener.listen(address, "caller_address");
}

asio::ip::tcp::endpoint IngressServer::address() const
{
    return this->listener.address();
}

void IngressServer::drain()
{
    this->draining = true;
}

void IngressServer::stop()
{
    this->listener.stop();
    for (Connection *connection : this->openConnections) {
        if (connection->idle) {
            connection->stream.close();
        }
    }
}

void IngressServer::accept(asio::ip::tcp::socket socket)
{
    asio::co_spawn(
        this->executor,
        [this, accepted = std::move(socket)]() mutable -> asio::awaitable<void> {
            co_await this->serve(std::move(accepted));
        },
        asio::detached);
}

asio::awaitable<void> IngressServer::serve(asio::ip::tcp::socket socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    Connection connection{beast::tcp_stream(std::move(socket)), beast::flat_buffer(this->limits.headerBytes + this->limits.bodyBytes)};
    if (this->connections >= this->limits.connections) {
        if (this->refusedConnections >= maxRefusedConnections) {
            co_return;
        }
        ++this->refusedConnections;
        const ScopeGuard refused([this] {
            --this->refusedConnections;
        });
        co_await this->writeResponse(connection, problemResponse(ErrorKind::ConnectionLimit, "", ""), false, false);
        co_await this->discardRest(connection);
        co_return;
    }
    ++this->connections;
    const auto position = this->openConnections.insert(this->openConnections.end(), &connection);
    const ScopeGuard closed([this, position] {
        --this->connections;
        this->openConnections.erase(position);
    });
    while (co_await this->serveRequest(connection)) { }
    connection.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

asio::awaitable<bool> IngressServer::serveRequest(Connection &connection)
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(this->limits.headerBytes));
    parser.body_limit(this->limits.bodyBytes);

    connection.idle = true;
    connection.stream.expires_after(this->limits.idleTimeout);
    const auto [headerError, headerLength] = co_await http::async_read_header(connection.stream, connection.buffer, parser, awaitTuple);
    connection.idle = false;
    beast::error_code error = headerError;
    if (!error && !hasUnambiguousLength(parser.get())) {
        error = http::error::bad_content_length;
    }
    if (!error) {
        connection.stream.expires_after(this->limits.transferTimeout);
        if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
            const http::response<http::empty_body> interim(http::status::continue_, parser.get().version());
            co_await http::async_write(connection.stream, interim, awaitTuple);
        }
        const auto [bodyError, bodyLength] = co_await http::async_read(connection.stream, connection.buffer, parser, awaitTuple);
        error = bodyError;
    }
    if (error) {
        if (isProtocolError(error)) {
            const ErrorKind kind = kindOfReadError(error);
            this->log.warn("request refused", {{"error_kind", errorRow(kind).name}, {"detail", error.message()}});
            co_await this->writeResponse(connection, problemResponse(kind, error.message(), ""), false, false);
            co_await this->discardRest(connection);
        }
        co_return false;
    }
    const bool keepAlive = parser.keep_alive();
    const bool isHead = parser.get().method() == http::verb::head;
    PeerResponse response = co_await this->answer(connection, toCallerRequest(parser.release()));
    co_return co_await this->writeResponse(connection, std::move(response), keepAlive, isHead);
}

asio::awaitable<void> IngressServer::discardRest(Connection &connection)
{
    boost::system::error_code error;
    connection.stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, error);
    connection.stream.expires_after(this->limits.discardTimeout);
    std::array<char, 4096> rest{};
    while (!error) {
        const auto [readError, length] = co_await connection.stream.async_read_some(asio::buffer(rest), awaitTuple);
        error = readError;
    }
}

asio::awaitable<PeerResponse> IngressServer::answer(Connection &connection, CallerRequest request)
{
    if (request.target.starts_with(controlPrefix)) {
        if (request.method == "POST" && (request.target == keysPath || request.target.starts_with(std::string(keysPath) + "?"))) {
            CallerRequest keyedRequest;
            keyedRequest.method = queryParameter(request.target, "method");
            keyedRequest.target = queryParameter(request.target, "path");
            keyedRequest.headers = std::move(request.headers);
            co_return co_await this->forwarder.issueKey(std::move(keyedRequest));
        }
        co_return problemResponse(ErrorKind::RouteNotFound, "paths under /.galenarack/ are reserved", "");
    }
    // Cancels the request when its caller closes the connection, so that repeatable work does not occupy a slot in vain.
    const auto cancellation = std::make_shared<Cancellation>();
    const auto finished = std::make_shared<bool>(false);
    connection.stream.expires_never();
    asio::ip::tcp::socket &socket = connection.stream.socket();
    socket.async_wait(asio::ip::tcp::socket::wait_read, [cancellation, finished, &socket](boost::system::error_code waitError) {
        if (waitError || *finished) {
            return;
        }
        char byte = 0;
        boost::system::error_code error;
        socket.non_blocking(true, error);
        socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
        if (error && error != asio::error::would_block) {
            cancellation->request();
        }
    });
    PeerResponse response = co_await this->forwarder.forward(std::move(request), cancellation);
    *finished = true;
    boost::system::error_code ignored;
    socket.cancel(ignored);
    co_return response;
}

asio::awaitable<bool> IngressServer::writeResponse(Connection &connection, PeerResponse response, bool keepAlive, bool isHead)
{
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
    for (const HeaderField &field : response.headers.all()) {
        message.insert(field.name, field.value);
    }
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive && !this->draining);
    message.prepare_payload();
    if (isHead) {
        message.body().clear();
    }
    connection.stream.expires_after(this->limits.transferTimeout);
    const auto [error, length] = co_await http::async_write(connection.stream, message, awaitTuple);
    co_return !error && message.keep_alive();
}

} // namespace Galenarack
