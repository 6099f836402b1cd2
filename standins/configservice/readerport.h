#pragma once

#include "valuestore.h"

#include <standins/common/httpserver.h>

#include <chrono>
#include <optional>
#include <set>

namespace Galenarack::StandIns {

/// How a port responds to its readers.
enum class ServiceMode : std::uint8_t {
    Normal, ///< Serves the current values.
    Frozen, ///< Accepts connections and requests but does not respond until the mode changes.
    Silent, ///< Like Frozen, but never responds to the calls that it held in this mode.
    Down, ///< Refuses connections.
    Stale, ///< Serves the values as they were when the port changed to this mode.
};

/// Counts the calls of readers over all ports and limits their rate with a token bucket.
class CallCounter
{
public:
    /// @param maxCallsPerSecond rate above which calls are refused; 0 means no limit
    explicit CallCounter(double maxCallsPerSecond);

    /// Counts a call.
    /// @return false if it exceeds the rate limit
    bool count(const std::string &key);

    std::uint64_t calls = 0;
    std::uint64_t refused = 0;
    std::map<std::string, std::uint64_t> callsByKey;

private:
    double maxCallsPerSecond;
    double tokens;
    std::chrono::steady_clock::time_point updated;
};

/// One listening address of the service: GET /v1/values/KEY[?after=ETAG&wait=SECONDS].
/// Each port has its own mode and may override single values, so that a test can present different
/// states of the service to different readers.
class ReaderPort
{
public:
    ReaderPort(boost::asio::io_context &context, const Tcp::endpoint &endpoint, const ValueStore &store, CallCounter &counter);

    void open();
    void setMode(ServiceMode mode);

    /// Overrides a value for the readers of this port only.
    /// @return false if the value exceeds maxValueBytes
    bool override(const std::string &key, std::string body);

    /// Wakes the waiting requests, which then check whether their value has changed.
    void wakeWaiters();

    const Tcp::endpoint &address() const
    {
        return this->server.address();
    }
    std::size_t waiting() const
    {
        return this->waiters.size();
    }

private:
    using Deadline = std::chrono::steady_clock::time_point;

    boost::asio::awaitable<HttpResponse> handleRequest(const HttpRequest &request);
    const StoredValue *find(std::string_view key) const;

    /// Waits until wakeWaiters() is called or `deadline` has passed.
    boost::asio::awaitable<void> waitForChange(Deadline deadline);

    boost::asio::io_context &context;
    const ValueStore &store;
    CallCounter &counter;
    ValueStore overrides;
    std::optional<ValueStore> staleStore; ///< Copy of the store that is served in mode Stale.
    ServiceMode mode = ServiceMode::Normal;
    std::set<boost::asio::steady_timer *> waiters;
    HttpServer server;
};

} // namespace Galenarack::StandIns
