#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace Galenarack {

/// Disables Nagle's algorithm, and makes the kernel close the connection about 3 s after the remote side stops acknowledging
/// keep-alive probes. The kernel sends probes only while no data is unacknowledged or unsent, so the caller bounds the time of a
/// write. Errors of the system calls are ignored.
void detectDeadPeer(boost::asio::ip::tcp::socket &socket);

/// Like detectDeadPeer(), and makes the kernel close the connection also when data is unacknowledged or unsent for about 3 s: a network
/// device may have dropped the state of the connection, or the remote VM may be down. Not for a remote side that may pause its reading:
/// the kernel cannot send to a closed receive window and closes the connection as well.
void detectDeadConnection(boost::asio::ip::tcp::socket &socket);

} // namespace Galenarack
