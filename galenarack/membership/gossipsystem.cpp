#include <galenarack/membership/gossipsystem.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Galenarack {

namespace {

constexpr unsigned recoveryProbePeriods = 4; ///< Probe periods between two probes of nodes that are gone or were never reached.
constexpr std::size_t maxRelays = 64; ///< Maximum number of concurrent probes for other nodes.
constexpr unsigned sendsPerDoubling = 2; ///< Times that an update is sent per doubling of the fleet (lambda in SWIM).
/// Number of pending updates from which the first update about a member is not queued.
constexpr std::size_t maxCatchUpUpdates = 32;
constexpr unsigned syncFastAttempts = 10; ///< Unanswered requests after which a table transfer continues at the probe rate.

} // namespace

GossipSystem::GossipSystem(MemberTable &table, std::string fleet, MemberUpdate self, GossipSettings settings, std::mt19937_64 random)
    : table(table)
    , fleet(std::move(fleet))
    , self(std::move(self))
    , settings(settings)
    , random(random)
    , sequence(static_cast<std::uint32_t>(this->random()))
    , fillAfter(this->self.name)
{
}

std::vector<GossipDelivery> GossipSystem::tick(TimePoint now)
{
    std::vector<GossipDelivery> out;
    if (!this->lastTick) {
        // A random phase spreads the probes of nodes that start together.
        const auto phase = this->random() % static_cast<std::uint64_t>(this->settings.probePeriod.count());
        this->nextProbe = now + Duration(phase);
    }
    this->detectPause(now);
    this->lastTick = now;
    this->expirePendingProbes(now, out);
    this->expireSuspicions(now);
    if (now >= this->nextProbe) {
        this->nextProbe = std::max(this->nextProbe + this->settings.probePeriod, now);
        this->startProbes(now, out);
        this->table.removeExpired(now);
    }
    this->announce(now, out);
    this->requestSync(now, out);
    return out;
}

std::vector<GossipDelivery> GossipSystem::receive(const GossipMessage &message, TimePoint now)
{
    std::vector<GossipDelivery> out;
    this->detectPause(now);
    if (message.sender.name == this->self.name) {
        this->refute(message.sender);
        return out;
    }
    const bool isStale = this->merge(message.sender, true, now);
    this->unreached.erase(message.sender.name);
    for (const MemberUpdate &update : message.updates) {
        this->merge(update, false, now);
    }
    switch (message.kind) {
    case GossipKind::Probe:
        this->answerProbe(message, isStale, out);
        break;
    case GossipKind::IndirectProbe:
        this->answerIndirectProbe(message, now, out);
        break;
    case GossipKind::Acknowledge:
        this->handleAcknowledgement(message, now, out);
        break;
    }
    return out;
}

std::vector<GossipDelivery> GossipSystem::applyVmList(std::span<const ListedVm> list, TimePoint now)
{
    const auto needsLeavingUpdate = [](const MemberRow *row) {
        return row != nullptr && row->listLeaving && !row->gossipLeaving && row->incarnation.value != 0;
    };
    std::set<std::string, std::less<>> alreadyNotified;
    for (const auto &[name, row] : this->table.all()) {
        if (needsLeavingUpdate(&row)) {
            alreadyNotified.insert(name);
        }
    }
    this->table.applyVmList(list, now);

    std::vector<GossipDelivery> out;
    for (const ListedVm &entry : list) {
        const MemberRow *row = this->table.find(entry.name);
        if (!needsLeavingUpdate(row) || alreadyNotified.contains(entry.name)) {
            continue;
        }
        if (entry.name == this->self.name) {
            this->setLeaving();
            continue;
        }
        this->enqueue(entry.name);
        this->sendProbe(*row, now, out);
    }
    return out;
}

void GossipSystem::recordConnectionFrame(std::string_view name, Incarnation incarnation, std::uint64_t revision, TimePoint now)
{
    if (this->table.recordConnectionFrame(name, incarnation, revision, now)) {
        this->enqueue(std::string(name));
    }
}

void GossipSystem::setRevision(std::uint64_t revision)
{
    this->self.revision = revision;
    this->updateSelfRow();
}

void GossipSystem::setMarks(std::vector<UpstreamMark> marks)
{
    marks = fittingMarks(std::move(marks));
    if (marks == this->self.marks) {
        return;
    }
    this->self.marks = std::move(marks);
    ++this->self.counter;
    this->announcementPending = true;
    this->updateSelfRow();
}

