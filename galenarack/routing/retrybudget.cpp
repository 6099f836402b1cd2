#include <galenarack/routing/retrybudget.h>

#include <algorithm>

namespace Galenarack {

void RetryBudget::onFirstAttempt()
{
    this->retryTokens = std::min(this->retryTokens + retryEarned, capacity);
    this->hedgeTokens = std::min(this->hedgeTokens + hedgeEarned, capacity);
}

bool RetryBudget::tryRetry()
{
    if (this->retryTokens < token) {
        return false;
    }
    this->retryTokens -= token;
    return true;
}

bool RetryBudget::tryHedge()
{
    if (this->hedgeTokens < token) {
        return false;
    }
    this->hedgeTokens -= token;
    return true;
}

} // namespace Galenarack
