#pragma once

#include <absl/status/status.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string_view>

namespace Galenarack {

/// Accepts TCP connections on one address. It must outlive the accept loop that listen() starts on the executor.
class Listener
{
public:
    /// Called with the socket of each accepted connection.
    using AcceptHandler = std::function<void(boost::asio::ip::tcp::socket)>;

    Listener(const boost::asio::any_io_executor &executor, AcceptHandler acceptHandler);

    /// Binds the address and starts the accept loop.
    /// @param setting name of the setting with the address, for the error message
    /// @return SettingInvalid when the address cannot be bound
    absl::Status listen(const boost::asio::ip::tcp::endpoint &address, std::string_view setting);

    /// Passes on the connections that are already established, then closes the listening socket, which ends the accept loop.
    /// The system would reset connections that are established but not accepted.
    void stop();

    /// @return the local address with the bound port
    boost::asio::ip::tcp::endpoint address() const;

private:
    boost::asio::awaitable<void> acceptLoop();

    boost::asio::ip::tcp::acceptor acceptor;
    AcceptHandler acceptHandler;
};

} // namespace Galenarack