void GossipSystem::setLeaving()
{
    this->announcementPending = this->announcementPending || !this->self.leaving;
    this->self.leaving = true;
    this->updateSelfRow();
}

Duration GossipSystem::suspicionTime() const
{
    const double doublings = std::log2(static_cast<double>(this->presentMemberCount()));
    return this->settings.suspicionBase
           + std::chrono::duration_cast<Duration>(doublings * std::chrono::duration<double>(this->settings.suspicionPerDoubling));
}

void GossipSystem::detectPause(TimePoint now)
{
    if (!this->lastTick || now - *this->lastTick <= this->settings.pauseLimit) {
        return;
    }
    // Probes that were not acknowledged during the pause are no evidence about the other nodes.
    this->lastTick = now;
    this->resumedAt = now;
    this->pending.clear();
    this->relays.clear();
    this->table.restartSuspicions(now);
    this->sync = Sync();
}

void GossipSystem::expirePendingProbes(TimePoint now, std::vector<GossipDelivery> &out)
{
    for (auto item = this->pending.begin(); item != this->pending.end();) {
        PendingProbe &probe = item->second;
        const Duration age = now - probe.sentAt;
        if (age >= this->settings.probePeriod) {
            const MemberRow *row = this->table.find(probe.target);
            if (row != nullptr && row->incarnation.value == 0) {
                this->unreached.insert(probe.target);
            } else if (!this->resumedAt && this->table.suspect(probe.target, now)) {
                this->ownSuspicions.insert(probe.target);
                this->enqueue(probe.target);
            }
            item = this->pending.erase(item);
            continue;
        }
        if (age >= this->settings.directTimeout && !probe.indirect) {
            probe.indirect = true;
            this->sendIndirect(item->first, probe, out);
        }
        ++item;
    }
    std::erase_if(this->relays, [now](const auto &relay) {
        return now >= relay.second.expiry;
    });
}

void GossipSystem::expireSuspicions(TimePoint now)
{
    if (this->resumedAt) {
        return;
    }
    for (const std::string &name : this->table.expireSuspicions(this->suspicionTime(), now)) {
        this->enqueue(name);
    }
    std::erase_if(this->ownSuspicions, [this](const std::string &name) {
        const MemberRow *row = this->table.find(name);
        return row == nullptr || !row->suspectedSince;
    });
}

void GossipSystem::endResumption(TimePoint now)
{
    this->resumedAt.reset();
    this->table.restartSuspicions(now);
}

void GossipSystem::startProbes(TimePoint now, std::vector<GossipDelivery> &out)
{
    ++this->period;
    if (const MemberRow *target = this->nextProbeTarget()) {
        this->sendProbe(*target, now, out);
    }
    if (const MemberRow *target = this->nextRecoveryTarget()) {
        this->sendProbe(*target, now, out);
    }
}

void GossipSystem::announce(TimePoint now, std::vector<GossipDelivery> &out)
{
    if (!this->announcementPending || now < this->nextAnnouncement) {
        return;
    }
    // Several first receivers save the initial rounds of spreading, in which only one or two nodes know the update.
    this->announcementPending = false;
    this->nextAnnouncement = now + this->settings.probePeriod;
    for (const MemberRow *row : this->pickRandom(this->reachableRows(), this->settings.announcements)) {
        this->sendProbe(*row, now, out);
    }
}

void GossipSystem::requestSync(TimePoint now, std::vector<GossipDelivery> &out)
{
    if (!this->sync.active || now < this->sync.nextRequest) {
        return;
    }
    std::vector<const MemberRow *> known;
    std::vector<const MemberRow *> others;
    for (const auto &[name, row] : this->table.all()) {
        if (name != this->self.name && !row.goneSince) {
            (row.incarnation.value != 0 ? known : others).push_back(&row);
        }
    }
    const MemberRow *target = this->pickRow(known.empty() ? others : known);
    const bool isSlow = this->sync.attempts >= syncFastAttempts;
    this->sync.nextRequest = now + (isSlow ? this->settings.probePeriod : this->settings.syncPeriod);
    if (target == nullptr) {
        return;
    }
    ++this->sync.attempts;
    this->sync.sequence = this->nextSequence();
    GossipMessage message = this->makeMessage(GossipKind::Probe, this->sync.sequence);
    message.syncAfter = this->sync.after;
    this->appendReceiverStatus(message, *target);
    out.push_back(this->makeDelivery(std::move(message), target->address));
}

