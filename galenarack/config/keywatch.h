#pragma once

#include <galenarack/config/serviceclient.h>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <random>
#include <string>

namespace Galenarack {

/// Counters of the calls of one reader, for metrics and for comparison with the rate limit of the service.
struct ReaderCounters
{
    std::uint64_t calls = 0; ///< Number of all calls.
    std::uint64_t watches = 0; ///< Number of calls for the watched key.
    std::uint64_t notModified = 0; ///< Number of watches that ended without a change.
    std::uint64_t failures = 0; ///< Number of watches without a usable reply.
};

/// Watches one key of the service by long polling and passes each new value to a handler. Has at most one call in progress.
class KeyWatch
{
public:
    /// Processes a value.
    /// @return whether the value has been processed completely; otherwise the handler is called again with it after a pause
    using Handler = std::function<boost::asio::awaitable<bool>(std::string value)>;

    /// Called after each watch, and after the handler has run for a new value, with whether the service replied.
    using ReplyCallback = std::function<void(bool replied)>;

    /// @param key key of the service, e.g. "manifest"
    /// @param seed seed of the random source for jitter; different on each node
    KeyWatch(const boost::asio::any_io_executor &executor, const ServiceSettings &settings, std::string key, std::uint64_t seed);

    /// Watches until stop() is called.
    boost::asio::awaitable<void> run(Handler handler, ReplyCallback replied);

    /// Cancels the call or pause in progress, so that run() returns.
    void stop();

    /// Pauses for a random time up to `maxPause`.
    boost::asio::awaitable<void> pauseUpTo(Duration maxPause);

    /// @return the client, for further calls by the handler
    ServiceClient &serviceClient()
    {
        return this->client;
    }

    bool isStopped() const
    {
        return this->stopped;
    }

    ReaderCounters counters() const;

private:
    boost::asio::awaitable<void> step(const Handler &handler, const ReplyCallback &replied);
    boost::asio::awaitable<void> storeReply(const Handler &handler, ServiceReply reply);
    boost::asio::awaitable<void> deliverValue(const Handler &handler);
    boost::asio::awaitable<void> pause(Duration time);

    std::string target(Duration wait) const;
    Duration backoff();

    ServiceSettings settings;
    std::string key;
    std::mt19937_64 random;
    ServiceClient client;
    boost::asio::steady_timer timer;
    std::string etag; ///< ETag of the last value; empty before the first value.
    std::string value; ///< Last value received.
    bool isValuePending = false; ///< Whether the handler has not completely processed the last value.
    unsigned failuresInRow = 0;
    ReaderCounters count;
    bool stopped = false;
};

} // namespace Galenarack
