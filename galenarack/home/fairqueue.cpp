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
    auto entry = std::ranges::find(this->accounts, account, &Account::name);
    if (entry == this->accounts.end()) {
        this->accounts.push_back(Account{std::string(account), {}});
        entry = std::prev(this->accounts.end());
    }
    entry->entries.push_back({ticket, expiry});
    ++this->waitingCount;
    if (this->waitingCount <= this->limit) {
        return std::nullopt;
    }
    // Among accounts with equally many requests, the one that is served last loses a request, so that the accounts that are
    // served next keep theirs.
    auto longest = this->accounts.begin();
    for (auto candidate = this->accounts.begin(); candidate != this->accounts.end(); ++candidate) {
        if (candidate->entries.size() >= longest->entries.size()) {
            longest = candidate;
        }
    }
    const Ticket dropped = longest->entries.back().ticket;
    this->remove(dropped);
    return dropped;
}

std::optional<FairQueue::Ticket> FairQueue::pop(TimePoint now, Duration expectedDuration, std::vector<Ticket> &expired)
{
    while (!this->accounts.empty()) {
        Account &account = this->accounts.front();
        const Entry entry = account.entries.front();
        account.entries.pop_front();
        --this->waitingCount;
        const bool inTime = now + expectedDuration < entry.expiry;

        // An expired request does not count as the account's turn in the round robin.
        if (account.entries.empty()) {
            this->accounts.pop_front();
        } else if (inTime) {
            this->accounts.splice(this->accounts.end(), this->accounts, this->accounts.begin());
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
    for (auto account = this->accounts.begin(); account != this->accounts.end(); ++account) {
        const auto entry = std::ranges::find(account->entries, ticket, &Entry::ticket);
        if (entry == account->entries.end()) {
            continue;
        }
        account->entries.erase(entry);
        --this->waitingCount;
        if (account->entries.empty()) {
            this->accounts.erase(account);
        }
        return true;
    }
    return false;
}

} // namespace Galenarack
