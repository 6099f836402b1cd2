#include <galenarack/routing/accountlimiter.h>

#include <galenarack/core/errorkind.h>

#include <algorithm>
#include <cassert>

namespace Galenarack {

namespace {

/// Capacity of the token bucket: requests of this time at the full rate may arrive at once after a time without requests.
constexpr double burstSeconds = 1.0;

} // namespace

void AccountLimiter::refill(Row &row, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - row.refilledAt).count();
    row.tokens = std::min(row.burst, row.tokens + (std::max(0.0, elapsed) * row.ratePerSecond));
    row.refilledAt = std::max(row.refilledAt, now);
}

absl::Status AccountLimiter::admit(const AccountRow &account, TimePoint now)
{
    auto entry = this->rows.find(std::string_view(account.name));
    const double burst = std::max(1.0, account.ratePerSecond * burstSeconds);
    if (entry == this->rows.end()) {
        entry = this->rows.emplace(account.name, Row{0, burst, burst, account.ratePerSecond, now}).first;
    }
    Row &row = entry->second;
    refill(row, now);
    // A new revision of the document may have changed the rate.
    row.burst = burst;
    row.ratePerSecond = account.ratePerSecond;
    if (account.maxInFlight > 0 && row.inFlight >= account.maxInFlight) {
        return makeError(ErrorKind::AccountLimited,
                         "account " + account.name + " has " + std::to_string(row.inFlight) + " requests in flight, the limit is "
                             + std::to_string(account.maxInFlight));
    }
    if (account.ratePerSecond > 0.0 && row.tokens < 1.0) {
        return makeError(ErrorKind::AccountLimited,
                         "account " + account.name + " exceeds its limit of " + std::to_string(account.ratePerSecond)
                             + " requests a second");
    }
    if (account.ratePerSecond > 0.0) {
        row.tokens -= 1.0;
    }
    ++row.inFlight;
    return absl::OkStatus();
}

void AccountLimiter::finish(std::string_view account)
{
    const auto entry = this->rows.find(account);
    assert(entry != this->rows.end() && entry->second.inFlight > 0);
    --entry->second.inFlight;
}

void AccountLimiter::tick(TimePoint now)
{
    for (auto entry = this->rows.begin(); entry != this->rows.end();) {
        refill(entry->second, now);
        const bool rateRecovered = entry->second.ratePerSecond <= 0.0 || entry->second.tokens >= entry->second.burst;
        entry = entry->second.inFlight == 0 && rateRecovered ? this->rows.erase(entry) : std::next(entry);
    }
}

std::uint32_t AccountLimiter::inFlight(std::string_view account) const
{
    const auto entry = this->rows.find(account);
    return entry == this->rows.end() ? 0 : entry->second.inFlight;
}

} // namespace Galenarack
