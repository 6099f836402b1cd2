#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace Galenarack {

/// Disables Nagle's algorithm, and makes the kernel close the connection about 3 s after the remote side stops acknowledging
/// data or keep-alive probes: a network device may have dropped the state of the connection, or the remote VM may be down.
void detectDeadConnection(boost::asio::ip::tcp::socket &socket);

} // namespace Galenarack
