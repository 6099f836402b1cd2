#pragma once

#include <galenarack/config/serviceclient.h>

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <random>
#include <string>

namespace Galenarack {

/// Calls of one reader, for metrics and for the limit of the service.
struct ReaderCounters
{
    std::uint64_t calls = 0; ///< All calls.
    std::uint64_t watches = 0; ///< Calls for the watched key.
    std::uint64_t notModified = 0; ///< Watches that ended without a change.
    std::uint64_t failures = 0; ///< Calls without a usable reply.
};

/// Keeps one watch (long poll) on one key of the service and hands each new value to a handler. Never has more than one call open.
class KeyWatch
{
public:
    /// Takes a value.
    /// @return whether all is done; otherwise the handler is called again with the same value after a pause
    using Handler = std::function<boost::asio::awaitable<bool>(std::string value)>;

    /// Told about each watch, once the handler is done with a new value: whether the service replied.
    using ReplyCallback = std::function<void(bool replied)>;

    /// @param key key of the service, e.g. "manifest"
    /// @param seed seed of the random source for jitter; different on each node
    KeyWatch(const boost::asio::any_io_executor &executor, const ServiceSettings &settings, std::string key, std::uint64_t seed);

    /// Watches until stop() is called.
    boost::asio::awaitable<void> run(Handler handler, ReplyCallback replied);

    /// Ends run() soon.
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
    std::string etag; ///< Of the last value; empty before the first one.
    std::string value; ///< Last value.
    bool isValuePending = false; ///< The handler has not finished with the value.
    unsigned failuresInRow = 0;
    ReaderCounters count;
    bool stopped = false;
};

} // namespace Galenarack
