#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace Galenarack {

/// Sends small writes at once, and has the kernel end the connection within about 3 s when the other side no longer
/// acknowledges anything: a device on the path may have lost track of it, or the other VM may be gone.
void detectDeadConnection(boost::asio::ip::tcp::socket &socket);

} // namespace Galenarack
