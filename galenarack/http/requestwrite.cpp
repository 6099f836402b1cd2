#include <galenarack/http/requestwrite.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/write.hpp>

namespace Galenarack {

namespace asio = boost::asio;
namespace beast = boost::beast;

RequestWrite::RequestWrite(const asio::any_io_executor &executor, Message message)
    : message(std::move(message))
    , ended(executor)
{
}

void RequestWrite::start(asio::ip::tcp::socket &socket)
{
    beast::http::async_write(socket, this->message, [self = this->shared_from_this()](beast::error_code error, std::size_t) {
        self->done = true;
        self->error = error;
        self->ended.cancel();
    });
}

asio::awaitable<beast::error_code> RequestWrite::waitForError(Duration limit)
{
    const auto self = this->shared_from_this();
    if (!this->done) {
        this->ended.expires_after(limit);
        co_await this->ended.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return this->error;
}

} // namespace Galenarack
