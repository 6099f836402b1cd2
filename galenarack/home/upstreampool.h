#pragma once

#include <galenarack/core/bytebudget.h>
#include <galenarack/core/clock.h>
#include <galenarack/http/responsereader.h>
#include <galenarack/peer/peermessage.h>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Galenarack {

/// Limits of the connections to an upstream and of the messages on them.
struct UpstreamLimits
{
    std::size_t headerBytes = 16 * 1024; ///< Maximum size of a response's header section, in bytes.
    std::size_t bodyBytes = 1024 * 1024; ///< Maximum size of a response's body, in bytes.
    /// Maximum size of all responses in transit, in bytes; above it, the largest one ends with UpstreamAnswerTooLarge.
    std::size_t totalBytes = 64 * 1024 * 1024;
    std::size_t idleConnections = 8; ///< Maximum number of idle connections that are kept for reuse.
    Duration connectTimeout = std::chrono::milliseconds(250); ///< Time-out of opening a connection.
    Duration idleTimeout = std::chrono::seconds(15); ///< Longest idle time after which a connection is still reused.
    std::string requestIdField = std::string(PeerHeader::requestId); ///< Field in which the upstream echoes the id of a request.
    std::vector<std::string> noticeFields{}; ///< Fields with which an upstream tells of itself in a response, in lower case.
    /// Whether the upstream echoes the id in every response. If so, a response to an earlier request is skipped, bytes after
    /// the response are dropped with the connection, and a response without a length is complete when its connection ends without a reset.
    bool alwaysEchoesId = false;
    /// Whether the upstream uses a content coding only if the request accepts it. If so, another coded response is not the upstream's.
    bool codesOnlyOnRequest = false;
};

/// Handle of a request in progress at an upstream, with which another coroutine can abort it.
struct UpstreamCall
{
    std::function<void()> abort; ///< Aborts the request; empty while no request is in progress.
    /// Called once the header of the response to the request has been read, also when the rest of the response is never received or is
    /// not valid; may be empty. `notices` are the fields of the header that UpstreamLimits::noticeFields names.
    std::function<void(unsigned status, const HeaderList &notices)> onHeader;
};

/// Pool of persistent HTTP/1.1 connections from the home to one upstream.
///
/// A connection is reused only after a response that was complete, matched its request and left the connection open.
/// After a time-out, a cancellation or a truncated response it is closed, so that a late response cannot be taken for the
/// response to another request.
///
/// An upstream may send a second copy of a response later. The id tells a copy from the response to another request, but not
/// from the response to the same request sent again. A request that failed or was rejected on a connection is therefore sent
/// again only on another one, and a connection is closed after an error response that echoes no id.
class UpstreamPool
{
public:
    UpstreamPool(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint address, UpstreamLimits limits);

    /// Sends one request and reads the whole response.
    /// @param requestId id of the request; when the response echoes an id, it must be this one
    /// @param deadline time at which the call ends with Timeout
    /// @param call receives the function that aborts the request; must outlive the call
    /// @return the response, or UpstreamConnectFailed (the request was certainly not run), UpstreamAnswerCut,
    ///         UpstreamAnswerInvalid, UpstreamAnswerTooLarge, Timeout, or Cancelled when it was aborted before it was sent
    boost::asio::awaitable<absl::StatusOr<PeerResponse>> request(PeerRequest request,
                                                                 std::string_view requestId,
                                                                 TimePoint deadline,
                                                                 UpstreamCall &call);

private:
    struct Connection
    {
        boost::beast::tcp_stream stream;
        TimePoint idleSince; ///< Time of the last response.
        Duration idleLimit; ///< Longest idle time after which the connection is reused; shorter than the upstream's own.
        std::vector<std::size_t> failedRequests{}; ///< Hashes of the ids of the requests that got an error response here.
    };

    boost::asio::awaitable<absl::StatusOr<std::unique_ptr<Connection>>> acquireConnection(std::string_view requestId, TimePoint deadline);
    /// Reads messages until the response to the request is complete. The reservation follows the bytes that are held.
    boost::asio::awaitable<boost::beast::error_code> readResponse(ResponseReader &reader,
                                                                  ByteReservation &reservation,
                                                                  std::string_view requestId,
                                                                  const UpstreamCall &call) const;
    /// Passes the header to the handle, if it is that of the response to this request.
    void reportHeader(const ResponseReader::Message &header, std::string_view requestId, const UpstreamCall &call) const;
    absl::Status checkResponse(const ResponseReader &reader, const PeerRequest &request, std::string_view requestId) const;
    /// @return whether the response echoes exactly one id, and it is that of another request
    bool echoesOtherId(const ResponseReader::Message &header, std::string_view requestId) const;

    /// Closes the connections that it finds to have expired or to hold unread bytes.
    /// @return the idle connection that was used last among those on which the request has not failed before, or null
    std::unique_ptr<Connection> popIdle(std::string_view requestId);
    void pushIdle(std::unique_ptr<Connection> connection);

    boost::asio::any_io_executor executor;
    boost::asio::ip::tcp::endpoint address;
    UpstreamLimits limits;
    ByteBudget budget; ///< Counts the bytes of the responses in transit.
    std::vector<std::unique_ptr<Connection>> idle;
};

} // namespace Galenarack
