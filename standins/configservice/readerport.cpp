#include "readerport.h"

#include <galenarack/core/scopeguard.h>

#include <algorithm>
#include <cstdlib>

namespace Galenarack::StandIns {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view keyPrefix = "/v1/values/";
constexpr double maxWaitSeconds = 60.0;
constexpr std::string_view plainText = "text/plain";

/// @return the entity tag of an `after` parameter, which may be quoted, without quotes
std::string unquotedTag(std::string text)
{
    std::erase(text, '"');
    return text;
}

std::chrono::steady_clock::time_point watchDeadline(const Target &target)
{
    const double wait = std::clamp(std::atof(target.parameter("wait", "0").c_str()), 0.0, maxWaitSeconds);
    return std::chrono::steady_clock::now() + std::chrono::microseconds(static_cast<std::int64_t>(wait * 1e6));
}

HttpResponse valueResponse(const HttpRequest &request, const StoredValue *value)
{
    if (value == nullptr) {
        return makeResponse(request, 404, plainText, "no such key\n");
    }
    HttpResponse response = makeResponse(request, 200, "application/octet-stream", value->body);
    response.set(http::field::etag, '"' + value->tag + '"');
    return response;
}

HttpResponse unchangedResponse(const HttpRequest &request, const StoredValue &value)
{
    HttpResponse response(http::status::not_modified, request.version());
    response.keep_alive(request.keep_alive());
    response.set(http::field::etag, '"' + value.tag + '"');
    return response;
}

} // namespace

CallCounter::CallCounter(double maxCallsPerSecond)
    : maxCallsPerSecond(maxCallsPerSecond)
    , tokens(maxCallsPerSecond)
    , updated(std::chrono::steady_clock::now())
{
}

bool CallCounter::count(const std::string &key)
{
    ++this->calls;
    ++this->callsByKey[key];
    if (this->maxCallsPerSecond <= 0.0) {
        return true;
    }
    const auto now = std::chrono::steady_clock::now();
    const double elapsed = std::chrono::duration<double>(now - this->updated).count();
    this->updated = now;
    this->tokens = std::min(this->maxCallsPerSecond, this->tokens + elapsed * this->maxCallsPerSecond);
    if (this->tokens < 1.0) {
        ++this->refused;
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

ReaderPort::ReaderPort(asio::io_context &context, const Tcp::endpoint &endpoint, const ValueStore &store, CallCounter &counter)
    : context(context)
    , store(store)
    , counter(counter)
    , server(context, endpoint, [this](const HttpRequest &request) {
        return this->handleRequest(request);
    })
{
}

void ReaderPort::open()
{
    this->server.open();
}

void ReaderPort::setMode(ServiceMode mode)
{
    if (this->mode == ServiceMode::Down && mode != ServiceMode::Down) {
        this->server.open();
    }
    if (this->mode != ServiceMode::Down && mode == ServiceMode::Down) {
        this->server.close();
    }
    if (mode != ServiceMode::Stale) {
        this->staleStore.reset();
    } else if (!this->staleStore) {
        this->staleStore = this->store;
    }
    this->mode = mode;
    this->wakeWaiters();
}

bool ReaderPort::override(const std::string &key, std::string body)
{
    const bool kept = this->overrides.put(key, std::move(body));
    this->wakeWaiters();
    return kept;
}

void ReaderPort::wakeWaiters()
{
    for (asio::steady_timer *timer : this->waiters) {
        timer->cancel();
    }
}

asio::awaitable<HttpResponse> ReaderPort::handleRequest(const HttpRequest &request)
{
    const Target target(request.target());
    if (request.method() != http::verb::get || !target.path.starts_with(keyPrefix)) {
        co_return makeResponse(request, 404, plainText, "only GET /v1/values/KEY is served\n");
    }
    const std::string key = target.path.substr(keyPrefix.size());
    if (!this->counter.count(key)) {
        HttpResponse refused = makeResponse(request, 429, plainText, "too many calls\n");
        refused.set(http::field::retry_after, "1");
        co_return refused;
    }
    const Deadline deadline = watchDeadline(target);
    const std::string after = unquotedTag(target.parameter("after"));
    bool isLost = false;
    while (true) {
        isLost = isLost || this->mode == ServiceMode::Silent;
        if (isLost || this->mode == ServiceMode::Frozen) {
            co_await this->waitForChange(Deadline::max());
            continue;
        }
        const StoredValue *value = this->find(key);
        const bool changed = value != nullptr ? value->tag != after : !after.empty();
        if (changed) {
            co_return valueResponse(request, value);
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            co_return value != nullptr ? unchangedResponse(request, *value) : valueResponse(request, nullptr);
        }
        co_await this->waitForChange(deadline);
    }
}

const StoredValue *ReaderPort::find(std::string_view key) const
{
    if (const StoredValue *value = this->overrides.find(key)) {
        return value;
    }
    return this->staleStore ? this->staleStore->find(key) : this->store.find(key);
}

asio::awaitable<void> ReaderPort::waitForChange(Deadline deadline)
{
    asio::steady_timer timer(this->context);
    this->waiters.insert(&timer);
    const ScopeGuard removal([this, &timer] {
        this->waiters.erase(&timer);
    });
    // One hour is used for no limit, as expires_after() overflows with Deadline::max().
    const auto wait = deadline == Deadline::max() ? std::chrono::hours(1) : deadline - std::chrono::steady_clock::now();
    co_await sleepFor(timer, wait);
}

} // namespace Galenarack::StandIns
