#include <galenarack/fleet/registryfollower.h>

#include <galenarack/core/errorkind.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Galenarack {

namespace asio = boost::asio;

RegistryFollower::RegistryFollower(const asio::any_io_executor &executor,
                                   Platform::RegistryClient &client,
                                   FleetView &view,
                                   FollowerSettings settings,
                                   std::mt19937_64 random)
    : client(client)
    , view(view)
    , settings(settings)
    , random(random)
    , timer(executor)
    , probeTimer(executor)
{
}

asio::awaitable<void> RegistryFollower::run()
{
    using namespace asio::experimental::awaitable_operators;
    co_await (this->follow() && this->probe());
}

asio::awaitable<void> RegistryFollower::follow()
{
    for (;;) {
        const bool done = this->revision != 0 ? co_await this->watchOnce() : co_await this->readAll();
        if (!done) {
            co_await this->backOff();
        }
    }
}

asio::awaitable<void> RegistryFollower::probe()
{
    for (;;) {
        const TimePoint start = NodeClock::now();
        const TimePoint due = this->lastReply + this->settings.probeInterval;
        if (!this->watching || start < due) {
            this->probeTimer.expires_after(this->watching ? due - start : this->settings.probeInterval);
            co_await this->probeTimer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        const absl::Status status = co_await this->client.probe();
        if (status.ok()) {
            this->lastReply = NodeClock::now();
        } else if (this->watching && this->lastReply < start) {
            this->log.warn("registry does not answer", {{"reason", messageOf(status)}});
            this->client.abortWatch();
        }
    }
}

asio::awaitable<bool> RegistryFollower::readAll()
{
    const auto entries = co_await this->client.readEntries();
    if (!entries.ok()) {
        this->onCallFailed(messageOf(entries.status()));
        co_return false;
    }
    const auto config = co_await this->client.readConfig();
    if (!config.ok()) {
        this->onCallFailed(messageOf(config.status()));
        co_return false;
    }
    this->onCallSucceeded();
    this->applyChanges(*config);
    this->applyChanges(*entries);
    std::vector<std::string> listedIds;
    for (const Platform::RegistryChange &change : entries->changes) {
        if (const auto *entry = std::get_if<UpstreamEntry>(&change)) {
            listedIds.push_back(entry->id);
        }
    }
    std::ranges::sort(listedIds);
    for (const auto &[id, entry] : this->view.entries()) {
        if (!std::ranges::binary_search(listedIds, id)) {
            this->heldRemovals.try_emplace(id, entries->revision);
        }
    }
    this->applyHeldRemovals(NodeClock::now());
    this->revision = entries->revision;
    this->synchronized = true;
    co_return true;
}

asio::awaitable<bool> RegistryFollower::watchOnce()
{
    const TimePoint now = NodeClock::now();
    this->applyHeldRemovals(now);
    const Duration wait = this->heldRemovals.empty() ? this->settings.watchWait : std::max(this->holdRemovalsUntil - now, Duration(1000));
    this->watching = true;
    const auto read = co_await this->client.watch(this->revision, std::min(wait, this->settings.watchWait));
    this->watching = false;
    if (!read.ok()) {
        this->onCallFailed(messageOf(read.status()));
        // Changes since this revision may no longer be in the registry's history, and a new watch would not reveal that.
        this->revision = 0;
        co_return false;
    }
    this->onCallSucceeded();
    if (read->historyLost) {
        this->log.warn("registry history lost", {{"revision", static_cast<std::int64_t>(this->revision)}});
        this->revision = 0;
        co_return true;
    }
    this->applyChanges(*read);
    this->revision = std::max(this->revision, read->revision);
    if (!read->changes.empty()) {
        // Waiting changes are returned at once. A longer call means that there was no change when the watch started.
        const bool waited = NodeClock::now() - now > this->settings.batchPause;
        this->busyWatchCount = waited ? 0 : this->busyWatchCount + 1;
        co_await this->pause(std::min(this->settings.batchPause * (1 + this->busyWatchCount), this->settings.batchPauseMax));
    }
    co_return true;
}

namespace {

/// Visitor that applies one registry change to a view. Removals are only recorded, since they may have to be deferred.
struct ChangeApplier
{
    FleetView &view;
    std::map<std::string, std::uint64_t, std::less<>> &removals;
    const Log &log;

    void operator()(const std::shared_ptr<const TrafficConfig> &config) const
    {
        this->view.applyConfig(config);
    }
    void operator()(const UpstreamEntry &entry) const
    {
        this->removals.erase(entry.id);
        this->view.applyEntry(entry, NodeClock::now());
    }
    void operator()(const Platform::EntryRemoved &removed) const
    {
        this->removals[removed.id] = removed.revision;
    }
    void operator()(const Platform::ItemInvalid &invalid) const
    {
        this->log.warn("registry item ignored",
                       {{"key", invalid.key}, {"revision", static_cast<std::int64_t>(invalid.revision)}, {"reason", invalid.reason}});
    }
};

} // namespace

void RegistryFollower::applyChanges(const Platform::RegistryRead &read)
{
    for (const Platform::RegistryChange &change : read.changes) {
        std::visit(ChangeApplier{this->view, this->heldRemovals, this->log}, change);
    }
    this->applyHeldRemovals(NodeClock::now());
}

void RegistryFollower::applyHeldRemovals(TimePoint now)
{
    if (now < this->holdRemovalsUntil) {
        return;
    }
    for (const auto &[id, removalRevision] : this->heldRemovals) {
        this->view.removeEntry(id, removalRevision);
    }
    this->heldRemovals.clear();
}

void RegistryFollower::onCallFailed(std::string_view reason)
{
    if (this->contact || this->consecutiveFailures == 0) {
        this->log.warn("registry lost",
                       {{"reason", reason},
                        {"revision", static_cast<std::int64_t>(this->revision)},
                        {"last_reply_ms", toMilliseconds(TimePoint(NodeClock::now() - this->lastReply))}});
    }
    this->contact = false;
}

void RegistryFollower::onCallSucceeded()
{
    if (!this->contact) {
        this->log.info("registry reached", {{"failures", static_cast<std::int64_t>(this->consecutiveFailures)}});
        if (this->synchronized) {
            this->holdRemovalsUntil = NodeClock::now() + this->settings.removalHoldTime;
        }
    }
    this->contact = true;
    this->lastReply = NodeClock::now();
    this->consecutiveFailures = 0;
}

asio::awaitable<void> RegistryFollower::backOff()
{
    const Duration base = std::min(this->settings.retryMin * (1U << std::min(this->consecutiveFailures, 4U)), this->settings.retryMax);
    ++this->consecutiveFailures;
    std::uniform_int_distribution<Duration::rep> jitter(base.count() / 2, base.count());
    co_await this->pause(Duration(jitter(this->random)));
}

asio::awaitable<void> RegistryFollower::pause(Duration time)
{
    this->timer.expires_after(time);
    co_await this->timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace Galenarack
