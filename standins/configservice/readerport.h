#pragma once

#include "valuestore.h"

#include <standins/common/httpserver.h>

#include <chrono>
#include <optional>
#include <set>

namespace Galenarack::StandIns {

/// How a port answers its readers.
enum class ServiceMode : std::uint8_t {
    Normal,
    Frozen, ///< Accepts connections and requests and never replies.
    Down, ///< Refuses connections.
    Stale, ///< Serves the values as of the change to this mode.
};

/// Calls of readers and the limit on them, over all ports.
class CallCounter
{
public:
    /// @param maxCallsPerSecond further calls are refused; 0 means no limit
    explicit CallCounter(double maxCallsPerSecond);

    /// Counts a call.
    /// @return false when it exceeds the limit
    bool count(const std::string &key);

    std::uint64_t calls = 0;
    std::uint64_t refused = 0;
    std::map<std::string, std::uint64_t> callsByKey;

private:
    double maxCallsPerSecond;
    double tokens;
    std::chrono::steady_clock::time_point updated;
};

/// One address of the service: GET /v1/values/KEY[?after=ETAG&wait=SECONDS].
/// Each port has a mode of its own and may replace single values, so that a test can show different
/// states of the service to different readers.
class ReaderPort
{
public:
    ReaderPort(boost::asio::io_context &context, const Tcp::endpoint &endpoint, const ValueStore &store, CallCounter &counter);

    void open();
    void setMode(ServiceMode mode);

    /// Replaces a value for the readers of this port only.
    /// @return false when the value exceeds maxValueBytes
    bool overrideValue(const std::string &key, std::string body);

    /// Wakes the watches after a change of the store.
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

    /// Waits until a change may have happened or `deadline` has passed.
    boost::asio::awaitable<void> waitForChange(Deadline deadline);

    boost::asio::io_context &context;
    const ValueStore &store;
    CallCounter &counter;
    ValueStore overrides;
    std::optional<ValueStore> staleStore; ///< Copy that is served in the mode Stale.
    ServiceMode mode = ServiceMode::Normal;
    std::set<boost::asio::steady_timer *> waiters;
    HttpServer server;
};

} // namespace Galenarack::StandIns
