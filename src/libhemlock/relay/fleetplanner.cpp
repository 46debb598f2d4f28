#include "relay/fleetplanner.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

FleetPlanner::FleetPlanner(FleetPlannerSettings settings)
    : settings(settings)
{
}

void FleetPlanner::noteDemand(const std::string &service, double totalTokens, TimePoint now)
{
    Demand &demand = this->demands[service];
    const double added = totalTokens - demand.total;
    const double seconds = std::chrono::duration<double>(now - demand.updated).count();
    const bool isFirst = demand.updated == TimePoint();
    demand.total = totalTokens;
    demand.updated = now;
    if (isFirst || added < 0.0 || seconds <= 0.0 || (!demand.rate && added == 0.0))
        return;
    const double weight = 1.0 - std::exp(-seconds / std::chrono::duration<double>(this->settings.averaging).count());
    const double before = demand.rate.value_or(added / seconds);
    demand.rate = before + (added / seconds - before) * weight;
}

void FleetPlanner::noteSupply(const std::string &service, const Supply &supply, TimePoint now)
{
    Demand &demand = this->demands[service];
    if (demand.supplySeen == TimePoint())
        demand.supplySeen = now;
    for (auto &[name, zone] : demand.zones)
        zone.supply = {};
    for (const auto &[name, present] : supply)
        demand.zones[name].supply = present;
}

void FleetPlanner::noteRefused(const std::string &service, const std::string &zone, TimePoint now)
{
    Zone &refused = this->demands[service].zones[zone];
    refused.isScarce = true;
    refused.scarceUntil = now + this->settings.scarceTime;
}

std::set<UpstreamOrder> FleetPlanner::plan(const RelayService &service, TimePoint now)
{
    std::set<UpstreamOrder> orders;
    if (!service.scaling || service.scaling->zonePrices.empty())
        return orders;
    const ScalingLimits &limits = *service.scaling;
    Demand &demand = this->demands[service.name];
    if (demand.supplySeen == TimePoint() || now - demand.supplySeen < this->settings.firstDelay)
        return orders;
    const int zones = static_cast<int>(limits.zonePrices.size());
    const int needed = this->upstreamsNeeded(service, demand, now);
    const int share = (needed + zones - 1) / zones;
    const int least = std::max(1, limits.min);
    if (!limits.reclaimablePrice) {
        for (const auto &[zone, price] : limits.zonePrices)
            orders.insert({service.name, zone, std::clamp(share, least, std::max(least, limits.max)), false});
        return orders;
    }
    this->updateScarcity(limits, demand, std::max(0, share - least), now);
    const int scarce =
        static_cast<int>(std::count_if(limits.zonePrices.begin(), limits.zonePrices.end(), [&demand](const auto &zone) {
            return demand.zones[zone.first].isScarce;
        }));
    const int open = zones - scarce;
    const int reclaimable = std::max(0, needed - least * zones);
    const int perOpenZone = open > 0 ? (reclaimable + open - 1) / open : 0;
    const int extra = this->fillIn(demand, least * zones, scarce > 0);
    const int onDemand = std::min(least + (extra + zones - 1) / zones, std::max(least, limits.max));
    for (const auto &[name, price] : limits.zonePrices) {
        Zone &zone = demand.zones[name];
        zone.wanted = std::clamp(zone.isScarce ? share - least : perOpenZone, 0, std::max(0, limits.max - onDemand));
        orders.insert({service.name, name, onDemand, false});
        orders.insert({service.name, name, zone.wanted, true});
    }
    return orders;
}

int FleetPlanner::upstreamsNeeded(const RelayService &service, Demand &demand, TimePoint now) const
{
    const ScalingLimits &limits = *service.scaling;
    const bool isCheap = limits.reclaimablePrice.has_value();
    const int zones = static_cast<int>(limits.zonePrices.size());
    const int least = zones * (std::max(1, limits.min) + (isCheap ? this->settings.leastPerZone : 0));
    int present = 0;
    for (const auto &[name, zone] : demand.zones)
        present += zone.supply.onDemand + zone.supply.reclaimable;
    // A holder of the duty that started just now keeps what its predecessor ordered.
    if (demand.needed == 0) {
        demand.needed = demand.rate ? present : static_cast<int>(std::ceil(present * this->settings.firstShare));
        demand.lastNeeded = now;
    }
    int needed = std::max(least, demand.rate ? 0 : demand.needed);
    if (demand.rate) {
        const double use = isCheap ? this->settings.reclaimableUse : this->settings.onDemandUse;
        needed = std::max(needed, static_cast<int>(std::ceil(*demand.rate / (this->settings.tokensPerSecond * use))));
    }
    const int most = zones * std::max(std::max(1, limits.min), limits.max);
    needed = std::min(needed, most);
    const bool isGrowing = needed > demand.needed;
    const int margin = isGrowing ? static_cast<int>(needed * (this->settings.growthMargin - 1.0)) : 0;
    // What the margin covers is still needed, so that the fleet does not shrink and grow by turns.
    if (needed * this->settings.growthMargin >= demand.needed)
        demand.lastNeeded = now;
    if (isGrowing || now - demand.lastNeeded >= this->settings.shrinkDelay) {
        demand.needed = std::min(most, needed + margin);
        demand.lastNeeded = now;
    }
    return demand.needed;
}

int FleetPlanner::fillIn(Demand &demand, int least, bool isScarce) const
{
    int serving = least;
    for (const auto &[name, zone] : demand.zones)
        serving += zone.supply.reclaimable;
    const double loaded = demand.rate.value_or(0.0) / (this->settings.tokensPerSecond * this->settings.fillInUse);
    const double missing = std::max(0.0, loaded - serving);
    // They stay until reclaimable ones serve in their place.
    if (missing > demand.fillIn && isScarce)
        demand.fillIn = static_cast<int>(std::ceil(missing * this->settings.growthMargin));
    else if (missing * this->settings.growthMargin * this->settings.growthMargin < demand.fillIn)
        demand.fillIn = static_cast<int>(std::ceil(missing));
    return demand.fillIn;
}

void FleetPlanner::updateScarcity(const ScalingLimits &limits, Demand &demand, int share, TimePoint now) const
{
    for (const auto &[name, price] : limits.zonePrices) {
        Zone &zone = demand.zones[name];
        zone.shares.emplace_back(now, share);
        while (now - zone.shares.front().first > limits.bootTime + this->settings.bootSlack) {
            zone.shares.pop_front();
            zone.isSettled = true;
        }
        if (this->isShort(zone, share)) {
            zone.isScarce = true;
            zone.scarceUntil = now + this->settings.scarceTime;
        } else if (now >= zone.scarceUntil) {
            zone.isScarce = false;
        }
    }
}

bool FleetPlanner::isShort(const Zone &zone, int share) const
{
    const ZoneSupply &supply = zone.supply;
    // While upstreams on demand fill in, fewer reclaimable ones are ordered than the zone's part.
    if (supply.reclaimable * 2 >= share || (zone.wanted > 0 && supply.reclaimable >= zone.wanted))
        return false;
    if (supply.leaving > supply.reclaimable)
        return true;
    const auto least = std::min_element(
        zone.shares.begin(), zone.shares.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
    return zone.isSettled && supply.reclaimable * 2 < least->second;
}

} // namespace hemlock