void GossipSystem::sendProbe(const MemberRow &target, TimePoint now, std::vector<GossipDelivery> &out)
{
    const std::uint32_t number = this->nextSequence();
    this->pending[number] = PendingProbe{target.name, now};
    GossipMessage message = this->makeMessage(GossipKind::Probe, number);
    this->appendReceiverStatus(message, target);
    out.push_back(this->makeDelivery(std::move(message), target.address));
}

void GossipSystem::sendIndirect(std::uint32_t number, const PendingProbe &probe, std::vector<GossipDelivery> &out)
{
    const MemberRow *target = this->table.find(probe.target);
    // Indirect probes are not worth their traffic for a node that is gone or has sent nothing yet.
    if (target == nullptr || target->goneSince || target->incarnation.value == 0) {
        return;
    }
    std::vector<const MemberRow *> intermediaries = this->reachableRows();
    std::erase(intermediaries, target);
    for (const MemberRow *intermediary : this->pickRandom(std::move(intermediaries), this->settings.indirectProbes)) {
        GossipMessage message = this->makeMessage(GossipKind::IndirectProbe, number);
        message.target = probe.target;
        // The intermediary forwards a suspicion to the target, which can refute it in its acknowledgement.
        this->appendReceiverStatus(message, *target);
        this->appendReceiverStatus(message, *intermediary);
        out.push_back(this->makeDelivery(std::move(message), intermediary->address));
    }
}

void GossipSystem::answerProbe(const GossipMessage &message, bool isStale, std::vector<GossipDelivery> &out)
{
    GossipMessage answer = this->makeMessage(GossipKind::Acknowledge, message.sequence);
    const MemberRow *sender = this->table.find(message.sender.name);
    if (sender == nullptr) {
        return;
    }
    std::size_t bytes = encodedBound(answer);
    if (isStale) {
        this->append(answer, *sender, bytes);
    } else {
        this->appendReceiverStatus(answer, *sender);
    }
    if (message.syncAfter) {
        this->appendSync(answer, *message.syncAfter);
        out.push_back(GossipDelivery{message.sender.address, std::move(answer)});
        return;
    }
    out.push_back(this->makeDelivery(std::move(answer), message.sender.address));
}

void GossipSystem::answerIndirectProbe(const GossipMessage &message, TimePoint now, std::vector<GossipDelivery> &out)
{
    const MemberRow *target = this->table.find(message.target);
    if (target == nullptr || message.target == this->self.name || this->relays.size() >= maxRelays) {
        return;
    }
    const std::uint32_t number = this->nextSequence();
    const TimePoint expiry = now + this->settings.probePeriod;
    this->relays[number] = Relay{message.sender.address, message.sequence, message.target, expiry};
    GossipMessage probe = this->makeMessage(GossipKind::Probe, number);
    this->appendReceiverStatus(probe, *target);
    out.push_back(this->makeDelivery(std::move(probe), target->address));
}

void GossipSystem::handleAcknowledgement(const GossipMessage &message, TimePoint now, std::vector<GossipDelivery> &out)
{
    if (const auto relay = this->relays.find(message.sequence);
        relay != this->relays.end() && relay->second.target == message.sender.name) {
        GossipMessage answer = this->makeMessage(GossipKind::Acknowledge, relay->second.originSequence);
        answer.target = relay->second.target;
        std::size_t bytes = encodedBound(answer);
        if (const MemberRow *row = this->table.find(answer.target)) {
            this->append(answer, *row, bytes);
        }
        out.push_back(this->makeDelivery(std::move(answer), relay->second.origin));
        this->relays.erase(relay);
        return;
    }
    const std::string &acknowledged = message.target.empty() ? message.sender.name : message.target;
    const auto probe = this->pending.find(message.sequence);
    const bool isOwnProbe = probe != this->pending.end() && probe->second.target == acknowledged;
    if (isOwnProbe) {
        this->pending.erase(probe);
    }
    const bool isSync = this->sync.active && message.sequence == this->sync.sequence;
    // Only the acknowledgement of a probe made after the pause counts: the socket may still hold messages from before it.
    if ((isOwnProbe || isSync) && this->resumedAt) {
        this->endResumption(now);
    }
    if (!isSync) {
        return;
    }
    this->sync.attempts = 0;
    this->sync.after = message.syncAfter.value_or(std::string());
    if (message.syncAfter) {
        return;
    }
    // The pass is complete. Another one is useful while members are unknown, e.g. when a whole fleet starts.
    ++this->sync.passes;
    const bool hasUnknown = std::ranges::any_of(this->table.all(), [this](const auto &item) {
        return item.second.incarnation.value == 0 && !this->unreached.contains(item.first);
    });
    this->sync.active = hasUnknown && this->sync.passes < this->settings.syncPasses;
    this->sync.nextRequest = now + this->settings.probePeriod;
}

