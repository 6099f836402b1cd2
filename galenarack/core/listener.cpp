#include <galenarack/core/listener.h>

#include <galenarack/core/errorkind.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <string>
#include <utility>

namespace Galenarack {

namespace asio = boost::asio;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);

/// Delay before the next accept after a failed one, so that a lack of file descriptors does not cause a busy loop.
constexpr auto acceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

Listener::Listener(const asio::any_io_executor &executor, AcceptHandler acceptHandler)
    : acceptor(executor)
    , acceptHandler(std::move(acceptHandler))
{
}

absl::Status Listener::listen(const asio::ip::tcp::endpoint &address, std::string_view setting)
{
    boost::system::error_code error;
    this->acceptor.open(address.protocol(), error);
    if (!error) {
        this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
        this->acceptor.bind(address, error);
    }
    if (!error) {
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return makeError(ErrorKind::SettingInvalid, std::string(setting) + " cannot be bound: " + error.message());
    }
    asio::co_spawn(
        this->acceptor.get_executor(),
        [this]() -> asio::awaitable<void> {
            co_await this->acceptLoop();
        },
        asio::detached);
    return absl::OkStatus();
}

void Listener::stop()
{
    boost::system::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
        asio::ip::tcp::socket socket(this->acceptor.get_executor());
        this->acceptor.accept(socket, error);
        if (!error) {
            this->acceptHandler(std::move(socket));
        }
    }
    this->acceptor.close(error);
}

asio::ip::tcp::endpoint Listener::address() const
{
    boost::system::error_code ignored;
    return this->acceptor.local_endpoint(ignored);
}

asio::awaitable<void> Listener::acceptLoop()
{
    asio::steady_timer timer(this->acceptor.get_executor());
    for (;;) {
        auto [error, socket] = co_await this->acceptor.async_accept(awaitTuple);
        // A connection may have been accepted just before stop() closed the acceptor.
        if (!error) {
            this->acceptHandler(std::move(socket));
        }
        if (!this->acceptor.is_open()) {
            co_return;
        }
        if (error) {
            timer.expires_after(acceptRetryDelay);
            co_await timer.async_wait(awaitTuple);
        }
    }
}

} // namespace Galenarack
