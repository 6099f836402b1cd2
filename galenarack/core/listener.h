#pragma once

#include <absl/status/status.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string_view>

namespace Galenarack {

/// Accepts TCP connections on one address. It must outlive the event loop's work on it.
class Listener
{
public:
    /// Takes each accepted connection.
    using AcceptHandler = std::function<void(boost::asio::ip::tcp::socket)>;

    Listener(const boost::asio::any_io_executor &executor, AcceptHandler acceptHandler);

    /// Binds and starts to accept.
    /// @param setting name of the setting that holds the address, for the error
    /// @return SettingInvalid when the address cannot be bound
    absl::Status listen(const boost::asio::ip::tcp::endpoint &address, std::string_view setting);

    /// Accepts no more connections.
    void stop();

    /// @return the local address, with the port that was bound
    boost::asio::ip::tcp::endpoint address() const;

private:
    boost::asio::awaitable<void> acceptLoop();

    boost::asio::ip::tcp::acceptor acceptor;
    AcceptHandler acceptHandler;
};

} // namespace Galenarack
