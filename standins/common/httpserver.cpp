#include <standins/common/httpserver.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>
#include <utility>

namespace Galenarack::StandIns {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t bodyLimit = std::size_t(64) << 20;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

/// @return the response as it is sent
std::string toText(const HttpResponse &response)
{
    std::ostringstream text;
    text << response;
    return text.str();
}

} // namespace

HttpServer::HttpServer(asio::io_context &context, Tcp::endpoint endpoint, Handler handler)
    : context(context)
    , endpoint(std::move(endpoint))
    , handler(std::move(handler))
{
}

void HttpServer::open()
{
    this->acceptor = std::make_shared<Tcp::acceptor>(this->context, this->endpoint);
    this->endpoint = this->acceptor->local_endpoint();
    asio::co_spawn(this->context, this->acceptLoop(this->acceptor), asio::detached);
}

void HttpServer::close()
{
    if (this->acceptor) {
        this->acceptor->close();
        this->acceptor.reset();
    }
    boost::system::error_code ignored;
    for (const SocketPointer &socket : this->connections) {
        socket->close(ignored);
    }
}

asio::awaitable<void> HttpServer::acceptLoop(std::shared_ptr<Tcp::acceptor> acceptor)
{
    while (acceptor->is_open()) {
        auto [error, socket] = co_await acceptor->async_accept(asTuple);
        if (!error) {
            asio::co_spawn(this->context, this->serveConnection(std::make_shared<Tcp::socket>(std::move(socket))), asio::detached);
        }
    }
}

asio::awaitable<void> HttpServer::serveConnection(SocketPointer socket)
{
    this->connections.insert(socket);
    boost::system::error_code ignored;
    socket->set_option(Tcp::no_delay(true), ignored);
    boost::beast::flat_buffer buffer;
    std::string copy; // Second copy of an earlier response, not sent yet.
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(bodyLimit);
        const auto [readError, bytesRead] = co_await http::async_read(*socket, buffer, parser, asTuple);
        if (readError) {
            break;
        }
        const HttpRequest request = parser.release();
        const HttpResponse response = co_await this->handler(request);
        const std::string text = toText(response);
        const ResponseFault fault = this->chooseFault ? this->chooseFault(response, text.size()) : ResponseFault();
        const std::string bytes = std::exchange(copy, fault.isRepeated ? text : "") + text.substr(0, fault.sentBytes.value_or(text.size()));
        const auto [writeError, bytesWritten] = co_await asio::async_write(*socket, asio::buffer(bytes), asTuple);
        if (writeError || fault.sentBytes || !response.keep_alive()) {
            break;
        }
    }
    socket->close(ignored);
    this->connections.erase(socket);
}

asio::awaitable<HttpResponse> answerAsJson(const HttpRequest &request, std::function<nlohmann::json(const HttpRequest &)> command)
{
    try {
        co_return makeResponse(request, 200, "application/json", command(request).dump());
    } catch (const std::exception &error) {
        co_return makeResponse(request, 400, "text/plain", std::string(error.what()) + "\n");
    }
}

} // namespace Galenarack::StandIns
