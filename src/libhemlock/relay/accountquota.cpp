#include "relay/accountquota.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

namespace {

/// Datagrams that arrive together are not taken for a high rate, in seconds.
constexpr double minRateInterval = 0.02;

} // namespace

AccountQuota::AccountQuota(QuotaSettings settings, RandomEngine random)
    : settings(settings)
    , random(random)
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
            bucket.level +=
                this->settings.startsFull ? this->capacity(limit) : this->levelAfterRestart(limit, units, peerCount);
        }
        this->refill(bucket, limit, peerCount, now);
        const double available = bucket.level - this->unreportedUnits(account, now);
        if (available <= 0.0)
            return false;
        // A request larger than the allowance passes with the probability that keeps the mean to the allowance.
        bucket.wasContended =
            this->isContended(available, limit, now) && bucket.ownLevel <= this->drawFraction() * units;
        if (bucket.wasContended)
            return false;
        bucket.level -= units;
        bucket.ownLevel = std::max(bucket.ownLevel - units, -units);
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
        return found->second.wasContended ? this->settings.contendedBurst : std::chrono::milliseconds(0);
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
    Peer updated{runId, totals, {}, vmCount, now, now};
    if (isContinued) {
        updated.rates = known.rates;
        updated.heardSince = known.heardSince;
        const double seconds = std::max(minRateInterval, std::chrono::duration<double>(now - known.lastHeard).count());
        const double weight = this->rateWeight(known, seconds, now);
        const bool wasObserved = this->isObserved(known, now);
        const bool isNewlyObserved = !wasObserved && this->isObserved(updated, now);
        for (const auto &[account, total] : totals) {
            const double added = total - known.totals[account];
            double &rate = updated.rates[account];
            rate += (added / seconds - rate) * weight;
            // Its share was reserved while it admitted what it has not reported yet.
            if (isNewlyObserved)
                this->bucketOf(account, now).level +=
                    rate * std::chrono::duration<double>(this->delayOf(updated)).count();
            if (wasObserved)
                this->bucketOf(account, now).level -= added;
        }
    }
    known = std::move(updated);
}

double AccountQuota::rateWeight(const Peer &peer, double seconds, TimePoint now) const
{
    const double averagingWeight =
        1.0 - std::exp(-seconds / std::chrono::duration<double>(this->settings.rateAveragingTime).count());
    // The plain mean of the first samples; an average that begins at zero would be too low.
    const double meanWeight = seconds / std::max(seconds, std::chrono::duration<double>(now - peer.heardSince).count());
    return std::max(averagingWeight, meanWeight);
}

void AccountQuota::chargeSilentPeers(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(this->settings.peerTimeout).count();
    for (auto &[name, peer] : this->peersByName) {
        if (now - peer.lastHeard < this->settings.peerTimeout)
            continue;
        // The fair share of others was reserved all the time.
        if (this->isObserved(peer, peer.lastHeard)) {
            for (const auto &[account, rate] : peer.rates)
                this->bucketOf(account, now).level -= std::max(0.0, rate) * seconds;
        }
        peer.rates.clear();
    }
}

double AccountQuota::unreportedUnits(const std::string &account, TimePoint now) const
{
    double units = 0.0;
    for (const auto &[name, peer] : this->peersByName) {
        const auto rate = peer.rates.find(account);
        if (rate == peer.rates.end() || !this->isObserved(peer, now))
            continue;
        const auto age = now - peer.lastHeard + this->delayOf(peer);
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

std::chrono::milliseconds AccountQuota::delayOf(const Peer &peer) const
{
    return peer.vmCount > 1 ? this->settings.groupReportDelay : this->settings.reportDelay;
}

bool AccountQuota::isContended(double available, const QuotaLimit &limit, TimePoint now) const
{
    const double reserve = limit.rate * std::chrono::duration<double>(this->settings.contendedReserve).count();
    if (available >= std::min(reserve, this->capacity(limit) / 2.0))
        return false;
    return std::any_of(this->peersByName.begin(), this->peersByName.end(), [this, now](const auto &peer) {
        return peer.second.vmCount > 1 && this->isObserved(peer.second, now);
    });
}

double AccountQuota::contendedRate(const QuotaLimit &limit, std::size_t peerCount) const
{
    return limit.rate * this->settings.contendedShare / static_cast<double>(peerCount + 1);
}

double AccountQuota::levelAfterRestart(const QuotaLimit &limit, double firstUnits, std::size_t peerCount)
{
    const double fleetUnits =
        this->settings.restartLevel + limit.rate * std::chrono::duration<double>(this->settings.restartTime).count();
    // One request at each VM would be more than a large fleet may admit.
    return fleetUnits / static_cast<double>(peerCount + 1) - this->drawFraction() * firstUnits;
}

double AccountQuota::drawFraction()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
}

bool AccountQuota::isObserved(const Peer &peer, TimePoint now) const
{
    // All VMs spend the same full bucket after the first start, so that use counts from the first totals on.
    const bool isRateKnown =
        this->settings.startsFull || peer.lastHeard - peer.heardSince >= this->settings.rateObservationTime;
    return isRateKnown && now - peer.lastHeard < this->settings.peerTimeout;
}

double AccountQuota::ownShare(std::size_t peerCount, TimePoint now) const
{
    std::size_t observedVms = 0;
    for (const auto &[name, peer] : this->peersByName) {
        if (this->isObserved(peer, now))
            observedVms += peer.vmCount;
    }
    const std::size_t otherVms = peerCount > observedVms ? peerCount - observedVms : 0;
    return 1.0 - static_cast<double>(otherVms) / static_cast<double>(peerCount + 1);
}

void AccountQuota::refill(Bucket &bucket, const QuotaLimit &limit, std::size_t peerCount, TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - bucket.lastRefill).count();
    const double rate = limit.rate * (1.0 + this->settings.extraRate) * this->ownShare(peerCount, now);
    bucket.level = std::min(this->capacity(limit), bucket.level + std::max(0.0, seconds) * rate);
    const double ownRate = this->contendedRate(limit, peerCount);
    const double maxOwnLevel = ownRate * std::chrono::duration<double>(this->settings.contendedBurst).count();
    bucket.ownLevel = std::min(maxOwnLevel, bucket.ownLevel + std::max(0.0, seconds) * ownRate);
    bucket.lastRefill = now;
}

} // namespace hemlock
