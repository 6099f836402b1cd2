#include <galenarack/config/configreader.h>

#include <galenarack/core/errorkind.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace Galenarack {

namespace {

namespace asio = boost::asio;

constexpr unsigned httpOk = 200;

/// @return whether the source gave no usable reply, as opposed to a reply with a value that can't be used
bool isCallFailure(ErrorKind kind)
{
    return kind == ErrorKind::PeerUnreachable || kind == ErrorKind::PeerLost || kind == ErrorKind::Timeout;
}

/// Maximum number of concurrent fetches from peers. Further offers are dropped; peers repeat them with the next heartbeat.
constexpr std::size_t maxPeerFetches = 4;

} // namespace

ConfigReader::ConfigReader(const asio::any_io_executor &executor,
                           const ServiceSettings &settings,
                           SectionCache &cache,
                           const RevisionGate &gate,
                           ConfigReaderCallbacks callbacks,
                           std::uint64_t seed)
    : executor(executor)
    , settings(settings)
    , cache(cache)
    , gate(gate)
    , callbacks(std::move(callbacks))
    , watch(executor, settings, "manifest", seed)
{
}

void ConfigReader::start()
{
    auto self = this->shared_from_this();
    auto handler = [this](std::string value) {
        return this->processServiceManifest(std::move(value));
    };
    auto replied = [this](bool hasReplied) {
        this->callbacks.service(hasReplied);
    };
    asio::co_spawn(this->executor, this->watch.run(std::move(handler), std::move(replied)), [self](const std::exception_ptr &error) {
        if (error) {
            std::rethrow_exception(error);
        }
    });
}

void ConfigReader::stop()
{
    this->watch.stop();
}

std::vector<std::string> ConfigReader::missingFor(std::string_view manifestJson) const
{
    const auto manifest = Manifest::parse(manifestJson);
    if (!manifest.ok() || !this->gate.isNewer(*manifest)) {
        return {};
    }
    return this->cache.missing(manifest->allDigests());
}

asio::awaitable<bool> ConfigReader::processServiceManifest(std::string manifestJson)
{
    std::vector<std::string> missing = this->missingFor(manifestJson);
    if (!missing.empty()) {
        const auto factor = static_cast<Duration::rep>(missing.size() + 1);
        co_await this->watch.pauseUpTo(std::min(this->settings.fetchSpread * factor, this->settings.fetchSpreadMax));
        // Peers may have delivered some of the values during the pause.
        missing = this->missingFor(manifestJson);
        FetchSection fetch = [this](std::string digest) {
            return this->fetchFromService(std::move(digest));
        };
        co_await this->fetchAll("service", std::move(missing), std::move(fetch));
    }
    if (this->watch.isStopped()) {
        co_return true;
    }
    const bool isComplete = this->missingFor(manifestJson).empty();
    this->callbacks.manifest("service", manifestJson);
    co_return isComplete;
}

asio::awaitable<absl::StatusOr<std::string>> ConfigReader::fetchFromService(std::string digest)
{
    absl::StatusOr<ServiceReply> reply = co_await this->watch.serviceClient().get("/v1/values/section/" + digest, Duration(0));
    if (!reply.ok()) {
        co_return reply.status();
    }
    if (reply->status != httpOk) {
        co_return makeError(ErrorKind::ConfigInvalid, "section " + digest + ": unexpected HTTP status " + std::to_string(reply->status));
    }
    co_return std::move(reply->body);
}

asio::awaitable<void> ConfigReader::fetchAll(std::string source, std::vector<std::string> digests, FetchSection fetch)
{
    for (const std::string &digest : digests) {
        absl::StatusOr<std::string> value = co_await fetch(digest);
        if (this->watch.isStopped()) {
            co_return;
        }
        const absl::Status status = value.ok() ? this->cache.put(digest, std::move(*value)) : value.status();
        if (!status.ok()) {
            this->callbacks.problem(makeError(errorKindOf(status), "from " + source + ": " + std::string(status.message())));
        }
        // An invalid or absent value does not affect the next one, but a source that does not respond is unlikely to serve it.
        if (isCallFailure(errorKindOf(status))) {
            co_return;
        }
    }
}

bool ConfigReader::canStartPeerFetch(const PeerFetch &fetch) const
{
    if (this->watch.isStopped() || this->peerFetches.size() >= maxPeerFetches || this->peerFetches.contains(fetch)) {
        return false;
    }
    const TimePoint now = NodeClock::now();
    return std::ranges::none_of(this->peerFetches, [&fetch, now](const auto &entry) {
        return entry.first.first == fetch.first && now - entry.second < peerFetchTimeout;
    });
}

void ConfigReader::offerFromPeer(std::string peer, std::string manifestJson, FetchSection fetch)
{
    if (!this->canStartPeerFetch({manifestJson, peer})) {
        return;
    }
    this->peerFetches[{manifestJson, peer}] = NodeClock::now();
    auto self = this->shared_from_this();
    asio::co_spawn(this->executor,
                   this->processPeerManifest(std::move(peer), std::move(manifestJson), std::move(fetch)),
                   [self](const std::exception_ptr &error) {
                       if (error) {
                           std::rethrow_exception(error);
                       }
                   });
}

asio::awaitable<void> ConfigReader::processPeerManifest(std::string peer, std::string manifestJson, FetchSection fetch)
{
    const Duration timeout = this->settings.transferTimeout;
    FetchSection fetchWithTimeout = [this, timeout, fetch](std::string digest) -> asio::awaitable<absl::StatusOr<std::string>> {
        using namespace asio::experimental::awaitable_operators;
        asio::steady_timer timer(this->executor, timeout);
        const std::string name = digest;
        auto result = co_await (fetch(std::move(digest)) || timer.async_wait(asio::as_tuple(asio::use_awaitable)));
        if (result.index() == 0) {
            co_return std::move(std::get<0>(result));
        }
        co_return makeError(ErrorKind::PeerUnreachable, "section " + name + ": no reply in time");
    };
    std::vector<std::string> missing = this->missingFor(manifestJson);
    co_await this->fetchAll(peer, std::move(missing), std::move(fetchWithTimeout));
    this->peerFetches.erase({manifestJson, peer});
    if (!this->watch.isStopped()) {
        this->callbacks.manifest(peer, manifestJson);
    }
}

} // namespace Galenarack
