#include "relay/accountquota.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

AccountQuota::AccountQuota(QuotaSettings settings)
    : settings(settings)
{
}

void AccountQuota::setSettings(const QuotaSettings &newSettings)
{
    this->settings = newSettings;
}

bool AccountQuota::tryTake(
    const std::string &account, const QuotaLimit &limit, double units, std::size_t peerCount, TimePoint now)
{
    if (limit.rate > 0.0) {
        Bucket &bucket = this->buckets[account];
        if (!bucket.isInitialized) {
            bucket.isInitialized = true;
            bucket.level += this->settings.startsFull ? this->capacity(limit) : this->settings.restartLevel;
            bucket.lastRefill = now;
        }
        this->refill(bucket, limit, peerCount, now);
        if (bucket.level <= 0.0)
            return false;
        bucket.level -= units;
    }
    this->ownTotals[account] += units;
    return true;
}

void AccountQuota::refund(const std::string &account, double units)
{
    this->buckets[account].level += units;
    this->ownTotals[account] -= units;
}

std::chrono::milliseconds AccountQuota::waitTime(const std::string &account, const QuotaLimit &limit) const
{
    const auto found = this->buckets.find(account);
    if (found == this->buckets.end() || found->second.level > 0.0 || limit.rate <= 0.0)
        return std::chrono::milliseconds(0);
    constexpr double msPerSecond = 1000.0;
    return std::chrono::milliseconds(std::llround(std::ceil(-found->second.level / limit.rate * msPerSecond)) + 1);
}

const std::map<std::string, double> &AccountQuota::totals() const
{
    return this->ownTotals;
}

void AccountQuota::updatePeerTotals(const std::string &peer,
                                    const std::string &runId,
                                    const std::map<std::string, double> &totals,
                                    std::size_t vmCount,
                                    TimePoint now)
{
    Peer &known = this->peersByName[peer];
    // The first totals of a peer do not tell recent use from old use, so they are not charged. Nor is use during a
    // silence, for which the peer's fair share was reserved.
    const bool isContinued = known.runId == runId && now - known.lastHeard < this->settings.peerTimeout;
    if (isContinued) {
        for (const auto &[account, total] : totals)
            this->buckets[account].level -= total - known.totals[account];
    }
    known = {runId, totals, vmCount, now};
}

double AccountQuota::capacity(const QuotaLimit &limit) const
{
    return limit.burst + this->settings.extraBurst;
}

double AccountQuota::ownShare(std::size_t peerCount, TimePoint now) const
{
    std::size_t activeVms = 0;
    for (const auto &[name, peer] : this->peersByName) {
        if (now - peer.lastHeard < this->settings.peerTimeout)
            activeVms += peer.vmCount;
    }
    const std::size_t silentVms = peerCount > activeVms ? peerCount - activeVms : 0;
    return 1.0 - static_cast<double>(silentVms) / static_cast<double>(peerCount + 1);
}

void AccountQuota::refill(Bucket &bucket, const QuotaLimit &limit, std::size_t peerCount, TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - bucket.lastRefill).count();
    const double rate = limit.rate * (1.0 + this->settings.extraRate) * this->ownShare(peerCount, now);
    bucket.level = std::min(this->capacity(limit), bucket.level + std::max(0.0, seconds) * rate);
    bucket.lastRefill = now;
}

} // namespace hemlock
