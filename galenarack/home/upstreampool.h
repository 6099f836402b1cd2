#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/peer/peermessage.h>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Galenarack {

/// Bounds of messages exchanged with an upstream, in bytes.
struct UpstreamLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 1024 * 1024;
    std::size_t idleConnections = 8; ///< Kept for reuse.
    Duration connectTimeout = std::chrono::milliseconds(250);
    Duration idleTimeout = std::chrono::seconds(15); ///< An idle connection older than this is not reused.
    std::string requestIdField = std::string(PeerHeader::requestId); ///< Field in which the upstream echoes the id of a request.
    /// The upstream echoes the id in every response. So a response to an earlier request is skipped, bytes after the
    /// response are dropped with the connection, and a response without a length that ends with its connection is complete.
    bool alwaysEchoesId = false;
};

/// One request in progress at an upstream; lets another coroutine end it.
struct UpstreamCall
{
    std::function<void()> abort; ///< Ends the request; set while it is in progress.
};

/// Kept HTTP/1.1 connections from the home to one upstream.
///
/// A connection is reused only after a response that was complete, matched its request and left the connection open;
/// after a time-out, a cancellation or a short response it is closed, so that no late response can reach another request.
class UpstreamPool
{
public:
    UpstreamPool(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint address, UpstreamLimits limits);

    /// Sends one request and reads the whole response.
    /// @param requestId sent along; where the upstream echoes it, the echo must match
    /// @return the response, or UpstreamConnectFailed (surely not run), UpstreamAnswerCut, UpstreamAnswerInvalid,
    ///         UpstreamAnswerTooLarge, Timeout, or Cancelled when it was aborted before it was sent
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> request(const PeerRequest &request,
                                                                 std::string_view requestId,
                                                                 TimePoint deadline,
                                                                 UpstreamCall &call);

private:
    struct Connection
    {
        boost::beast::tcp_stream stream;
        TimePoint idleSince;
        Duration idleLimit; ///< The upstream closes the connection when it is idle for longer.
    };

    using Reader = boost::beast::http::response_parser<boost::beast::http::string_body>;

    boost::asio::awaitable<absl::StatusOr<std::unique_ptr<Connection>>> acquireConnection(TimePoint deadline);
    boost::asio::awaitable<boost::beast::error_code> readResponse(Connection &connection,
                                                                  boost::beast::flat_buffer &buffer,
                                                                  std::optional<Reader> &reader,
                                                                  const PeerRequest &request,
                                                                  std::string_view requestId) const;
    absl::Status checkResponse(const Reader &reader, std::size_t bytesAfter, std::string_view requestId) const;
    bool matchesRequest(const Reader &reader, std::string_view requestId) const;
    std::unique_ptr<Connection> popIdle();
    void pushIdle(std::unique_ptr<Connection> connection);

    boost::asio::any_io_executor executor;
    boost::asio::ip::tcp::endpoint address;
    UpstreamLimits limits;
    std::vector<std::unique_ptr<Connection>> idle;
};

} // namespace Galenarack
