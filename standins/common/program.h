#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string_view>

namespace Galenarack::StandIns {

/// Calls `start`, runs `context` until SIGINT, SIGTERM or until it has no work left, and exits the process.
/// The exit status is 1 if `start` or a handler throws, else 0.
/// @param name program name, printed before an error message
[[noreturn]] void runProgram(std::string_view name, boost::asio::io_context &context, const std::function<void()> &start);

} // namespace Galenarack::StandIns
