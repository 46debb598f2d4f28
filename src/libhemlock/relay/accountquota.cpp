#include "relay/accountquota.h"

#include <algorithm>

namespace hemlock {

namespace {

double seconds(std::chrono::milliseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

AccountQuota::AccountQuota(QuotaSettings settings)
    : settings(settings)
{
}

bool AccountQuota::tryTake(
    const std::string &account, const QuotaLimit &limit, double units, std::size_t peers, TimePoint now)
{
    if (limit.rate > 0.0) {
        Window &window = this->windows[account];
        this->expire(window, now);
        const double allowed = (limit.rate * seconds(this->settings.window) + limit.burst) * (1.0 + this->settings.headroom)
            - this->silentPart(limit, peers, now);
        if (window.sum + units > allowed)
            return false;
    }
    this->own[account] += units;
    this->add(account, units, now);
    return true;
}

std::chrono::milliseconds AccountQuota::waitTime(const std::string &account,
                                                 const QuotaLimit &limit,
                                                 double units,
                                                 TimePoint now) const
{
    const auto found = this->windows.find(account);
    if (found == this->windows.end() || found->second.uses.empty())
        return this->settings.window;
    // The oldest uses leave the window first.
    const double allowed = limit.rate * seconds(this->settings.window) + limit.burst;
    double excess = found->second.sum + units - allowed;
    for (const Use &use : found->second.uses) {
        excess -= use.units;
        if (excess <= 0.0)
            return std::max(std::chrono::milliseconds(1),
                            std::chrono::ceil<std::chrono::milliseconds>(use.time + this->settings.window - now));
    }
    return this->settings.window;
}

const std::map<std::string, double> &AccountQuota::totals() const
{
    return this->own;
}

void AccountQuota::peerTotals(const std::string &peer,
                              const std::string &epoch,
                              const std::map<std::string, double> &totals,
                              TimePoint now)
{
    Peer &known = this->peersByName[peer];
    if (known.epoch != epoch)
        known = {epoch, {}, now};
    known.heard = now;
    for (const auto &[account, total] : totals) {
        double &last = known.totals[account];
        if (total > last)
            this->add(account, total - last, now);
        last = std::max(last, total);
    }
}

void AccountQuota::add(const std::string &account, double units, TimePoint now)
{
    Window &window = this->windows[account];
    this->expire(window, now);
    window.uses.push_back({now, units});
    window.sum += units;
}

void AccountQuota::expire(Window &window, TimePoint now) const
{
    while (!window.uses.empty() && now - window.uses.front().time >= this->settings.window) {
        window.sum -= window.uses.front().units;
        window.uses.pop_front();
    }
    if (window.uses.empty())
        window.sum = 0.0;
}

double AccountQuota::silentPart(const QuotaLimit &limit, std::size_t peers, TimePoint now) const
{
    const auto heard = static_cast<std::size_t>(
        std::count_if(this->peersByName.begin(), this->peersByName.end(), [this, now](const auto &peer) {
            return now - peer.second.heard < this->settings.silence;
        }));
    const std::size_t silent = peers > heard ? peers - heard : 0;
    return (limit.rate * seconds(this->settings.window) + limit.burst) * static_cast<double>(silent)
        / static_cast<double>(peers + 1);
}

} // namespace hemlock
