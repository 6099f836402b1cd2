#pragma once

#include "upstream.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace Galenarack::StandIns {

/// One connection to an upstream.
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
    boost::asio::awaitable<Next> writeTruncated(HttpResponse response);
    boost::asio::awaitable<Next> writeOverlong(HttpResponse response);

    /// Waits for the duration of the run, and longer while the upstream hangs or the slot is stuck.
    /// @return false when the peer closed the connection meanwhile
    boost::asio::awaitable<bool> waitForRun(std::chrono::microseconds duration, std::size_t slot);

    /// Sets peerClosed and wakes the timer when the peer closes the connection.
    void watchPeer();

    HttpResponse refuse(const HttpRequest &request, unsigned status, std::string_view reason) const;
    void addFleetHeaders(HttpResponse &response, std::string_view requestId) const;

    Upstream &upstream;
    Tcp::socket socket;
    boost::asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    bool peerClosed = false;
};

} // namespace Galenarack::StandIns
