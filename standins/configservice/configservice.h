#pragma once

#include "valuestore.h"

#include <standins/common/httpserver.h>

#include <chrono>
#include <memory>
#include <optional>
#include <set>

namespace Galenarack::StandIns {

/// How the service answers its readers.
enum class ServiceMode : std::uint8_t {
    Normal,
    Frozen, ///< Accepts connections and requests and never replies.
    Down, ///< Refuses connections.
    Stale, ///< Serves the values as of the change to this mode.
};

/// Configuration service with VM list: readers can read and watch values, the control port changes them.
///
/// Readers: GET /v1/values/KEY[?after=ETAG&wait=SECONDS]
/// Control: PUT or DELETE /values/KEY, POST /mode/{normal,frozen,down,stale}, GET /calls
class ConfigService
{
public:
    struct Settings
    {
        Tcp::endpoint listen;
        Tcp::endpoint control;
        double maxCallsPerSecond = 0.0; ///< Further calls get 429; 0 means no limit.
    };

    ConfigService(boost::asio::io_context &context, const Settings &settings);

    /// Opens both ports.
    void start();

    ValueStore &store()
    {
        return this->values;
    }
    const Tcp::endpoint &readerAddress() const
    {
        return this->readers.address();
    }
    const Tcp::endpoint &controlAddress() const
    {
        return this->control.address();
    }

private:
    using Deadline = std::chrono::steady_clock::time_point;

    boost::asio::awaitable<HttpResponse> answerReader(const HttpRequest &request);
    boost::asio::awaitable<HttpResponse> answerControl(const HttpRequest &request);
    HttpResponse answerValueChange(const HttpRequest &request, const std::string &key);
    HttpResponse answerCalls(const HttpRequest &request) const;
    HttpResponse valueResponse(const HttpRequest &request, const StoredValue *value) const;

    /// Waits until a change may have happened or `deadline` has passed.
    boost::asio::awaitable<void> waitForChange(Deadline deadline);
    void wakeWaiters();
    void setMode(ServiceMode mode);
    bool takeCallToken();

    boost::asio::io_context &context;
    double maxCallsPerSecond;
    ValueStore values;
    ServiceMode mode = ServiceMode::Normal;
    std::set<boost::asio::steady_timer *> waiters;
    std::map<std::string, std::uint64_t> callsByKey;
    std::uint64_t calls = 0;
    std::uint64_t refusedCalls = 0;
    double callTokens;
    Deadline tokensUpdated = std::chrono::steady_clock::now();
    HttpServer readers;
    HttpServer control;
};

} // namespace Galenarack::StandIns
