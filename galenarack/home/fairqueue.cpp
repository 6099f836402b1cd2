#include <galenarack/home/fairqueue.h>

#include <algorithm>
#include <cassert>

namespace Galenarack {

FairQueue::FairQueue(std::size_t limit)
    : limit(limit)
{
    assert(limit > 0);
}

std::optional<FairQueue::Ticket> FairQueue::push(Ticket ticket, std::string_view account, TimePoint expiry)
{
    auto entry = std::ranges::find(this->turns, account, &Account::name);
    if (entry == this->turns.end()) {
        this->turns.push_back(Account{std::string(account), {}});
        entry = std::prev(this->turns.end());
    }
    entry->entries.push_back({ticket, expiry});
    ++this->waiting;
    if (this->waiting <= this->limit) {
        return std::nullopt;
    }
    // Of several longest accounts, the last in turn loses, so that the accounts served next keep their requests.
    auto longest = this->turns.begin();
    for (auto candidate = this->turns.begin(); candidate != this->turns.end(); ++candidate) {
        if (candidate->entries.size() >= longest->entries.size()) {
            longest = candidate;
        }
    }
    const Ticket dropped = longest->entries.back().ticket;
    this->remove(dropped);
    return dropped;
}

std::optional<FairQueue::Ticket> FairQueue::pop(TimePoint now, Duration needed, std::vector<Ticket> &expired)
{
    while (!this->turns.empty()) {
        Account &account = this->turns.front();
        const Entry entry = account.entries.front();
        account.entries.pop_front();
        --this->waiting;
        const bool inTime = now + needed < entry.expiry;

        // A request that is too late does not use up the account's turn.
        if (account.entries.empty()) {
            this->turns.pop_front();
        } else if (inTime) {
            this->turns.splice(this->turns.end(), this->turns, this->turns.begin());
        }
        if (inTime) {
            return entry.ticket;
        }
        expired.push_back(entry.ticket);
    }
    return std::nullopt;
}

bool FairQueue::remove(Ticket ticket)
{
    for (auto account = this->turns.begin(); account != this->turns.end(); ++account) {
        const auto entry = std::ranges::find(account->entries, ticket, &Entry::ticket);
        if (entry == account->entries.end()) {
            continue;
        }
        account->entries.erase(entry);
        --this->waiting;
        if (account->entries.empty()) {
            this->turns.erase(account);
        }
        return true;
    }
    return false;
}

} // namespace Galenarack
