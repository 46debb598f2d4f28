#include "ratelimit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlock {

namespace {

using Seconds = std::chrono::duration<double>;
using TimePoint = std::chrono::steady_clock::time_point;

// Time constant of the averaged demand: longer than the gaps between requests, shorter than a flood.
constexpr Seconds demandWindow{1.0};

double secondsBetween(TimePoint from, TimePoint to)
{
    return std::max(0.0, Seconds(to - from).count());
}

} // namespace

TokenBucket::TokenBucket(double tokensPerSecond, std::chrono::milliseconds burst, TimePoint now)
    : rate(tokensPerSecond)
    , burst(burst)
    , level(tokensPerSecond * Seconds(burst).count())
    , lastUpdate(now)
{
}

void TokenBucket::setRate(double tokensPerSecond, TimePoint now)
{
    this->level = this->levelAt(now);
    this->lastUpdate = now;
    this->rate = tokensPerSecond;
    this->level = std::min(this->level, this->rate * Seconds(this->burst).count());
}

bool TokenBucket::tryTake(double tokens, TimePoint now)
{
    this->level = this->levelAt(now);
    this->lastUpdate = now;
    if (this->level <= 0.0)
        return false;
    this->level -= tokens;
    return true;
}

void TokenBucket::settle(double tokens, TimePoint now)
{
    this->level = std::min(this->levelAt(now) - tokens, this->rate * Seconds(this->burst).count());
    this->lastUpdate = now;
}

std::chrono::milliseconds TokenBucket::waitTime(TimePoint now) const
{
    const double level = this->levelAt(now);
    if (level > 0.0)
        return std::chrono::milliseconds(0);
    constexpr double maxWaitSeconds = 60.0;
    const double seconds = this->rate > 0.0 ? std::min(-level / this->rate, maxWaitSeconds) : maxWaitSeconds;
    return std::chrono::milliseconds(1 + static_cast<std::int64_t>(seconds * 1000.0));
}

double TokenBucket::debt(TimePoint now) const
{
    return std::max(0.0, -this->levelAt(now));
}

double TokenBucket::levelAt(TimePoint now) const
{
    return std::min(this->level + this->rate * secondsBetween(this->lastUpdate, now),
                    this->rate * Seconds(this->burst).count());
}

LimitShare::LimitShare(
    std::string clientAccount, std::string entryVmId, double limit, ShareSettings settings, TimePoint now)
    : clientAccount(std::move(clientAccount))
    , entryVmId(std::move(entryVmId))
    , limit(limit)
    , settings(settings)
    , nextShareTime(now)
    , lastDemandUpdate(now)
    , bucket(0.0, settings.burst, now)
{
}

void LimitShare::setMembers(std::size_t members, double limit, TimePoint now)
{
    const bool isInitial = this->members == 0;
    const double presentShare = isInitial ? this->settings.joiningShare * limit : this->ownShare(now);
    const double targetShare = limit / static_cast<double>(std::max<std::size_t>(members, 1));
    const bool limitChanged = limit != this->limit;
    if (!isInitial && members == this->members && !limitChanged)
        return;
    this->members = std::max<std::size_t>(members, 1);
    this->limit = limit;
    if (this->members == 1 || targetShare <= presentShare || (limitChanged && !isInitial)) {
        this->currentShare = targetShare;
        this->nextShare = targetShare;
        this->nextShareTime = now;
    } else {
        this->currentShare = presentShare;
        this->nextShare = targetShare;
        this->nextShareTime = now + this->settings.lease;
    }
    this->bucket.setRate(this->rate(now), now);
    if (isInitial)
        this->bucket = TokenBucket(this->rate(now), this->settings.burst, now);
}

bool LimitShare::tryTake(double tokens, TimePoint now)
{
    this->demandTokens =
        this->demandTokens * std::exp(-secondsBetween(this->lastDemandUpdate, now) / demandWindow.count()) + tokens;
    this->lastDemandUpdate = now;
    this->bucket.setRate(this->rate(now), now);
    return this->bucket.tryTake(tokens, now);
}

void LimitShare::settle(double tokens, TimePoint now)
{
    this->bucket.setRate(this->rate(now), now);
    this->bucket.settle(tokens, now);
}

std::chrono::milliseconds LimitShare::waitTime(TimePoint now) const
{
    const auto waitAtCurrentRate = this->bucket.waitTime(now);
    const double ownShareNow = this->ownShare(now);
    if (waitAtCurrentRate == std::chrono::milliseconds(0) || ownShareNow <= 0.0)
        return waitAtCurrentRate;
    // Loans given expire with their leases; from then on the whole own share is available, whatever the rate is now.
    const auto loanReturnTime = this->settings.lease * (1.0 + this->settings.leaseMargin);
    const auto waitAtOwnShare = loanReturnTime + std::chrono::duration<double>(this->bucket.debt(now) / ownShareNow);
    return std::min(waitAtCurrentRate, std::chrono::ceil<std::chrono::milliseconds>(waitAtOwnShare));
}

std::optional<ShareRequest> LimitShare::createRequest(TimePoint now)
{
    this->removeExpired(now);
    // Loans taken do not reduce the shortage, since a grant replaces the previous grant of the same lender.
    const double shortage =
        this->demand(now) * this->settings.demandHeadroom - (this->ownShare(now) - this->lentRate(now));
    if (shortage <= 0.0)
        return std::nullopt;
    this->requestTimes[++this->sequence] = now;
    return ShareRequest{this->clientAccount, this->entryVmId, this->sequence, shortage};
}

