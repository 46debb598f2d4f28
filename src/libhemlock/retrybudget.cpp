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
    Balance &balance = balances.try_emplace(name, Balance{0.0, 0.0, 0.0, false, now}).first->second;
    const double seconds = std::chrono::duration<double>(now - balance.lastUpdate).count();
    balance.lastUpdate = now;
    this->add(balance, std::max(0.0, seconds) * this->settings.earnedPerSecond);
    if (!balance.hasInitialBalance && now >= this->initialBalanceTime) {
        balance.hasInitialBalance = true;
        this->add(balance, std::max(0.0, this->settings.maxRetries - balance.highest));
    }
    return balance;
}

void RetryBudget::add(Balance &balance, double retries) const
{
    const double room = std::max(0.0, this->settings.maxRetries - balance.reserved);
    balance.retries = std::min(room, balance.retries + retries);
    balance.highest = std::max(balance.highest, balance.retries + balance.reserved);
}

void RetryBudget::setMaxRetries(double maxRetries)
{
    this->settings.maxRetries = maxRetries;
}

void RetryBudget::deferInitialBalance(TimePoint time)
{
    this->initialBalanceTime = time;
}

void RetryBudget::recordRequest(const std::string &clientAccount, const std::string &upstream, TimePoint now)
{
    this->add(this->balanceOf(this->accounts, clientAccount, now), this->settings.earnedPerRequest);
    this->add(this->balanceOf(this->upstreams, upstream, now), this->settings.earnedPerRequest);
    if (++this->requests % requestsBetweenPrunes == 0) {
        this->prune(this->accounts, now);
        this->prune(this->upstreams, now);
    }
}

bool RetryBudget::tryRetry(const std::string &clientAccount, const std::string &upstream, TimePoint now)
{
    if (!this->reserveRetry(clientAccount, upstream, now))
        return false;
    this->commitRetry(clientAccount, upstream, now);
    return true;
}

bool RetryBudget::reserveRetry(const std::string &clientAccount, const std::string &upstream, TimePoint now)
{
    Balance &account = this->balanceOf(this->accounts, clientAccount, now);
    Balance &target = this->balanceOf(this->upstreams, upstream, now);
    if (account.retries < 1.0 || target.retries < 1.0)
        return false;
    for (Balance *balance : {&account, &target}) {
        balance->retries -= 1.0;
        balance->reserved += 1.0;
    }
    return true;
}

void RetryBudget::commitRetry(const std::string &clientAccount, const std::string &upstream, TimePoint now)
{
    for (Balance *balance :
         {&this->balanceOf(this->accounts, clientAccount, now), &this->balanceOf(this->upstreams, upstream, now)})
        balance->reserved = std::max(0.0, balance->reserved - 1.0);
}

void RetryBudget::returnRetry(const std::string &clientAccount, const std::string &upstream, TimePoint now)
{
    for (Balance *balance :
         {&this->balanceOf(this->accounts, clientAccount, now), &this->balanceOf(this->upstreams, upstream, now)}) {
        balance->reserved = std::max(0.0, balance->reserved - 1.0);
        this->add(*balance, 1.0);
    }
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
        return entry.second.hasInitialBalance && entry.second.reserved == 0.0
            && entry.second.retries + seconds * this->settings.earnedPerSecond >= this->settings.maxRetries;
    });
}

} // namespace hemlock
