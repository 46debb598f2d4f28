#include "retrybudget.h"

#include <algorithm>

namespace hemlock {

namespace {

// A full balance is the same as none, so full balances are removed regularly: upstreams come and go, and their entries
// would accumulate.
constexpr std::size_t requestsBetweenPrunes = 4096;

} // namespace

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : settings(settings)
{
}

RetryBudget::Balance &RetryBudget::balanceOf(Balances &balances, const std::string &name, TimePoint now) const
{
    const auto [found, isNew] = balances.try_emplace(name, Balance{this->settings.maxRetries, now});
    Balance &balance = found->second;
    const double seconds = std::chrono::duration<double>(now - balance.lastUpdate).count();
    balance.retries =
        std::min(this->settings.maxRetries, balance.retries + std::max(0.0, seconds) * this->settings.earnedPerSecond);
    balance.lastUpdate = now;
    return balance;
}

void RetryBudget::creditRequest(Balances &balances, const std::string &name, TimePoint now) const
{
    Balance &balance = this->balanceOf(balances, name, now);
    balance.retries = std::min(this->settings.maxRetries, balance.retries + this->settings.earnedPerRequest);
}

void RetryBudget::setMaxRetries(double maxRetries)
{
    this->settings.maxRetries = maxRetries;
}

void RetryBudget::recordRequest(const std::string &clientAccount, const std::string &upstream, TimePoint now)
{
    this->creditRequest(this->accounts, clientAccount, now);
    this->creditRequest(this->upstreams, upstream, now);
    if (++this->requests % requestsBetweenPrunes == 0) {
        this->prune(this->accounts, now);
        this->prune(this->upstreams, now);
    }
}

bool RetryBudget::tryRetry(const std::string &clientAccount, const std::string &upstream, TimePoint now)
{
    Balance &account = this->balanceOf(this->accounts, clientAccount, now);
    Balance &target = this->balanceOf(this->upstreams, upstream, now);
    if (account.retries < 1.0 || target.retries < 1.0)
        return false;
    account.retries -= 1.0;
    target.retries -= 1.0;
    return true;
}

void RetryBudget::chargeReplay(const std::string &clientAccount, const std::string &upstream, TimePoint now)
{
    // The debt is bounded, since the replays after the loss of an availability zone would otherwise block the retries
    // of the account for minutes.
    for (Balance *balance :
         {&this->balanceOf(this->accounts, clientAccount, now), &this->balanceOf(this->upstreams, upstream, now)})
        balance->retries = std::max(-this->settings.maxRetries, balance->retries - 1.0);
}

double RetryBudget::balance(const std::string &clientAccount, const std::string &upstream, TimePoint now)
{
    return std::min(this->balanceOf(this->accounts, clientAccount, now).retries,
                    this->balanceOf(this->upstreams, upstream, now).retries);
}

std::size_t RetryBudget::size() const
{
    return this->accounts.size() + this->upstreams.size();
}

void RetryBudget::prune(Balances &balances, TimePoint now) const
{
    std::erase_if(balances, [this, now](const auto &entry) {
        const double seconds = std::chrono::duration<double>(now - entry.second.lastUpdate).count();
        return entry.second.retries + seconds * this->settings.earnedPerSecond >= this->settings.maxRetries;
    });
}

} // namespace hemlock
