#include "relay/accountquota.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

namespace {

/// Datagrams that arrive together are not taken for a high rate, in seconds.
constexpr double minRateInterval = 0.02;

} // namespace

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
        this->chargeSilentPeers(now);
        Bucket &bucket = this->bucketOf(account, now);
        if (!bucket.isInitialized) {
            bucket.isInitialized = true;
            bucket.level += this->settings.startsFull ? this->capacity(limit) : this->settings.restartLevel;
        }
        this->refill(bucket, limit, peerCount, now);
        if (bucket.level <= this->unreportedUnits(account, now))
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

std::chrono::milliseconds
AccountQuota::waitTime(const std::string &account, const QuotaLimit &limit, TimePoint now) const
{
    const auto found = this->buckets.find(account);
    if (found == this->buckets.end() || limit.rate <= 0.0)
        return std::chrono::milliseconds(0);
    const double missing = this->unreportedUnits(account, now) - found->second.level;
    if (missing < 0.0)
        return std::chrono::milliseconds(0);
    constexpr double msPerSecond = 1000.0;
    return std::chrono::milliseconds(std::llround(std::ceil(missing / limit.rate * msPerSecond)) + 1);
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
    std::map<std::string, double> rates;
    if (isContinued) {
        rates = known.rates;
        const double seconds = std::max(minRateInterval, std::chrono::duration<double>(now - known.lastHeard).count());
        const double weight =
            1.0 - std::exp(-seconds / std::chrono::duration<double>(this->settings.rateAveragingTime).count());
        for (const auto &[account, total] : totals) {
            const double added = total - known.totals[account];
            this->bucketOf(account, now).level -= added;
            rates[account] += (added / seconds - rates[account]) * weight;
        }
    }
    known = {runId, totals, std::move(rates), vmCount, now};
}

void AccountQuota::chargeSilentPeers(TimePoint now)
{
    for (auto &[name, peer] : this->peersByName) {
        if (now - peer.lastHeard < this->settings.peerTimeout)
            continue;
        for (const auto &[account, rate] : peer.rates)
            this->bucketOf(account, now).level -=
                std::max(0.0, rate) * std::chrono::duration<double>(this->settings.peerTimeout).count();
        peer.rates.clear();
    }
}

double AccountQuota::unreportedUnits(const std::string &account, TimePoint now) const
{
    double units = 0.0;
    for (const auto &[name, peer] : this->peersByName) {
        const auto rate = peer.rates.find(account);
        // The fair share of a silent peer is reserved instead.
        if (rate == peer.rates.end() || now - peer.lastHeard >= this->settings.peerTimeout)
            continue;
        const auto delay = peer.vmCount > 1 ? this->settings.groupReportDelay : this->settings.reportDelay;
        const auto age = now - peer.lastHeard + delay;
        units += std::max(0.0, rate->second) * std::chrono::duration<double>(age).count();
    }
    return units;
}

AccountQuota::Bucket &AccountQuota::bucketOf(const std::string &account, TimePoint now)
{
    const auto [entry, isNew] = this->buckets.try_emplace(account);
    // Peers' use is charged before the first request arrives here, so the bucket is refilled from then on as well.
    if (isNew)
        entry->second.lastRefill = now;
    return entry->second;
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