bool GossipSystem::merge(const MemberUpdate &update, bool firstHand, TimePoint now)
{
    if (update.name == this->self.name) {
        this->refute(update);
        return false;
    }
    const MemberRow *row = this->table.find(update.name);
    const bool isFirstMention = row == nullptr || row->incarnation.value == 0;
    const MergeResult result = this->table.applyUpdate(update, firstHand, now);
    // When a whole fleet starts, every row is new to every node. Queueing all of them would delay updates about real changes
    // by minutes, and table transfers and appendFill() send them anyway.
    const bool isCatchUp = isFirstMention && ((this->sync.active && !firstHand) || this->pendingUpdates.size() >= maxCatchUpUpdates);
    if (result.hasUpdate && !isCatchUp) {
        this->enqueue(update.name);
    }
    return result.stale;
}

void GossipSystem::refute(const MemberUpdate &update)
{
    const bool isOwnIncarnation = update.incarnation == this->self.incarnation;
    const bool isWrong = !isOwnIncarnation || update.state != GossipState::Live;
    const bool isAbove = update.counter > this->self.counter || (isWrong && update.counter == this->self.counter);
    const bool isNewlyLeaving = isOwnIncarnation && update.leaving && !this->self.leaving;
    if (isAbove && update.counter < std::numeric_limits<std::uint32_t>::max()) {
        this->self.counter = update.counter + 1;
    }
    this->self.leaving = this->self.leaving || isNewlyLeaving;
    if (isAbove || isNewlyLeaving) {
        // A refutation must spread faster than the suspicion.
        this->announcementPending = true;
        this->updateSelfRow();
    }
}

void GossipSystem::updateSelfRow()
{
    this->table.setSelf(this->self);
}

void GossipSystem::enqueue(const std::string &name)
{
    const double doublings = std::ceil(std::log2(static_cast<double>(this->table.all().size() + 1)));
    this->pendingUpdates[name] = sendsPerDoubling * static_cast<unsigned>(doublings);
}

GossipMessage GossipSystem::makeMessage(GossipKind kind, std::uint32_t number) const
{
    GossipMessage message;
    message.fleet = this->fleet;
    message.kind = kind;
    message.sequence = number;
    message.sender = this->self;
    return message;
}

GossipDelivery GossipSystem::makeDelivery(GossipMessage message, const std::string &address)
{
    std::size_t bytes = encodedBound(message);
    this->appendPendingUpdates(message, bytes);
    this->appendFill(message, bytes);
    return GossipDelivery{address, std::move(message)};
}

bool GossipSystem::append(GossipMessage &message, const MemberRow &row, std::size_t &bytes) const
{
    if (row.incarnation.value == 0 || row.name == this->self.name) {
        return true;
    }
    if (std::ranges::find(message.updates, row.name, &MemberUpdate::name) != message.updates.end()) {
        return true;
    }
    MemberUpdate update = MemberTable::toUpdate(row);
    const std::size_t updateBytes = encodedBound(update);
    if (bytes + updateBytes > maxGossipBytes) {
        return false;
    }
    bytes += updateBytes;
    message.updates.push_back(std::move(update));
    return true;
}

void GossipSystem::appendReceiverStatus(GossipMessage &message, const MemberRow &receiver) const
{
    const bool isUnawareOfLeaving = receiver.listLeaving && !receiver.gossipLeaving;
    if (receiver.suspectedSince || receiver.goneSince || isUnawareOfLeaving) {
        std::size_t bytes = encodedBound(message);
        this->append(message, receiver, bytes);
    }
}

