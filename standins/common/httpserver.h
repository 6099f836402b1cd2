#pragma once

#include <standins/common/network.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace Galenarack::StandIns {

/// HTTP/1.1 server with keep-alive; each request goes to one handler.
class HttpServer
{
public:
    using Handler = std::function<boost::asio::awaitable<HttpResponse>(const HttpRequest &)>;

    /// @param endpoint port 0 takes a free port, which stays the same after close() and open()
    HttpServer(boost::asio::io_context &context, Tcp::endpoint endpoint, Handler handler);

    /// Listens; throws boost::system::system_error when the address is taken.
    void open();

    /// Stops listening and closes every connection; later connects are refused.
    void close();

    /// @return the address with the real port, valid after the first open()
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
    std::shared_ptr<Tcp::acceptor> acceptor;
    std::set<SocketPointer> connections;
};

} // namespace Galenarack::StandIns
