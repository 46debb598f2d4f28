#include "admission/minimumshares.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

namespace {

// Share of the more urgent starts that a waiting rank earns. Small enough that the most urgent rank loses no more than
// a tenth to each other rank.
constexpr double minRankShare = 0.1;

// A less urgent rank may always use this share of the pending tokens; it keeps upstreams busy for 150 ms, longer than
// the delay of most load reports.
constexpr double minPendingShare = 0.25;

// Room is kept for prompts of a more urgent rank for this long after the latest one: entry VMs with little traffic see
// one every few seconds.
constexpr std::chrono::seconds urgentPromptMemory{10};

// Averages over about the last ten prompts.
constexpr double promptSmoothing = 0.1;

// Time over which the shares of accounts are compared.
constexpr double accountHalfLifeSeconds = 5.0;

// With fewer starts, a single request would make its account look like a flood.
constexpr double minStartCount = 10.0;

// An account whose recent starts decayed below this cost is forgotten.
constexpr double negligibleCost = 0.01;

} // namespace

MinimumShares::MinimumShares(bool isEnabled)
    : isEnabled(isEnabled)
{
}

std::optional<int> MinimumShares::nextRank(const std::vector<WaitingRank> &ranks)
{
    this->dueRank.reset();
    for (const WaitingRank &waiting : ranks) {
        const auto credit = this->creditByRank.find(waiting.rank);
        if (credit == this->creditByRank.end() || credit->second < waiting.meanCost)
            continue;
        this->dueRank = waiting.rank;
        return waiting.rank;
    }
    return ranks.empty() ? std::nullopt : std::optional(ranks.front().rank);
}

void MinimumShares::started(
    const std::string &account, int rank, double cost, const std::vector<WaitingRank> &ranks, TimePoint now)
{
    if (!this->isEnabled)
        return;
    this->decayAccounts(now);
    this->startedByAccount[account] += cost;
    this->startCount += 1.0;
    if (const auto own = this->creditByRank.find(rank); own != this->creditByRank.end())
        own->second = std::max(0.0, own->second - cost);
    for (const WaitingRank &waiting : ranks) {
        if (waiting.rank <= rank)
            continue;
        // More than the cost of two requests is not saved up, so that a rank cannot take over the service.
        double &credit = this->creditByRank[waiting.rank];
        credit = std::min(credit + cost * minRankShare, 2.0 * waiting.meanCost);
    }
}

void MinimumShares::arrived(int rank, double promptTokens, TimePoint now)
{
    const auto [found, isNew] = this->promptsByRank.try_emplace(rank);
    RecentPrompts &prompts = found->second;
    prompts.meanTokens += (promptTokens - prompts.meanTokens) * (isNew ? 1.0 : promptSmoothing);
    prompts.latest = now;
}

void MinimumShares::contended(TimePoint now)
{
    this->lastContention = now;
}

bool MinimumShares::isContended(TimePoint now) const
{
    return this->isEnabled && this->lastContention && now - *this->lastContention < urgentPromptMemory;
}

double MinimumShares::pendingLimit(int rank, double maxPendingTokens, TimePoint now) const
{
    double reserve = 0.0;
    for (const auto &[other, prompts] : this->promptsByRank) {
        if (other < rank && now - prompts.latest < urgentPromptMemory)
            reserve = std::max(reserve, prompts.meanTokens);
    }
    return this->isContended(now) && rank != this->dueRank
        ? std::max(maxPendingTokens - reserve, maxPendingTokens * minPendingShare)
        : maxPendingTokens;
}

bool MinimumShares::isShortOfShare(const std::string &account, TimePoint now)
{
    this->decayAccounts(now);
    if (!this->isEnabled || this->startCount < minStartCount)
        return false;
    double total = 0.0;
    double largest = 0.0;
    for (const auto &[name, cost] : this->startedByAccount) {
        total += cost;
        largest = std::max(largest, cost);
    }
    const auto own = this->startedByAccount.find(account);
    const double ownCost = own == this->startedByAccount.end() ? 0.0 : own->second;
    const double accounts =
        static_cast<double>(this->startedByAccount.size() + (own == this->startedByAccount.end() ? 1 : 0));
    return largest > total / 2.0 && ownCost < total / accounts / 2.0;
}

void MinimumShares::decayAccounts(TimePoint now)
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - this->lastDecay).count());
    this->lastDecay = std::max(this->lastDecay, now);
    const double factor = std::exp2(-elapsed / accountHalfLifeSeconds);
    this->startCount *= factor;
    for (auto &[name, cost] : this->startedByAccount)
        cost *= factor;
    std::erase_if(this->startedByAccount, [](const auto &entry) { return entry.second < negligibleCost; });
}

} // namespace hemlock
