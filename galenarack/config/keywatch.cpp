#include <galenarack/config/keywatch.h>

#include <galenarack/core/text.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace Galenarack {

namespace {

namespace asio = boost::asio;

constexpr unsigned httpOk = 200;
constexpr unsigned httpNotModified = 304;
constexpr unsigned httpNotFound = 404;

/// A watch that ends sooner than this without a new value is a fault of the service. The next watch is then delayed like a retry,
/// as the node would otherwise call without a pause.
constexpr Duration minWatchTime = std::chrono::milliseconds(200);

/// Longest pause between reads of a key that does not exist yet and so cannot be watched. The mean pause is 1 s, so 660 nodes make
/// 660 calls a second on average, a third of the limit of the service, and a first manifest is in force within the 5 s of P7.
constexpr Duration maxAbsentKeyPause = std::chrono::seconds(2);

/// Number of doublings after which the pause stops growing, independent of the settings.
constexpr unsigned maxDoublings = 16;

} // namespace

KeyWatch::KeyWatch(const asio::any_io_executor &executor, const ServiceSettings &settings, std::string key, std::uint64_t seed)
    : settings(settings)
    , key(std::move(key))
    , random(seed)
    , client(executor, settings)
    , timer(executor)
{
}

void KeyWatch::stop()
{
    this->stopped = true;
    this->timer.cancel();
    this->client.close();
}

ReaderCounters KeyWatch::counters() const
{
    ReaderCounters counters = this->count;
    counters.calls = this->client.callCount();
    return counters;
}

asio::awaitable<void> KeyWatch::pause(Duration time)
{
    if (this->stopped) {
        co_return;
    }
    this->timer.expires_after(time);
    co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> KeyWatch::pauseUpTo(Duration maxPause)
{
    std::uniform_int_distribution<Duration::rep> distribution(0, maxPause.count());
    co_await this->pause(Duration(distribution(this->random)));
}

Duration KeyWatch::backoff()
{
    const unsigned doublings = std::min(this->failuresInRow, maxDoublings);
    ++this->failuresInRow;
    const Duration maxPause = std::min(this->settings.retryMin * (Duration::rep{1} << doublings), this->settings.retryMax);
    std::uniform_int_distribution<Duration::rep> distribution(maxPause.count() / 2, maxPause.count());
    return Duration(distribution(this->random));
}

std::string KeyWatch::target(Duration wait) const
{
    std::string path = "/v1/values/" + this->key;
    if (this->etag.empty()) {
        return path;
    }
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
    return path + "?after=" + percentEncoded(this->etag) + "&wait=" + std::to_string(seconds);
}

asio::awaitable<void> KeyWatch::run(Handler handler, ReplyCallback replied)
{
    co_await this->pauseUpTo(this->settings.startJitter);
    while (!this->stopped) {
        co_await this->step(handler, replied);
    }
}

asio::awaitable<void> KeyWatch::step(const Handler &handler, const ReplyCallback &replied)
{
    // A value that was not processed completely is retried after a pause. The pause is a short watch, so that a newer value ends it.
    Duration wait(0);
    if (!this->etag.empty()) {
        std::uniform_int_distribution<Duration::rep> distribution(this->settings.watchWait.count() * 4 / 5,
                                                                  this->settings.watchWait.count());
        // The protocol has whole seconds.
        wait = std::chrono::ceil<std::chrono::seconds>(this->isValuePending ? this->backoff() : Duration(distribution(this->random)));
    }
    const TimePoint start = NodeClock::now();
    ++this->count.watches;
    absl::StatusOr<ServiceReply> reply = co_await this->client.get(this->target(wait), wait);
    if (this->stopped) {
        co_return;
    }
    const bool isUsable
        = reply.ok()
          && (reply->status == httpOk || reply->status == httpNotFound || (reply->status == httpNotModified && !this->etag.empty()));
    const bool isChange = isUsable && reply->status == httpOk && (this->etag.empty() || reply->etag != this->etag);
    if (isChange) {
        co_await this->storeReply(handler, std::move(*reply));
    }
    // The reply is reported after its value has been handled: a node must not start with older content received from a peer meanwhile.
    if (!this->stopped) {
        replied(isUsable);
    }
    if (isChange) {
        if (this->etag.empty()) {
            // A value without an ETag cannot be watched, so it is read again after a pause.
            co_await this->pause(this->settings.retryMax);
        }
        co_return;
    }
    if (!isUsable) {
        ++this->count.failures;
        co_await this->pause(this->backoff());
        co_return;
    }
    this->count.notModified += reply->status == httpNotModified ? 1 : 0;
    if (this->isValuePending) {
        co_await this->deliverValue(handler);
    } else if (reply->status == httpNotModified) {
        this->failuresInRow = 0;
    }
    if (reply->status == httpNotFound) {
        co_await this->pauseUpTo(std::min(this->settings.retryMax, maxAbsentKeyPause));
    } else if (reply->status != httpNotModified || NodeClock::now() - start < minWatchTime) {
        co_await this->pause(this->backoff());
    }
}

asio::awaitable<void> KeyWatch::storeReply(const Handler &handler, ServiceReply reply)
{
    this->failuresInRow = 0;
    this->etag = reply.etag;
    this->value = std::move(reply.body);
    co_await this->deliverValue(handler);
}

asio::awaitable<void> KeyWatch::deliverValue(const Handler &handler)
{
    const bool isDone = co_await handler(this->value);
    this->isValuePending = !isDone;
    if (isDone) {
        this->failuresInRow = 0;
    }
}

} // namespace Galenarack