void GossipSystem::appendPendingUpdates(GossipMessage &message, std::size_t &bytes)
{
    // The least often sent come first, so that every update is sent before one is repeated.
    using Item = std::pair<unsigned, std::string_view>;
    std::vector<Item> items;
    items.reserve(this->pendingUpdates.size());
    for (const auto &[name, sends] : this->pendingUpdates) {
        items.emplace_back(sends, name);
    }
    const std::size_t count = std::min<std::size_t>(items.size(), this->settings.maxUpdates);
    std::ranges::partial_sort(items, items.begin() + static_cast<std::ptrdiff_t>(count), std::ranges::greater(), &Item::first);
    items.resize(count);
    for (const auto &[sends, name] : items) {
        const MemberRow *row = this->table.find(name);
        const auto item = this->pendingUpdates.find(name);
        const bool isSent = row == nullptr || this->append(message, *row, bytes);
        if (row == nullptr || (isSent && --item->second == 0)) {
            this->pendingUpdates.erase(item);
        }
        if (!isSent || message.updates.size() >= this->settings.maxUpdates) {
            return;
        }
    }
}

void GossipSystem::appendFill(GossipMessage &message, std::size_t &bytes)
{
    const auto &rows = this->table.all();
    const std::size_t wanted = std::min(message.updates.size() + this->settings.fillUpdates, std::size_t(this->settings.maxUpdates));
    for (std::size_t i = 0; i < rows.size() && message.updates.size() < wanted; ++i) {
        auto next = rows.upper_bound(this->fillAfter);
        if (next == rows.end()) {
            next = rows.begin();
        }
        if (!this->append(message, next->second, bytes)) {
            return;
        }
        this->fillAfter = next->first;
    }
}

void GossipSystem::appendSync(GossipMessage &message, const std::string &after) const
{
    std::size_t bytes = encodedBound(message);
    const auto &rows = this->table.all();
    std::string last = after;
    for (auto row = rows.upper_bound(after); row != rows.end(); ++row) {
        if (!this->append(message, row->second, bytes)) {
            message.syncAfter = last;
            return;
        }
        last = row->first;
    }
}

const MemberRow *GossipSystem::nextProbeTarget()
{
    for (int pass = 0; pass < 2; ++pass) {
        while (!this->probeOrder.empty()) {
            const MemberRow *row = this->table.find(this->probeOrder.back());
            this->probeOrder.pop_back();
            if (row != nullptr && this->isProbeCandidate(*row)) {
                return row;
            }
        }
        for (const auto &[name, row] : this->table.all()) {
            if (this->isProbeCandidate(row)) {
                this->probeOrder.push_back(name);
            }
        }
        std::ranges::shuffle(this->probeOrder, this->random);
    }
    return nullptr;
}

const MemberRow *GossipSystem::nextRecoveryTarget()
{
    std::vector<const MemberRow *> rows;
    for (const std::string &name : this->ownSuspicions) {
        rows.push_back(this->table.find(name));
    }
    if (rows.empty() && this->period % recoveryProbePeriods == 0) {
        for (const auto &[name, row] : this->table.all()) {
            if (row.goneSince || this->unreached.contains(name)) {
                rows.push_back(&row);
            }
        }
    }
    return this->pickRow(rows);
}

std::vector<const MemberRow *> GossipSystem::pickRandom(std::vector<const MemberRow *> rows, std::size_t count)
{
    for (std::size_t i = 0; i < std::min(count, rows.size()); ++i) {
        std::swap(rows[i], rows[i + this->random() % (rows.size() - i)]);
    }
    rows.resize(std::min(count, rows.size()));
    return rows;
}

std::vector<const MemberRow *> GossipSystem::reachableRows() const
{
    std::vector<const MemberRow *> rows;
    for (const auto &[name, row] : this->table.all()) {
        const bool isReachable = row.incarnation.value != 0 && !row.goneSince && !row.suspectedSince;
        if (isReachable && name != this->self.name) {
            rows.push_back(&row);
        }
    }
    return rows;
}

const MemberRow *GossipSystem::pickRow(const std::vector<const MemberRow *> &rows)
{
    return rows.empty() ? nullptr : rows[this->random() % rows.size()];
}

bool GossipSystem::isProbeCandidate(const MemberRow &row) const
{
    return row.name != this->self.name && !row.goneSince && !this->unreached.contains(row.name);
}

std::uint32_t GossipSystem::nextSequence()
{
    return ++this->sequence;
}

std::size_t GossipSystem::presentMemberCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->table.all(), [](const auto &item) {
        return item.second.incarnation.value != 0 && !item.second.goneSince;
    }));
}

} // namespace Galenarack
