#pragma once

#include <galenarack/core/clock.h>
#include <galenarack/http/responsereader.h>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Galenarack {

/// Address of the configuration service, time-outs and intervals of the calls to it.
struct ServiceSettings
{
    std::string host; ///< IP address of the service.
    std::uint16_t port = 0;
    /// Longest time that the service may hold a watch; reduced at random by up to a fifth and rounded up to whole seconds. A watch
    /// that the service never answers can't be told from one without a change, so this bounds how long the node acts on an outdated
    /// value. At 660 nodes, the two watches of each make 660 calls a second; the service takes about 2,000.
    Duration watchWait = std::chrono::seconds(2);
    Duration connectTimeout = std::chrono::seconds(2);
    /// Longest time until the head of the response, beyond the time that a watch may be held, and then without a byte of the body.
    Duration replyTimeout = std::chrono::seconds(1);
    Duration transferTimeout = std::chrono::seconds(5); ///< Longest time from the head of a response to its last byte.
    std::size_t maxReplyBytes = std::size_t{1024} * 1024; ///< Maximum size of the body of a response, in bytes.
    Duration retryMin = std::chrono::milliseconds(500); ///< Longest pause after one failure; doubles with each consecutive failure.
    Duration retryMax = std::chrono::seconds(15); ///< Upper limit of the pause after a failure.
    /// Whether a call that fails within connectTimeout on a reused connection is sent once more on a new one.
    bool resendsOnNewConnection = true;
    /// Whether the connection is kept for further calls. On a connection of its own, a call shows whether the service answers now, even
    /// if an answer on an earlier connection was lost.
    bool keepsConnection = true;
    std::string notedField; ///< Header field whose value each reply is to contain; may be empty.
    Duration startJitter = std::chrono::seconds(1); ///< Longest random delay of the first call.
    /// Longest random delay before sections are fetched, multiplied by the number of missing sections plus one. When 660 nodes fetch one
    /// section after the same change, they make 660 x 2 / 1 s = 1,320 calls a second; the service takes about 2,000.
    Duration fetchSpread = std::chrono::milliseconds(500);
    Duration fetchSpreadMax = std::chrono::seconds(8); ///< Upper limit of this delay, so that a change is in force within 13 s.
};

/// Response of the configuration service.
struct ServiceReply
{
    unsigned status = 0; ///< HTTP status code.
    std::string etag; ///< Value of the ETag header without quotation marks.
    std::string noted; ///< Value of ServiceSettings::notedField; empty when the header has none.
    std::string body;
};

/// HTTP/1.1 client of the configuration service over one persistent connection. Only one call may be in progress at a time.
class ServiceClient
{
public:
    ServiceClient(boost::asio::any_io_executor executor, const ServiceSettings &settings);

    /// Sends one GET request.
    /// @param wait time that the service may hold the response, in addition to the reply time-out
    /// @return the reply with any status; PeerLost when the service closed the connection before the first byte of the response, Timeout
    ///     when there was none in time; PeerUnreachable when there is no valid response of at most `maxReplyBytes`; SettingInvalid when the
    ///     host is not an IP address; Cancelled after close()
    boost::asio::awaitable<absl::StatusOr<ServiceReply>> get(std::string target, Duration wait);

    /// Cancels the call in progress, which fails with PeerUnreachable.
    void abort();

    /// Cancels the call in progress and closes the connection; later calls fail.
    void close();

    /// @return the number of calls made so far, including failed ones
    std::uint64_t callCount() const
    {
        return this->calls;
    }

private:
    boost::asio::awaitable<absl::Status> connect();
    boost::asio::awaitable<absl::StatusOr<ServiceReply>> exchange(const std::string &target, Duration wait);
    /// @param headTimeout time-out of the head
    boost::asio::awaitable<boost::beast::error_code> readResponse(ResponseReader &reader, Duration headTimeout);

    boost::asio::any_io_executor executor;
    ServiceSettings settings;
    std::optional<boost::beast::tcp_stream> stream;
    std::uint64_t calls = 0;
    bool isClosed = false;
};

} // namespace Galenarack
