#include <galenarack/fleet/fleetview.h>

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

namespace Galenarack {

namespace {

/// The registry removes the entry of a silent upstream within this time; upstreams write every few seconds at most.
constexpr Duration silentEntryLifetime = std::chrono::seconds(10);

/// A mark is kept for this time after its upstream was removed, because an old entry may come back.
constexpr std::int64_t markLifetimeMs = 60LL * 60 * 1000;

} // namespace

bool FleetView::applyConfig(std::shared_ptr<const TrafficConfig> config)
{
    if (this->current && config->version <= this->current->version) {
        return false;
    }
    this->log.info("configuration in force",
                   {{"version", static_cast<std::int64_t>(config->version)},
                    {"previous", static_cast<std::int64_t>(this->current ? this->current->version : 0)},
                    {"routes", static_cast<std::int64_t>(config->routeCount())}});
    this->current = std::move(config);
    ++this->changes;
    return true;
}

bool FleetView::isNewer(const UpstreamEntry &entry, const UpstreamEntry &known)
{
    if (entry.position.era <= known.position.era) {
        return entry.position > known.position;
    }
    const auto order = [](const UpstreamEntry &write) {
        return std::tuple(write.startTimeMs, write.sequence, write.draining);
    };
    return order(entry) >= order(known);
}

bool FleetView::isNewer(const UpstreamEntry &entry, const Removal &removal)
{
    if (entry.position.era <= removal.position.era) {
        return entry.position > removal.position;
    }
    return std::pair(entry.startTimeMs, entry.sequence) > std::pair(removal.startTimeMs, removal.sequence);
}

bool FleetView::applyEntry(UpstreamEntry entry, TimePoint now)
{
    // An entry from before a lost change is remembered by its position, so that later writes of the era are compared with it.
    if (const auto removed = this->removals.find(entry.id); removed != this->removals.end() && !isNewer(entry, removed->second)) {
        Removal &removal = removed->second;
        if (entry.position > removal.position) {
            this->log.info("removed upstream listed again",
                           {{"upstream", entry.id},
                            {"era", static_cast<std::int64_t>(entry.position.era)},
                            {"revision", static_cast<std::int64_t>(entry.position.revision)}});
            removal.position = entry.position;
            removal.returned = std::move(entry);
            removal.returnedAt = now;
        }
        return false;
    }
    if (const auto known = this->upstreams.find(entry.id); known != this->upstreams.end() && !isNewer(entry, known->second)) {
        if (entry.position > known->second.position) {
            this->log.info("older entry of upstream listed again",
                           {{"upstream", entry.id},
                            {"era", static_cast<std::int64_t>(entry.position.era)},
                            {"sequence", entry.sequence},
                            {"known_sequence", known->second.sequence}});
            known->second.position = entry.position;
        }
        return false;
    }
    this->store(std::move(entry));
    return true;
}

void FleetView::store(UpstreamEntry entry)
{
    const auto known = this->upstreams.find(entry.id);
    entry.draining = entry.draining || this->isMarkedLeaving(entry);
    const bool isNew = known == this->upstreams.end();
    if (isNew || known->second.draining != entry.draining || known->second.startTimeMs != entry.startTimeMs) {
        this->log.info(isNew ? "upstream registered" : "upstream changed",
                       {{"upstream", entry.id},
                        {"service", entry.service},
                        {"vm", entry.address.address().to_string()},
                        {"failure_domain", entry.failureDomain},
                        {"state", entry.draining ? "draining" : "ready"},
                        {"era", static_cast<std::int64_t>(entry.position.era)},
                        {"revision", static_cast<std::int64_t>(entry.position.revision)}});
    }
    this->removals.erase(entry.id);
    this->upstreams[entry.id] = std::move(entry);
    ++this->changes;
}

void FleetView::removeEntry(std::string_view id, const RegistryPosition &position)
{
    if (const auto removed = this->removals.find(id); removed != this->removals.end() && position >= removed->second.position) {
        removed->second.position = position;
        removed->second.returned.reset();
    }
    const auto known = this->upstreams.find(id);
    if (known == this->upstreams.end() || known->second.position > position) {
        return;
    }
    this->log.info(
        "upstream removed",
        {{"upstream", id}, {"era", static_cast<std::int64_t>(position.era)}, {"revision", static_cast<std::int64_t>(position.revision)}});
    this->removals[std::string(id)] = {position, known->second.startTimeMs, known->second.sequence, std::nullopt, TimePoint()};
    this->upstreams.erase(known);
    ++this->changes;
}

void FleetView::dropReturned(std::span<const std::string> listedIds)
{
    for (auto &[id, removal] : this->removals) {
        if (!std::ranges::binary_search(listedIds, id)) {
            removal.returned.reset();
        }
    }
}

void FleetView::tick(TimePoint now)
{
    std::vector<UpstreamEntry> running;
    for (const auto &[id, removal] : this->removals) {
        if (removal.returned && now - removal.returnedAt > silentEntryLifetime) {
            running.push_back(*removal.returned);
        }
    }
    for (UpstreamEntry &entry : running) {
        this->store(std::move(entry));
    }
}

void FleetView::markLeaving(std::string_view id, const LeavingMark &mark)
{
    this->forgetOldMarks(mark.sentMs);
    LeavingMark &known = this->leavingMarks[std::string(id)];
    known.startTimeMs = std::max(known.startTimeMs, mark.startTimeMs);
    known.sentMs = std::max(known.sentMs, mark.sentMs);
    const auto entry = this->upstreams.find(id);
    if (entry == this->upstreams.end() || entry->second.draining || !this->isMarkedLeaving(entry->second)) {
        return;
    }
    this->log.info("upstream says that it leaves",
                   {{"upstream", id}, {"start_time_ms", entry->second.startTimeMs}, {"sent_ms", mark.sentMs}});
    entry->second.draining = true;
    ++this->changes;
}

std::optional<LeavingMark> FleetView::leavingMark(std::string_view id) const
{
    const auto mark = this->leavingMarks.find(id);
    const UpstreamEntry *entry = this->find(id);
    if (mark == this->leavingMarks.end() || (entry != nullptr && !this->isMarkedLeaving(*entry))) {
        return std::nullopt;
    }
    return mark->second;
}

bool FleetView::isMarkedLeaving(const UpstreamEntry &entry) const
{
    const auto mark = this->leavingMarks.find(entry.id);
    if (mark == this->leavingMarks.end()) {
        return false;
    }
    // The upstream may have started again, unheard of while the registry was silent, before it said that it leaves.
    return entry.startTimeMs <= std::max(mark->second.startTimeMs, mark->second.sentMs);
}

void FleetView::forgetOldMarks(std::int64_t unixMs)
{
    std::erase_if(this->leavingMarks, [this, unixMs](const auto &mark) {
        return unixMs - mark.second.sentMs > markLifetimeMs && !this->upstreams.contains(mark.first);
    });
}

const UpstreamEntry *FleetView::find(std::string_view id) const
{
    const auto known = this->upstreams.find(id);
    return known == this->upstreams.end() ? nullptr : &known->second;
}

const UpstreamEntry *FleetView::findOnVm(const boost::asio::ip::address &vm) const
{
    // Another writer may have left an entry with this address and a service that does not exist.
    const auto rank = [this](const UpstreamEntry &entry) {
        const bool isNamed = this->current != nullptr && this->current->hasService(entry.service);
        return std::tuple(isNamed, entry.startTimeMs, entry.position);
    };
    const UpstreamEntry *best = nullptr;
    for (const auto &[id, entry] : this->upstreams) {
        if (entry.address.address() == vm && (best == nullptr || rank(entry) > rank(*best))) {
            best = &entry;
        }
    }
    return best;
}

} // namespace Galenarack