std::optional<ShareGrant> LimitShare::grantLoan(const ShareRequest &request, TimePoint now)
{
    this->removeExpired(now);
    std::vector<Loan> &borrowerLoans = this->loansGiven[request.from];
    double lentToOthers = this->lentRate(now);
    double lentToBorrower = 0.0;
    for (const Loan &loan : borrowerLoans)
        lentToBorrower = std::max(lentToBorrower, loan.rate);
    lentToOthers -= lentToBorrower;
    const double spareRate = this->ownShare(now) - lentToOthers - this->demand(now) * this->settings.demandHeadroom;
    const double rate = std::min(request.shortage, spareRate);
    if (rate <= 0.0) {
        if (borrowerLoans.empty())
            this->loansGiven.erase(request.from);
        return std::nullopt;
    }
    const auto lease = this->settings.lease
        + std::chrono::duration_cast<std::chrono::milliseconds>(this->settings.lease * this->settings.leaseMargin);
    borrowerLoans.push_back({rate, now + lease, request.sequence});
    this->bucket.setRate(this->rate(now), now);
    return ShareGrant{this->clientAccount, this->entryVmId, request.sequence, rate};
}

void LimitShare::acceptLoan(const ShareGrant &grant, TimePoint now)
{
    const auto requestTime = this->requestTimes.find(grant.requestSequence);
    if (requestTime == this->requestTimes.end())
        return;
    const TimePoint expiry = requestTime->second + this->settings.lease;
    Loan &loan = this->loansTaken[grant.from];
    if (expiry <= now || grant.requestSequence < loan.sequence)
        return;
    loan = {grant.tokensPerSecond, expiry, grant.requestSequence};
    this->bucket.setRate(this->rate(now), now);
}

double LimitShare::rate(TimePoint now) const
{
    return std::max(0.0, this->ownShare(now) - this->lentRate(now)) + this->borrowedRate(now);
}

double LimitShare::demand(TimePoint now) const
{
    return this->demandTokens * std::exp(-secondsBetween(this->lastDemandUpdate, now) / demandWindow.count())
        / demandWindow.count();
}

double LimitShare::ownShare(TimePoint now) const
{
    return now >= this->nextShareTime ? this->nextShare : this->currentShare;
}

double LimitShare::lentRate(TimePoint now) const
{
    double sum = 0.0;
    for (const auto &[borrower, loans] : this->loansGiven) {
        double largest = 0.0;
        for (const Loan &loan : loans) {
            if (loan.expiry > now)
                largest = std::max(largest, loan.rate);
        }
        sum += largest;
    }
    return sum;
}

double LimitShare::borrowedRate(TimePoint now) const
{
    double sum = 0.0;
    for (const auto &[lender, loan] : this->loansTaken) {
        if (loan.expiry > now)
            sum += loan.rate;
    }
    return sum;
}

void LimitShare::removeExpired(TimePoint now)
{
    std::erase_if(this->loansTaken, [now](const auto &entry) { return entry.second.expiry <= now; });
    for (auto &[borrower, loans] : this->loansGiven)
        std::erase_if(loans, [now](const Loan &loan) { return loan.expiry <= now; });
    std::erase_if(this->loansGiven, [](const auto &entry) { return entry.second.empty(); });
    std::erase_if(this->requestTimes,
                  [this, now](const auto &entry) { return entry.second + this->settings.lease <= now; });
}

RateLimiter::RateLimiter(std::string entryVmId, ShareSettings settings)
    : entryVmId(std::move(entryVmId))
    , settings(settings)
{
}

void RateLimiter::setMembers(std::size_t members, TimePoint now)
{
    this->members = std::max<std::size_t>(members, 1);
    for (auto &[id, share] : this->shares)
        share.setMembers(this->members, share.totalLimit(), now);
}

void RateLimiter::setLimit(const std::string &clientAccount, double tokensPerSecond, TimePoint now)
{
    if (tokensPerSecond <= 0.0) {
        this->shares.erase(clientAccount);
        return;
    }
    auto found = this->shares.find(clientAccount);
    if (found == this->shares.end()) {
        LimitShare share(clientAccount, this->entryVmId, tokensPerSecond, this->settings, now);
        found = this->shares.emplace(clientAccount, std::move(share)).first;
    }
    found->second.setMembers(this->members, tokensPerSecond, now);
}

std::chrono::milliseconds RateLimiter::take(const std::string &clientAccount, double tokens, TimePoint now)
{
    const auto found = this->shares.find(clientAccount);
    if (found == this->shares.end() || found->second.tryTake(tokens, now))
        return std::chrono::milliseconds(0);
    return std::max(found->second.waitTime(now), std::chrono::milliseconds(1));
}

void RateLimiter::settle(const std::string &clientAccount, double tokens, TimePoint now)
{
    const auto found = this->shares.find(clientAccount);
    if (found != this->shares.end())
        found->second.settle(tokens, now);
}

std::vector<ShareRequest> RateLimiter::createRequests(TimePoint now)
{
    std::vector<ShareRequest> result;
    for (auto &[id, share] : this->shares) {
        if (auto request = share.createRequest(now))
            result.push_back(std::move(*request));
    }
    return result;
}

std::optional<ShareGrant> RateLimiter::grantLoan(const ShareRequest &request, TimePoint now)
{
    const auto found = this->shares.find(request.clientAccount);
    return found == this->shares.end() ? std::nullopt : found->second.grantLoan(request, now);
}

void RateLimiter::acceptLoan(const ShareGrant &grant, TimePoint now)
{
    const auto found = this->shares.find(grant.clientAccount);
    if (found != this->shares.end())
        found->second.acceptLoan(grant, now);
}

const LimitShare *RateLimiter::find(const std::string &clientAccount) const
{
    const auto found = this->shares.find(clientAccount);
    return found == this->shares.end() ? nullptr : &found->second;
}

} // namespace hemlock
