#pragma once

#include "upstream.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace Galenarack::StandIns {

/// Server side of one connection to an upstream.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection>
{
public:
    UpstreamConnection(Upstream &upstream, Tcp::socket socket);

    /// Serves requests until the peer or the upstream closes the connection.
    boost::asio::awaitable<void> serve();

private:
    /// Whether the connection can be used for the next request.
    enum class Next : std::uint8_t {
        Keep,
        Close,
    };

    boost::asio::awaitable<Next> serveRequest(const HttpRequest &request);
    boost::asio::awaitable<Next> runRequest(const HttpRequest &request, const UpstreamSettings &settings, std::size_t slot);
    boost::asio::awaitable<Next> write(HttpResponse response);

    /// Writes the first half of the body only, then closes the connection.
    boost::asio::awaitable<Next> writeTruncated(HttpResponse response);

    /// Writes the response followed by bytes beyond its Content-Length.
    boost::asio::awaitable<Next> writeOverlong(HttpResponse response);

    /// Waits for the duration of the run, and beyond it while the upstream hangs or the slot is stuck.
    /// @return false when the peer closed the connection before the run ended
    boost::asio::awaitable<bool> waitForRun(std::chrono::microseconds duration, std::size_t slot);

    /// Starts to watch the socket: sets peerClosed and cancels the timer when the peer closes the connection.
    void watchPeer();

    /// @return a plain-text response with `reason` as its body, and with Retry-After and the statement that the request has not run when
    /// the status is 503
    HttpResponse makeTextResponse(const HttpRequest &request, unsigned status, std::string_view reason) const;
    /// Adds the request id, if echo is set, and the drain signal, if the upstream is draining.
    void addFleetHeaders(HttpResponse &response, std::string_view requestId) const;

    Upstream &upstream;
    Tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    bool peerClosed = false;
};

} // namespace Galenarack::StandIns
