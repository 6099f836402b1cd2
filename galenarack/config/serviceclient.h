#pragma once

#include <galenarack/core/clock.h>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Galenarack {

/// Where the configuration service is, and how long to wait for it.
struct ServiceSettings
{
    std::string host; ///< IP address.
    std::uint16_t port = 0;
    Duration watchWait = std::chrono::seconds(30); ///< Longest time that a watch waits at the service; jittered down by up to a fifth.
    Duration connectTimeout = std::chrono::seconds(2);
    Duration replyTimeout = std::chrono::seconds(5); ///< For a whole response, beyond the time that a watch waits.
    Duration retryMin = std::chrono::milliseconds(500); ///< First pause after a failure; doubles with each one in a row.
    Duration retryMax = std::chrono::seconds(15);
    bool resendsOnNewConnection = true; ///< Once, when a call fails soon on a connection that was kept.
    Duration startJitter = std::chrono::seconds(1); ///< The first call is made at a random time up to this.
    /// Sections are fetched after a random time up to this for each missing section and one more. 660 nodes that fetch one section after
    /// the same change then make 660 x 2 / 1 s = 1,320 calls a second; the service takes about 2,000.
    Duration fetchSpread = std::chrono::milliseconds(500);
    Duration fetchSpreadMax = std::chrono::seconds(8); ///< Bound of the spread, so that a change is in force within 13 s.
};

/// One response of the service.
struct ServiceReply
{
    unsigned status = 0;
    std::string etag; ///< Without quotation marks.
    std::string body;
};

/// HTTP/1.1 client of the configuration service over one persistent connection. One call at a time.
class ServiceClient
{
public:
    ServiceClient(boost::asio::any_io_executor executor, const ServiceSettings &settings);

    /// Makes one GET call.
    /// @param wait time that the service may hold the response, on top of the reply time-out
    /// @return the reply with any status; PeerUnreachable when there was no valid response of at most 1 MB in time
    boost::asio::awaitable<absl::StatusOr<ServiceReply>> get(std::string target, Duration wait);

    /// Breaks off the call in progress and closes the connection; later calls fail.
    void close();

    /// @return calls made so far, failed ones included
    std::uint64_t callCount() const
    {
        return this->calls;
    }

private:
    boost::asio::awaitable<absl::Status> connect();
    boost::asio::awaitable<absl::StatusOr<ServiceReply>> exchange(const std::string &target, Duration wait);

    boost::asio::any_io_executor executor;
    ServiceSettings settings;
    std::optional<boost::beast::tcp_stream> stream;
    boost::beast::flat_buffer buffer;
    std::uint64_t calls = 0;
    bool isClosed = false;
};

} // namespace Galenarack
