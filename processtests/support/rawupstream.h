#pragma once

#include <standins/common/network.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace Galenarack {

/// What a RawUpstream does after it has sent the bytes of its answer.
enum class RawEnd : std::uint8_t {
    Keep, ///< It keeps the connection open and answers no further request on it.
    Reset, ///< It resets the connection 100 ms later.
    Close, ///< It closes the connection 100 ms later, which resets it if the rest of the request is unread.
    ReadThenClose, ///< It reads the rest of the request and closes the connection.
    HalfCloseThenRead, ///< It shuts down its sending direction, and 100 ms later reads the rest of the request and closes.
};

/// Bytes with which a RawUpstream answers, sent once the header of a request has been read.
struct RawAnswer
{
    std::string statusLine; ///< Without its line end. The id of the request and, if isSigned, a seal follow it as header fields.
    std::string fields; ///< Further header fields, each with its line end.
    std::string body; ///< Bytes after the header section.
    RawEnd end = RawEnd::Close;
    /// Bytes that are repeated after the fields, without a blank line before them, until the connection is closed; may be empty.
    std::string endlessPart{};
    bool isSigned = true; ///< Whether the answer carries a seal.
};

/// In-process stand-in for an upstream that sends any bytes as its answer. Requests whose target ends
/// with "/sound" get a valid answer.
class RawUpstream
{
public:
    /// Starts to listen on a free loopback port.
    /// @param idField field in which requests carry their id, and which answers echo, in lower case
    explicit RawUpstream(boost::asio::io_context &context, std::string idField = "request-id");

    const StandIns::Tcp::endpoint &address() const
    {
        return this->endpoint;
    }

    RawAnswer answer; ///< Answer to the next requests.
    bool answersChecks = false; ///< Whether health checks and polls of its drain signal get a valid answer, and are no arrivals.
    std::chrono::milliseconds delay{0}; ///< Time between receipt of a request's header and the answer.
    std::size_t endlessBytes = 0; ///< Number of bytes sent as RawAnswer::endlessPart.
    std::map<std::string, unsigned> arrivals; ///< Number of arrivals, by request id.

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(StandIns::Tcp::socket socket);
    /// Repeats the bytes until the connection is closed, or 1 GB has been sent.
    boost::asio::awaitable<void> sendWithoutEnd(StandIns::Tcp::socket &socket, std::string part);
    /// Ends the connection as the answer says.
    boost::asio::awaitable<void> finish(StandIns::Tcp::socket &socket, RawEnd end, std::size_t unreadBytes);

    std::string idField;
    StandIns::Tcp::acceptor acceptor;
    StandIns::Tcp::endpoint endpoint;
};

} // namespace Galenarack
