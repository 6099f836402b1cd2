#include <galenarack/fleet/registryfollower.h>

#include <galenarack/core/errorkind.h>
#include <galenarack/core/scopeguard.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <functional>
#include <iterator>

namespace Galenarack {

namespace asio = boost::asio;

RegistryFollower::RegistryFollower(const asio::any_io_executor &executor,
                                   Platform::RegistryClient &client,
                                   FleetView &view,
                                   RevisionTracker &revisions,
                                   FollowerSettings settings,
                                   std::mt19937_64 random)
    : client(client)
    , view(view)
    , revisions(revisions)
    , settings(settings)
    , random(random)
    , timer(executor)
    , probeTimer(executor)
{
}

asio::awaitable<void> RegistryFollower::run()
{
    using namespace asio::experimental::awaitable_operators;
    co_await (this->follow() && this->probeWhileWatching());
}

asio::awaitable<void> RegistryFollower::follow()
{
    for (;;) {
        if (this->outage) {
            // A probe costs a tenth of a read.
            co_await this->awaitRegistry();
        }
        const bool done = this->position.revision != 0 ? co_await this->watchOnce() : co_await this->readAll();
        if (!done) {
            co_await this->backOff();
        }
    }
}

asio::awaitable<void> RegistryFollower::probeWhileWatching()
{
    for (;;) {
        const TimePoint start = NodeClock::now();
        const TimePoint due = this->nextProbe();
        if (!this->watching || start < due) {
            // A watch that starts meanwhile is due for a probe after this time at the earliest.
            this->probeTimer.expires_after(this->watching ? due - start : this->settings.youngProbeInterval);
            co_await this->probeTimer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        const absl::Status status = co_await this->probe();
        if (status.ok()) {
            this->lastReply = NodeClock::now();
        } else if (this->watching && this->lastReply < start) {
            this->log.warn("registry does not answer", {{"reason", messageOf(status)}});
            this->outage = true;
            this->watching = false;
            this->client.abortWatch();
        }
    }
}

TimePoint RegistryFollower::nextProbe() const
{
    const bool isYoung = this->lastReply - this->watchStarted < this->settings.youngWatchTime;
    return this->lastReply + (isYoung ? this->settings.youngProbeInterval : this->settings.probeInterval);
}

void RegistryFollower::tick(TimePoint now)
{
    const bool isLate = this->revisions.isBehind() && now - std::max(this->revisions.since(), this->watchStarted) > this->settings.watchLag;
    if (this->watching && isLate) {
        this->log.warn("watch is behind",
                       {{"era", static_cast<std::int64_t>(this->position.era)},
                        {"revision", static_cast<std::int64_t>(this->position.revision)},
                        {"heard_era", static_cast<std::int64_t>(this->revisions.heard().era)},
                        {"heard_revision", static_cast<std::int64_t>(this->revisions.heard().revision)}});
        this->watchBehind = true;
        this->watching = false;
        this->client.abortWatch();
    }
}

asio::awaitable<void> RegistryFollower::awaitRegistry()
{
    this->awaiting = true;
    std::uniform_int_distribution<Duration::rep> jitter(this->settings.outageProbeInterval.count() / 2,
                                                        this->settings.outageProbeInterval.count());
    while (this->awaiting) {
        asio::co_spawn(
            this->timer.get_executor(),
            [this]() -> asio::awaitable<void> {
                const absl::Status status = co_await this->probe();
                if (status.ok() && this->awaiting) {
                    this->awaiting = false;
                    this->timer.cancel();
                }
            },
            asio::detached);
        co_await this->pause(Duration(jitter(this->random)));
        this->consecutiveFailures += this->awaiting ? 1 : 0;
    }
}

asio::awaitable<absl::Status> RegistryFollower::probe()
{
    const auto open = this->openProbes.insert(NodeClock::now());
    const ScopeGuard finished([this, open] {
        this->openProbes.erase(open);
    });
    const TimePoint start = *open;
    const auto position = co_await this->client.probe();
    if (!position.ok()) {
        this->lastFailedProbe = std::max(this->lastFailedProbe, start);
        co_return position.status();
    }
    if (open != this->openProbes.begin()) {
        // An earlier probe without an answer was lost, so the outage had not ended when it started.
        this->lastFailedProbe = std::max(this->lastFailedProbe, *std::prev(open));
    }
    this->revisions.onHeard(*position, NodeClock::now());
    co_return absl::OkStatus();
}

asio::awaitable<bool> RegistryFollower::readAll()
{
    const auto entries = co_await this->client.readEntries();
    if (!entries.ok()) {
        this->onCallFailed(entries.status(), false);
        co_return false;
    }
    const auto config = co_await this->client.readConfig();
    if (!config.ok()) {
        this->onCallFailed(config.status(), false);
        co_return false;
    }
    this->onCallSucceeded();
    // The registry came back from a copy between the two reads, or a late reply is of a history that was replaced.
    if (config->position.era != entries->position.era || entries->position.era < this->revisions.heard().era) {
        this->log.warn("registry read in two eras",
                       {{"entries_era", static_cast<std::int64_t>(entries->position.era)},
                        {"config_era", static_cast<std::int64_t>(config->position.era)},
                        {"heard_era", static_cast<std::int64_t>(this->revisions.heard().era)}});
        co_return false;
    }
    this->onEraChanged(entries->position);
    this->applyChanges(*config);
    this->applyChanges(*entries);
    std::vector<std::string> listedIds;
    for (const Platform::RegistryChange &change : entries->changes) {
        if (const auto *entry = std::get_if<UpstreamEntry>(&change)) {
            listedIds.push_back(entry->id);
        }
    }
    std::ranges::sort(listedIds);
    this->view.dropReturned(listedIds);
    for (const auto &[id, entry] : this->view.entries()) {
        if (!std::ranges::binary_search(listedIds, id)) {
            this->recordRemoval(id, entries->position);
        }
    }
    this->applyHeldRemovals(NodeClock::now());
    this->position = entries->position;
    this->revisions.onReadAll(this->position);
    this->synchronized = true;
    co_return true;
}

asio::awaitable<bool> RegistryFollower::watchOnce()
{
    const TimePoint now = NodeClock::now();
    this->watching = true;
    this->watchBehind = false;
    this->watchStarted = now;
    const auto read = co_await this->client.watch(this->position, this->untilRemovalDue(this->settings.watchWait, now));
    this->watching = false;
    if (!read.ok()) {
        this->onCallFailed(read.status(), true);
        // Changes since this revision may no longer be in the registry's history, and a new watch would not reveal that.
        this->position.revision = 0;
        co_return false;
    }
    this->onCallSucceeded();
    if (read->historyLost) {
        co_return this->onHistoryLost(read->position);
    }
    this->lostHistories = 0;
    this->applyChanges(*read);
    this->position = std::max(this->position, read->position);
    this->revisions.onApplied(this->position);
    if (!read->changes.empty()) {
        // Waiting changes are returned at once. A longer call means that there was no change when the watch started.
        const bool waited = NodeClock::now() - now > this->settings.batchPause;
        this->busyWatchCount = waited ? 0 : this->busyWatchCount + 1;
        const Duration batch = std::min(this->settings.batchPause * (1 + this->busyWatchCount), this->settings.batchPauseMax);
        // The watch after the pause ends when a deferred removal is due.
        co_await this->pause(this->untilRemovalDue(batch, NodeClock::now()));
    }
    co_return true;
}

bool RegistryFollower::onHistoryLost(const RegistryPosition &read)
{
    this->log.warn("registry history lost",
                   {{"era", static_cast<std::int64_t>(this->position.era)},
                    {"revision", static_cast<std::int64_t>(this->position.revision)},
                    {"reply_era", static_cast<std::int64_t>(read.era)}});
    this->position.revision = 0;
    ++this->lostHistories;
    // A registry that answers every watch so must not be read without a pause.
    return this->lostHistories == 1;
}

void RegistryFollower::onEraChanged(const RegistryPosition &read)
{
    if (!this->synchronized || read.era == this->revisions.applied().era) {
        return;
    }
    this->log.warn("registry came back from a copy",
                   {{"era", static_cast<std::int64_t>(read.era)},
                    {"revision", static_cast<std::int64_t>(read.revision)},
                    {"previous_era", static_cast<std::int64_t>(this->revisions.applied().era)},
                    {"previous_revision", static_cast<std::int64_t>(this->revisions.applied().revision)}});
    // Entries that the copy does not have yet are written again, as after an outage.
    this->holdRemovalsUntil = NodeClock::now() + this->settings.removalHoldTime;
}

namespace {

/// Visitor that applies one registry change to a view.
struct ChangeApplier
{
    FleetView &view;
    std::function<void(const UpstreamEntry &)> onWritten;
    std::function<void(const Platform::EntryRemoved &)> onRemoved;
    const Log &log;

    void operator()(const std::shared_ptr<const TrafficConfig> &config) const
    {
        this->view.applyConfig(config);
    }
    void operator()(const UpstreamEntry &entry) const
    {
        this->onWritten(entry);
        this->view.applyEntry(entry, NodeClock::now());
    }
    void operator()(const Platform::EntryRemoved &removed) const
    {
        this->onRemoved(removed);
    }
    void operator()(const Platform::ItemInvalid &invalid) const
    {
        if (!invalid.upstreamId.empty()) {
            this->onRemoved({invalid.upstreamId, invalid.position});
        }
        this->log.warn(
            "registry item ignored",
            {{"key", invalid.key}, {"revision", static_cast<std::int64_t>(invalid.position.revision)}, {"reason", invalid.reason}});
    }
};

} // namespace

void RegistryFollower::applyChanges(const Platform::RegistryRead &read)
{
    const ChangeApplier applier{this->view,
                                [this](const UpstreamEntry &entry) {
                                    this->heldRemovals.erase(entry.id);
                                },
                                [this](const Platform::EntryRemoved &removed) {
                                    this->recordRemoval(removed.id, removed.position);
                                },
                                this->log};
    for (const Platform::RegistryChange &change : read.changes) {
        std::visit(applier, change);
    }
    this->applyHeldRemovals(NodeClock::now());
}

void RegistryFollower::recordRemoval(std::string_view id, const RegistryPosition &position)
{
    // A later outage does not extend the deferral: the entry has been missing since before.
    const bool isNew = this->heldRemovals.try_emplace(std::string(id), HeldRemoval{position, this->holdRemovalsUntil}).second;
    const Duration wait = this->holdRemovalsUntil - NodeClock::now();
    if (isNew && wait > Duration::zero() && this->view.find(id) != nullptr) {
        this->log.info(
            "removal deferred",
            {{"upstream", id}, {"revision", static_cast<std::int64_t>(position.revision)}, {"wait_ms", toMilliseconds(TimePoint(wait))}});
    }
}

void RegistryFollower::applyHeldRemovals(TimePoint now)
{
    std::erase_if(this->heldRemovals, [this, now](const auto &held) {
        const auto &[id, removal] = held;
        if (removal.due > now) {
            return false;
        }
        this->view.removeEntry(id, removal.position);
        return true;
    });
}

Duration RegistryFollower::untilRemovalDue(Duration longest, TimePoint now) const
{
    constexpr Duration minWait = std::chrono::milliseconds(1);
    Duration wait = longest;
    for (const auto &[id, removal] : this->heldRemovals) {
        wait = std::min(wait, std::max<Duration>(removal.due - now, minWait));
    }
    return wait;
}

void RegistryFollower::onCallFailed(const absl::Status &error, bool isWatch)
{
    // A registry that is restarted cuts its watches, and the reply to a watch may be lost. Either way the registry was unavailable only
    // if a probe or the next call fails too.
    const ErrorKind kind = errorKindOf(error);
    const bool isWatchLost = isWatch && this->contact && (kind == ErrorKind::PeerLost || kind == ErrorKind::Timeout || this->watchBehind);
    this->outage = this->outage || !isWatchLost;
    if (this->contact || this->consecutiveFailures == 0) {
        this->log.warn("registry lost",
                       {{"reason", messageOf(error)},
                        {"revision", static_cast<std::int64_t>(this->position.revision)},
                        {"outage", this->outage ? "yes" : "no"},
                        {"last_reply_ms", toMilliseconds(TimePoint(NodeClock::now() - this->lastReply))}});
    }
    this->contact = false;
}

void RegistryFollower::onCallSucceeded()
{
    const TimePoint now = NodeClock::now();
    if (!this->contact) {
        const auto age = [now](TimePoint time) {
            return time == TimePoint() ? std::int64_t(-1) : toMilliseconds(TimePoint(now - time));
        };
        this->log.info("registry reached",
                       {{"failures", static_cast<std::int64_t>(this->consecutiveFailures)},
                        {"outage", this->outage ? "yes" : "no"},
                        {"last_reply_ms", age(this->lastReply)},
                        {"last_failed_probe_ms", age(this->lastFailedProbe)}});
        if (this->synchronized && this->outage) {
            const TimePoint earliestEnd = std::max(this->lastReply, this->lastFailedProbe);
            this->holdRemovalsUntil = std::min(now + this->settings.removalHoldTime, earliestEnd + this->settings.removalHoldLimit);
        }
    }
    this->contact = true;
    this->outage = false;
    this->lastReply = now;
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
