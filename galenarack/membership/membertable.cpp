#include <galenarack/membership/membertable.h>

#include <algorithm>

namespace Galenarack {

namespace {

/// @return the liveness of a row, as gossip reports it
GossipState livenessOf(const MemberRow &row)
{
    if (row.goneSince) {
        return GossipState::Gone;
    }
    return row.suspectedSince ? GossipState::Suspect : GossipState::Live;
}

std::string_view livenessName(GossipState state)
{
    switch (state) {
    case GossipState::Live:
        return "live";
    case GossipState::Suspect:
        return "suspect";
    case GossipState::Gone:
        return "gone";
    }
    return "gone";
}

std::string gossipEvidence(const MemberUpdate &update)
{
    return "gossip: " + std::string(livenessName(update.state)) + " at counter " + std::to_string(update.counter) + ", incarnation "
           + update.incarnation.toString();
}

} // namespace

std::string_view memberStateName(MemberState state)
{
    switch (state) {
    case MemberState::Unknown:
        return "unknown";
    case MemberState::Live:
        return "live";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Gone:
        return "gone";
    }
    return "unknown";
}

MemberTable::MemberTable(const MemberUpdate &self)
    : ownName(self.name)
{
    this->setSelf(self);
}

void MemberTable::applyVmList(std::span<const ListedVm> list, TimePoint now)
{
    if (list.empty()) {
        return;
    }
    for (auto &[name, row] : this->rows) {
        row.listed = false;
    }
    for (const ListedVm &entry : list) {
        // A malformed value would make receivers drop every datagram that contains the row.
        const bool isValid = isGossipName(entry.name) && isGossipName(entry.failureDomain) && isGossipAddress(entry.address);
        MemberRow *row = isValid ? this->findOrAdd(entry.name) : nullptr;
        if (row == nullptr) {
            continue;
        }
        row->listed = true;
        row->listLeaving = entry.leaving;
        // A VM that was replaced under the same name has another address, and its former node is gone.
        if (row->name != this->ownName && (row->incarnation.value == 0 || row->goneSince)) {
            row->address = entry.address;
            row->failureDomain = entry.failureDomain;
        }
        this->setState(*row, "vm list");
    }
    this->removeExpired(now);
}

MergeResult MemberTable::applyUpdate(const MemberUpdate &update, bool firstHand, TimePoint now)
{
    MemberRow *row = this->findMutable(update.name);
    if (row == nullptr && update.state != GossipState::Gone) {
        row = this->findOrAdd(update.name);
    }
    if (row == nullptr || update.name == this->ownName) {
        return {};
    }
    MergeResult result;
    const bool isKnown = row->incarnation.value != 0;
    const bool isSameIncarnation = row->incarnation == update.incarnation;
    const bool isFirstHandIncarnation = firstHand && !isSameIncarnation;
    const bool isPreferredIncarnation = !row->lastReceived && update.incarnation.value > row->incarnation.value;
    if (!isKnown || update.counter > row->counter
        || (update.counter == row->counter && !isSameIncarnation && (isFirstHandIncarnation || isPreferredIncarnation))) {
        this->replace(*row, update, now);
        result.hasUpdate = true;
    } else if (isSameIncarnation) {
        // The leaving mark and the revision only grow, so they are applied whatever the counter is.
        if (update.leaving && !row->gossipLeaving) {
            row->gossipLeaving = true;
            result.hasUpdate = true;
        }
        row->revision = std::max(row->revision, update.revision);
        if (update.counter == row->counter) {
            result.hasUpdate |= this->applyLiveness(*row, update, now);
        }
        result.stale = update.counter < row->counter || update.state < livenessOf(*row);
    } else {
        result.stale = true;
    }
    if (firstHand) {
        this->recordReceived(*row, now);
    }
    this->setState(*row, gossipEvidence(update));
    return result;
}

bool MemberTable::recordConnectionFrame(std::string_view name, Incarnation incarnation, std::uint64_t revision, TimePoint now)
{
    MemberRow *row = this->findMutable(name);
    if (row == nullptr || name == this->ownName || incarnation.value == 0) {
        return false;
    }
    const bool isNewIncarnation = row->incarnation != incarnation;
    if (isNewIncarnation) {
        // The counter is kept: the node raises its own above this value when it receives an update on its earlier incarnation.
        row->incarnation = incarnation;
        row->gossipLeaving = false;
        row->goneSince.reset();
        row->suspectedSince.reset();
        row->marks.clear();
        row->revision = revision;
    }
    row->revision = std::max(row->revision, revision);
    this->recordReceived(*row, now);
    this->setState(*row, "connection");
    return isNewIncarnation;
}

bool MemberTable::suspect(std::string_view name, TimePoint now)
{
    MemberRow *row = this->findMutable(name);
    if (row == nullptr || name == this->ownName || row->incarnation.value == 0 || row->suspectedSince || row->goneSince) {
        return false;
    }
    row->suspectedSince = now;
    return true;
}

std::vector<std::string> MemberTable::expireSuspicions(Duration limit, TimePoint now)
{
    std::vector<std::string> gone;
    for (auto &[name, row] : this->rows) {
        if (!row.suspectedSince || now - *row.suspectedSince < limit) {
            continue;
        }
        if (row.lastReceived && *row.lastReceived > *row.suspectedSince) {
            row.suspectedSince = now;
            continue;
        }
        row.suspectedSince.reset();
        row.goneSince = now;
        this->setState(row, "suspicion not refuted");
        gone.push_back(name);
    }
    return gone;
}

void MemberTable::restartSuspicions(TimePoint now)
{
    for (auto &[name, row] : this->rows) {
        if (row.suspectedSince) {
            row.suspectedSince = now;
        }
    }
}

void MemberTable::setSelf(const MemberUpdate &update)
{
    MemberRow &row = *this->findOrAdd(this->ownName);
    row.address = update.address;
    row.failureDomain = update.failureDomain;
    row.incarnation = update.incarnation;
    row.counter = update.counter;
    row.revision = update.revision;
    row.marks = update.marks;
    row.gossipLeaving = update.leaving;
    this->setState(row, "own state");
}

void MemberTable::removeExpired(TimePoint now)
{
    std::erase_if(this->rows, [this, now](const auto &item) {
        const MemberRow &row = item.second;
        const bool isNeeded = row.listed || row.name == this->ownName;
        // A row known only from the VM list holds no other information once the list no longer names it.
        return !isNeeded && (row.incarnation.value == 0 || isGoneFor(row, goneRetention, now));
    });
}

const MemberRow *MemberTable::find(std::string_view name) const
{
    const auto found = this->rows.find(name);
    return found == this->rows.end() ? nullptr : &found->second;
}

std::uint64_t MemberTable::highestRevision() const
{
    std::uint64_t highest = 0;
    for (const auto &[name, row] : this->rows) {
        if (!row.goneSince) {
            highest = std::max(highest, row.revision);
        }
    }
    return highest;
}

std::vector<MemberChange> MemberTable::popChanges()
{
    return std::exchange(this->changes, {});
}

MemberUpdate MemberTable::toUpdate(const MemberRow &row)
{
    MemberUpdate update;
    update.name = row.name;
    update.address = row.address;
    update.failureDomain = row.failureDomain;
    update.incarnation = row.incarnation;
    update.counter = row.counter;
    update.state = livenessOf(row);
    update.leaving = row.gossipLeaving || row.listLeaving;
    update.revision = row.revision;
    update.marks = row.marks;
    return update;
}

MemberRow *MemberTable::findOrAdd(std::string_view name)
{
    if (MemberRow *row = this->findMutable(name)) {
        return row;
    }
    if (this->rows.size() >= maxRows) {
        return nullptr;
    }
    MemberRow row;
    row.name = name;
    return &this->rows.emplace(row.name, row).first->second;
}

MemberRow *MemberTable::findMutable(std::string_view name)
{
    const auto found = this->rows.find(name);
    return found == this->rows.end() ? nullptr : &found->second;
}

void MemberTable::setState(MemberRow &row, std::string_view evidence)
{
    const bool isLeaving = row.listLeaving || row.gossipLeaving;
    MemberState state = MemberState::Unknown;
    if (row.goneSince) {
        state = MemberState::Gone;
    } else if (isLeaving) {
        state = MemberState::Leaving;
    } else if (row.incarnation.value != 0) {
        state = MemberState::Live;
    }
    if (state == row.state) {
        return;
    }
    if (this->changes.size() < maxChanges) {
        this->changes.push_back(MemberChange{row.name, row.state, state, std::string(evidence)});
    }
    row.state = state;
}

void MemberTable::recordReceived(MemberRow &row, TimePoint now)
{
    row.lastReceived = now;
    if (row.goneSince) {
        row.goneSince.reset();
        row.suspectedSince = now;
    }
}

void MemberTable::replace(MemberRow &row, const MemberUpdate &update, TimePoint now)
{
    const bool isSameIncarnation = row.incarnation == update.incarnation;
    row.address = update.address;
    row.failureDomain = update.failureDomain;
    row.incarnation = update.incarnation;
    row.counter = update.counter;
    row.marks = update.marks;
    row.gossipLeaving = update.leaving || (isSameIncarnation && row.gossipLeaving);
    row.revision = isSameIncarnation ? std::max(row.revision, update.revision) : update.revision;
    row.suspectedSince.reset();
    row.goneSince.reset();
    this->applyLiveness(row, update, now);
}

bool MemberTable::applyLiveness(MemberRow &row, const MemberUpdate &update, TimePoint now)
{
    if (update.state <= livenessOf(row)) {
        return false;
    }
    if (update.state == GossipState::Gone && !hasRecentMessage(row, now)) {
        row.suspectedSince.reset();
        row.goneSince = now;
        return true;
    }
    if (row.suspectedSince) {
        return false;
    }
    row.suspectedSince = now;
    return true;
}

bool MemberTable::hasRecentMessage(const MemberRow &row, TimePoint now)
{
    return row.lastReceived && now - *row.lastReceived < recentMessageWindow;
}

bool MemberTable::isGoneFor(const MemberRow &row, Duration time, TimePoint now)
{
    return row.goneSince && now - *row.goneSince > time;
}

} // namespace Galenarack
