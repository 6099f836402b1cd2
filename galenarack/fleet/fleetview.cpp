#include <galenarack/fleet/fleetview.h>

#include <algorithm>
#include <utility>

namespace Galenarack {

namespace {

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

bool FleetView::applyEntry(UpstreamEntry entry, TimePoint)
{
    const auto removed = this->removalRevisions.find(entry.id);
    if (removed != this->removalRevisions.end() && removed->second >= entry.revision) {
        return false;
    }
    const auto known = this->upstreams.find(entry.id);
    if (known != this->upstreams.end() && known->second.revision >= entry.revision) {
        return false;
    }
    entry.draining = entry.draining || this->isMarkedLeaving(entry);
    const bool isNew = known == this->upstreams.end();
    if (isNew || known->second.draining != entry.draining || known->second.startTimeMs != entry.startTimeMs) {
        this->log.info(isNew ? "upstream registered" : "upstream changed",
                       {{"upstream", entry.id},
                        {"service", entry.service},
                        {"vm", entry.address.address().to_string()},
                        {"failure_domain", entry.failureDomain},
                        {"state", entry.draining ? "draining" : "ready"},
                        {"revision", static_cast<std::int64_t>(entry.revision)}});
    }
    this->removalRevisions.erase(entry.id);
    this->upstreams[entry.id] = std::move(entry);
    ++this->changes;
    return true;
}

void FleetView::removeEntry(std::string_view id, std::uint64_t revision)
{
    const auto known = this->upstreams.find(id);
    if (known == this->upstreams.end() || known->second.revision > revision) {
        return;
    }
    this->log.info("upstream removed", {{"upstream", id}, {"revision", static_cast<std::int64_t>(revision)}});
    this->removalRevisions[std::string(id)] = revision;
    this->upstreams.erase(known);
    ++this->changes;
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
    const UpstreamEntry *entry = this->find(id);
    if (entry == nullptr || !this->isMarkedLeaving(*entry)) {
        return std::nullopt;
    }
    return this->leavingMarks.find(id)->second;
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
        return std::pair(this->current != nullptr && this->current->hasService(entry.service), entry.revision);
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
