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

/// Above all bounds under test, so that a busy machine does not change a verdict.
constexpr std::chrono::seconds testTimeout{30};

/// Any free port of the loopback address.
inline boost::asio::ip::tcp::endpoint anyLoopbackPort()
{
    return {boost::asio::ip::address_v4::loopback(), 0};
}

/// Runs the loop until the condition holds. Throws when it does not in time.
template<typename Condition>
void runUntil(boost::asio::io_context &context, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + testTimeout;
    context.restart();
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            throw std::runtime_error("the condition does not hold in time");
        }
        context.run_one_for(std::chrono::milliseconds(20));
        context.restart();
    }
}

/// Runs the loop until the task is done and returns its result.
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

/// Runs the loop for a while.
inline void runFor(boost::asio::io_context &context, std::chrono::milliseconds time)
{
    context.restart();
    context.run_for(time);
}

} // namespace Galenarack
