#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <exception>
#include <optional>
#include <stdexcept>

namespace Galenarack {

/// Time limit of a test step. It exceeds all timeouts under test, so that load on the machine does not change a result.
constexpr std::chrono::seconds testTimeout{30};

/// @return an endpoint on the loopback address with port 0, for which the system selects a free port
inline boost::asio::ip::tcp::endpoint anyLoopbackPort()
{
    return {boost::asio::ip::address_v4::loopback(), 0};
}

/// Runs the event loop until the condition holds.
/// @throws std::runtime_error when the condition does not hold within testTimeout
template<typename Condition>
void runUntil(boost::asio::io_context &context, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    context.restart();
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            throw std::runtime_error("the condition did not hold within the test timeout");
        }
        context.run_one_for(std::chrono::milliseconds(20));
        context.restart();
    }
}

/// Runs the event loop until the task has completed, and returns its result.
template<typename Result>
Result runTask(boost::asio::io_context &context, boost::asio::awaitable<Result> task)
{
    std::optional<Result> result;
    boost::asio::co_spawn(context, std::move(task), [&result](const std::exception_ptr &error, Result value) {
        if (error) {
            std::rethrow_exception(error);
        }
        result.emplace(std::move(value));
    });
    runUntil(context, [&result] {
        return result.has_value();
    });
    return std::move(*result);
}

/// Runs the event loop for the given time.
inline void runFor(boost::asio::io_context &context, std::chrono::milliseconds time)
{
    context.restart();
    context.run_for(time);
}

} // namespace Galenarack
