#include "upstream.h"

#include "upstreamconnection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cmath>

namespace Galenarack::StandIns {

namespace asio = boost::asio;

namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

double elapsedMs(std::chrono::steady_clock::time_point since)
{
    return Milliseconds(std::chrono::steady_clock::now() - since).count();
}

} // namespace

Upstream::Upstream(
    asio::io_context &context, std::string name, Tcp::endpoint endpoint, UpstreamSettings settings, std::uint64_t seed, RunLog &runs)
    : context(context)
    , upstreamName(std::move(name))
    , endpoint(std::move(endpoint))
    , acceptor(context, this->endpoint)
    , settings(std::move(settings))
    , random(seed)
    , runs(runs)
    , slotInUse(this->settings.slots, false)
{
    this->endpoint = this->acceptor.local_endpoint();
}

void Upstream::start()
{
    this->coldSince = std::chrono::steady_clock::now();
    this->flapSince = this->coldSince;
    asio::co_spawn(this->context, this->acceptLoop(), asio::detached);
}

asio::awaitable<void> Upstream::acceptLoop()
{
    while (true) {
        auto [error, socket] = co_await this->acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (error) {
            continue;
        }
        ++this->counters.connections;
        const auto connection = std::make_shared<UpstreamConnection>(*this, std::move(socket));
        asio::co_spawn(this->context, connection->serve(), [connection](const std::exception_ptr &) {});
    }
}

void Upstream::change(const nlohmann::json &change)
{
    applyChange(this->settings, change);
    // Never shrinks: requests that are running keep their slots until they end.
    this->slotInUse.resize(std::max<std::size_t>(this->slotInUse.size(), this->settings.slots), false);
    if (change.contains("cold_ms")) {
        this->coldSince = std::chrono::steady_clock::now();
    }
    if (change.contains("flap_period_ms")) {
        this->flapSince = std::chrono::steady_clock::now();
    }
}

void Upstream::resetCounters()
{
    this->counters = UpstreamCounters();
}

nlohmann::json Upstream::toJson() const
{
    return {
        {"address", endpointText(this->endpoint)},
        {"settings", StandIns::toJson(this->settings)},
        {"running", this->running},
        {"connections", this->counters.connections},
        {"requests", this->counters.requests},
        {"excess", this->counters.excess},
        {"shed", this->counters.shed},
        {"late", this->counters.late},
        {"max_running", this->counters.maxRunning},
    };
}

UpstreamSettings Upstream::effectiveSettings() const
{
    const double period = this->settings.flapPeriodMs;
    if (period > 0.0 && std::fmod(elapsedMs(this->flapSince), period) >= period / 2.0) {
        return withoutFaults(this->settings);
    }
    return this->settings;
}

std::chrono::microseconds Upstream::drawDuration(const UpstreamSettings &settings, std::string_view path)
{
    std::lognormal_distribution<double> spread(0.0, settings.delaySpread);
    double milliseconds = settings.baseDelayMs * spread(this->random);
    if (settings.slowPath.empty() || path.starts_with(settings.slowPath)) {
        milliseconds *= settings.slowFactor;
    }
    if (elapsedMs(this->coldSince) < settings.coldMs) {
        milliseconds *= settings.coldFactor;
    }
    return std::chrono::duration_cast<std::chrono::microseconds>(Milliseconds(milliseconds));
}

bool Upstream::draw(double share)
{
    return std::bernoulli_distribution(share)(this->random);
}

std::optional<std::size_t> Upstream::acquireSlot()
{
    // Round robin, so that a stuck slot receives its share of the requests at any load.
    for (std::size_t i = 0; i < this->settings.slots; ++i) {
        const std::size_t slot = (this->nextSlot + i) % this->settings.slots;
        if (!this->slotInUse[slot]) {
            this->slotInUse[slot] = true;
            this->nextSlot = slot + 1;
            return slot;
        }
    }
    return std::nullopt;
}

} // namespace Galenarack::StandIns
