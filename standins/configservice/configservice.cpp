#include "configservice.h"

#include <galenarack/core/scopeguard.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>

namespace Galenarack::StandIns {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::string_view readerPrefix = "/v1/values/";
constexpr std::string_view controlPrefix = "/values/";
constexpr std::string_view modePrefix = "/mode/";
constexpr double maxWaitSeconds = 60.0;
constexpr std::string_view plainText = "text/plain";

constexpr std::array<std::pair<std::string_view, ServiceMode>, 4> modeNames = {{
    {"normal", ServiceMode::Normal},
    {"frozen", ServiceMode::Frozen},
    {"down", ServiceMode::Down},
    {"stale", ServiceMode::Stale},
}};

/// Entity tag of an `after` parameter, with or without quotes.
std::string bareTag(std::string text)
{
    std::erase(text, '"');
    return text;
}

} // namespace

ConfigService::ConfigService(asio::io_context &context, const Settings &settings)
    : context(context)
    , maxCallsPerSecond(settings.maxCallsPerSecond)
    , callTokens(settings.maxCallsPerSecond)
    , readers(context,
              settings.listen,
              [this](const HttpRequest &request) {
                  return this->answerReader(request);
              })
    , control(context, settings.control, [this](const HttpRequest &request) {
        return this->answerControl(request);
    })
{
}

void ConfigService::start()
{
    this->readers.open();
    this->control.open();
}

asio::awaitable<HttpResponse> ConfigService::answerReader(const HttpRequest &request)
{
    const Target target(request.target());
    if (request.method() != http::verb::get || !target.path.starts_with(readerPrefix)) {
        co_return makeResponse(request, 404, plainText, "only GET /v1/values/KEY is served\n");
    }
    const std::string key = target.path.substr(readerPrefix.size());
    ++this->calls;
    ++this->callsByKey[key];
    if (!this->takeCallToken()) {
        ++this->refusedCalls;
        HttpResponse refused = makeResponse(request, 429, plainText, "too many calls\n");
        refused.set(http::field::retry_after, "1");
        co_return refused;
    }

    const double wait = std::clamp(std::atof(target.parameter("wait", "0").c_str()), 0.0, maxWaitSeconds);
    const Deadline deadline = std::chrono::steady_clock::now() + std::chrono::microseconds(static_cast<std::int64_t>(wait * 1e6));
    const std::string after = bareTag(target.parameter("after"));
    while (true) {
        if (this->mode == ServiceMode::Frozen) {
            co_await this->waitForChange(Deadline::max());
            continue;
        }
        const StoredValue *value = this->values.find(key);
        const bool changed = value != nullptr ? value->tag != after : !after.empty();
        if (changed) {
            co_return this->valueResponse(request, value);
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            break;
        }
        co_await this->waitForChange(deadline);
    }
    const StoredValue *value = this->values.find(key);
    if (value == nullptr) {
        co_return this->valueResponse(request, nullptr);
    }
    HttpResponse unchanged(http::status::not_modified, request.version());
    unchanged.keep_alive(request.keep_alive());
    unchanged.set(http::field::etag, '"' + value->tag + '"');
    co_return unchanged;
}

HttpResponse ConfigService::valueResponse(const HttpRequest &request, const StoredValue *value) const
{
    if (value == nullptr) {
        return makeResponse(request, 404, plainText, "no such key\n");
    }
    HttpResponse response = makeResponse(request, 200, "application/octet-stream", value->body);
    response.set(http::field::etag, '"' + value->tag + '"');
    return response;
}

asio::awaitable<HttpResponse> ConfigService::answerControl(const HttpRequest &request)
{
    const Target target(request.target());
    if (target.path == "/calls") {
        co_return this->answerCalls(request);
    }
    if (target.path.starts_with(controlPrefix)) {
        co_return this->answerValueChange(request, target.path.substr(controlPrefix.size()));
    }
    if (request.method() == http::verb::post && target.path.starts_with(modePrefix)) {
        const std::string name = target.path.substr(modePrefix.size());
        const auto row = std::find_if(modeNames.begin(), modeNames.end(), [&name](const auto &candidate) {
            return candidate.first == name;
        });
        if (row != modeNames.end()) {
            this->setMode(row->second);
            co_return makeResponse(request, 200, plainText, "ok\n");
        }
    }
    co_return makeResponse(request, 404, plainText, "no such control\n");
}

HttpResponse ConfigService::answerValueChange(const HttpRequest &request, const std::string &key)
{
    if (request.method() == http::verb::put) {
        if (!this->values.put(key, request.body())) {
            return makeResponse(request, 413, plainText, "a value holds at most 1 MB\n");
        }
    } else if (request.method() == http::verb::delete_) {
        this->values.remove(key);
    } else {
        return makeResponse(request, 405, plainText, "PUT or DELETE\n");
    }
    this->wakeWaiters();
    return makeResponse(request, 200, plainText, "ok\n");
}

HttpResponse ConfigService::answerCalls(const HttpRequest &request) const
{
    const nlohmann::json counts = {
        {"total", this->calls},
        {"refused", this->refusedCalls},
        {"waiting", this->waiters.size()},
        {"keys", this->callsByKey},
    };
    return makeResponse(request, 200, "application/json", counts.dump());
}

asio::awaitable<void> ConfigService::waitForChange(Deadline deadline)
{
    asio::steady_timer timer(this->context);
    this->waiters.insert(&timer);
    const ScopeGuard removal([this, &timer] {
        this->waiters.erase(&timer);
    });
    const auto now = std::chrono::steady_clock::now();
    // An hour stands for no limit: expires_after() overflows with Deadline::max().
    co_await sleepFor(timer, deadline == Deadline::max() ? std::chrono::hours(1) : deadline - now);
}

void ConfigService::wakeWaiters()
{
    for (asio::steady_timer *timer : this->waiters) {
        timer->cancel();
    }
}

void ConfigService::setMode(ServiceMode mode)
{
    if (this->mode == ServiceMode::Down && mode != ServiceMode::Down) {
        this->readers.open();
    }
    if (this->mode != ServiceMode::Down && mode == ServiceMode::Down) {
        this->readers.close();
    }
    this->mode = mode;
    this->values.hold(mode == ServiceMode::Stale);
    this->wakeWaiters();
}

bool ConfigService::takeCallToken()
{
    if (this->maxCallsPerSecond <= 0.0) {
        return true;
    }
    const auto now = std::chrono::steady_clock::now();
    const double elapsed = std::chrono::duration<double>(now - this->tokensUpdated).count();
    this->tokensUpdated = now;
    this->callTokens = std::min(this->maxCallsPerSecond, this->callTokens + elapsed * this->maxCallsPerSecond);
    if (this->callTokens < 1.0) {
        return false;
    }
    this->callTokens -= 1.0;
    return true;
}

} // namespace Galenarack::StandIns
