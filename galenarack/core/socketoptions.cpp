#include <galenarack/core/socketoptions.h>

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Galenarack {

namespace {

constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;

/// Time after which the kernel closes a connection with unacknowledged data, in milliseconds.
constexpr unsigned unacknowledgedTimeoutMs = 3000;

} // namespace

void detectDeadPeer(boost::asio::ip::tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int handle = socket.native_handle();
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof(keepAliveIdleSeconds));
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds, sizeof(keepAliveIntervalSeconds));
    setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof(keepAliveProbes));
}

void detectDeadConnection(boost::asio::ip::tcp::socket &socket)
{
    detectDeadPeer(socket);
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledgedTimeoutMs, sizeof(unacknowledgedTimeoutMs));
}

} // namespace Galenarack
