#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace Galenarack::StandIns {

/// Runs a stand-in: calls `start`, then runs `context` until SIGINT, SIGTERM or its end, and exits the process.
/// The exit status is 1 when `start` or a handler throws.
/// @param name printed before the error
[[noreturn]] void runProgram(std::string_view name, boost::asio::io_context &context, const std::function<void()> &start);

} // namespace Galenarack::StandIns
