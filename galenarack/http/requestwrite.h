#pragma once

#include <galenarack/core/clock.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>

namespace Galenarack {

/// A request that is written while its response is read, because the server may respond before it has read a long body.
///
/// The write shares the ownership, so that the message outlives a caller that has the response and leaves.
class RequestWrite : public std::enable_shared_from_this<RequestWrite>
{
public:
    using Message = boost::beast::http::request<boost::beast::http::string_body>;

    RequestWrite(const boost::asio::any_io_executor &executor, Message message);

    /// Starts to write to a connection. Closing it ends the write with an error.
    void start(boost::asio::ip::tcp::socket &socket);

    /// @return whether the whole request was written
    bool isComplete() const
    {
        return this->done && !this->error;
    }

    /// Waits until the write has ended, but at most for `limit`.
    /// @return the error of the write; no error if it was successful or goes on
    boost::asio::awaitable<boost::beast::error_code> waitForError(Duration limit);

private:
    Message message;
    bool done = false;
    boost::beast::error_code error;
    boost::asio::steady_timer ended; ///< Cancelled when the write has ended.
};

} // namespace Galenarack
