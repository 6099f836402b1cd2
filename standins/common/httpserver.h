#pragma once

#include <standins/common/network.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace Galenarack::StandIns {

/// Fault in the transmission of one response.
struct ResponseFault
{
    bool isRepeated = false; ///< Whether a second copy precedes the next response on the same connection.
    std::optional<std::size_t> sentBytes{}; ///< Number of bytes that are sent before the connection is closed.
};

/// HTTP/1.1 server with keep-alive that passes every request to one handler.
class HttpServer
{
public:
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(const HttpRequest &)>;
    using FaultChooser = std::function<ResponseFault(const HttpResponse &, std::size_t size)>; ///< `size` is in bytes, header included.

    /// @param endpoint address to listen on; port 0 selects a free port, which is kept across close() and open()
    HttpServer(boost::asio::io_context &context, Tcp::endpoint endpoint, Handler handler);

    /// Starts to listen.
    /// @throws boost::system::system_error if the address is in use
    void open();

    /// Stops listening and closes every connection; further connection attempts are refused.
    void close();

    /// Sets the function that is called for each response before it is sent.
    void setFaultChooser(FaultChooser chooser)
    {
        this->chooseFault = std::move(chooser);
    }

    /// @return the listening address with the port in use; valid after the first open()
    const Tcp::endpoint &address() const
    {
        return this->endpoint;
    }

private:
    using SocketPointer = std::shared_ptr<Tcp::socket>;

    boost::asio::awaitable<void> acceptLoop(std::shared_ptr<Tcp::acceptor> acceptor);
    boost::asio::awaitable<void> serveConnection(SocketPointer socket);

    boost::asio::io_context &context;
    Tcp::endpoint endpoint;
    Handler handler;
    FaultChooser chooseFault; ///< Empty when all responses are sent without a fault.
    std::shared_ptr<Tcp::acceptor> acceptor;
    std::set<SocketPointer> connections;
};

/// Runs `command` and returns its JSON as the response, or status 400 with the text of the exception that it throws.
boost::asio::awaitable<HttpResponse> answerAsJson(const HttpRequest &request, std::function<nlohmann::json(const HttpRequest &)> command);

} // namespace Galenarack::StandIns
