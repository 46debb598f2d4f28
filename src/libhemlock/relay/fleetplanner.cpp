#include "relay/fleetplanner.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

FleetPlanner::FleetPlanner(FleetPlannerSettings settings)
    : settings(settings)
{
}

void FleetPlanner::recordDemand(const std::string &service, double totalTokens, TimePoint now)
{
    Demand &demand = this->demands[service];
    const double added = totalTokens - demand.lastTotalTokens;
    const double seconds = std::chrono::duration<double>(now - demand.updated).count();
    const bool isFirst = demand.updated == TimePoint();
    demand.lastTotalTokens = totalTokens;
    demand.updated = now;
    if (isFirst || added < 0.0 || seconds <= 0.0 || (!demand.tokenRate && added == 0.0))
        return;
    const double weight =
        1.0 - std::exp(-seconds / std::chrono::duration<double>(this->settings.averagingTime).count());
    const double previousRate = demand.tokenRate.value_or(added / seconds);
    demand.tokenRate = previousRate + (added / seconds - previousRate) * weight;
}

void FleetPlanner::recordSupply(const std::string &service, const Supply &supply, TimePoint now)
{
    Demand &demand = this->demands[service];
    if (demand.firstSupplyAt == TimePoint())
        demand.firstSupplyAt = now;
    for (auto &[name, zone] : demand.zones)
        zone.supply = {};
    for (const auto &[name, present] : supply)
        demand.zones[name].supply = present;
}

void FleetPlanner::recordRefusal(const std::string &service, const std::string &zone, TimePoint now)
{
    Zone &refused = this->demands[service].zones[zone];
    refused.isScarce = true;
    refused.scarceUntil = now + this->settings.scarcityTime;
}

std::set<UpstreamOrder> FleetPlanner::plan(const RelayService &service, TimePoint now)
{
    std::set<UpstreamOrder> orders;
    if (!service.scaling || service.scaling->zonePrices.empty())
        return orders;
    const ScalingLimits &limits = *service.scaling;
    Demand &demand = this->demands[service.name];
    if (demand.firstSupplyAt == TimePoint() || now - demand.firstSupplyAt < this->settings.initialDelay)
        return orders;
    const int zones = static_cast<int>(limits.zonePrices.size());
    const int needed = this->targetUpstreams(service, demand, now);
    const int share = (needed + zones - 1) / zones;
    const int minOnDemand = std::max(1, limits.min);
    if (!limits.reclaimablePrice) {
        for (const auto &[zone, price] : limits.zonePrices)
            orders.insert(
                {service.name, zone, std::clamp(share, minOnDemand, std::max(minOnDemand, limits.max)), false});
        return orders;
    }
    this->updateScarcity(limits, demand, std::max(0, share - minOnDemand), now);
    const int scarceZones =
        static_cast<int>(std::count_if(limits.zonePrices.begin(), limits.zonePrices.end(), [&demand](const auto &zone) {
            return demand.zones[zone.first].isScarce;
        }));
    const int openZones = zones - scarceZones;
    const int reclaimable = std::max(0, needed - minOnDemand * zones);
    const int reclaimablePerOpenZone = openZones > 0 ? (reclaimable + openZones - 1) / openZones : 0;
    const int fallbackTotal = this->fallbackUpstreams(demand, minOnDemand * zones, scarceZones > 0);
    const int onDemand = std::min(minOnDemand + (fallbackTotal + zones - 1) / zones, std::max(minOnDemand, limits.max));
    for (const auto &[name, price] : limits.zonePrices) {
        Zone &zone = demand.zones[name];
        zone.orderedReclaimable = std::clamp(
            zone.isScarce ? share - minOnDemand : reclaimablePerOpenZone, 0, std::max(0, limits.max - onDemand));
        orders.insert({service.name, name, onDemand, false});
        orders.insert({service.name, name, zone.orderedReclaimable, true});
    }
    return orders;
}

int FleetPlanner::targetUpstreams(const RelayService &service, Demand &demand, TimePoint now) const
{
    const ScalingLimits &limits = *service.scaling;
    const bool hasReclaimable = limits.reclaimablePrice.has_value();
    const int zones = static_cast<int>(limits.zonePrices.size());
    const int minUpstreams =
        zones * (std::max(1, limits.min) + (hasReclaimable ? this->settings.minReclaimablePerZone : 0));
    int present = 0;
    for (const auto &[name, zone] : demand.zones)
        present += zone.supply.onDemand + zone.supply.reclaimable;
    // A new holder of the duty keeps the fleet that its predecessor ordered.
    if (demand.targetCount == 0) {
        demand.targetCount =
            demand.tokenRate ? present : static_cast<int>(std::ceil(present * this->settings.initialScale));
        demand.targetLastNeeded = now;
    }
    int needed = std::max(minUpstreams, demand.tokenRate ? 0 : demand.targetCount);
    if (demand.tokenRate) {
        const double utilization =
            hasReclaimable ? this->settings.reclaimableUtilization : this->settings.onDemandUtilization;
        needed = std::max(
            needed, static_cast<int>(std::ceil(*demand.tokenRate / (this->settings.tokensPerSecond * utilization))));
    }
    const int maxUpstreams = zones * std::max(std::max(1, limits.min), limits.max);
    needed = std::min(needed, maxUpstreams);
    const bool isGrowing = needed > demand.targetCount;
    const int growthReserve = isGrowing ? static_cast<int>(needed * (this->settings.growthFactor - 1.0)) : 0;
    // Upstreams within the growth factor still count as needed, so that the fleet does not alternate between shrinking
    // and growing.
    if (needed * this->settings.growthFactor >= demand.targetCount)
        demand.targetLastNeeded = now;
    if (isGrowing || now - demand.targetLastNeeded >= this->settings.shrinkDelay) {
        demand.targetCount = std::min(maxUpstreams, needed + growthReserve);
        demand.targetLastNeeded = now;
    }
    return demand.targetCount;
}

int FleetPlanner::fallbackUpstreams(Demand &demand, int totalMinOnDemand, bool isScarce) const
{
    int serving = totalMinOnDemand;
    for (const auto &[name, zone] : demand.zones)
        serving += zone.supply.reclaimable;
    const double requiredForLoad =
        demand.tokenRate.value_or(0.0) / (this->settings.tokensPerSecond * this->settings.fallbackUtilization);
    const double missing = std::max(0.0, requiredForLoad - serving);
    // On-demand replacements stay until reclaimable upstreams serve instead.
    if (missing > demand.fallbackCount && isScarce)
        demand.fallbackCount = static_cast<int>(std::ceil(missing * this->settings.growthFactor));
    else if (missing * this->settings.growthFactor * this->settings.growthFactor < demand.fallbackCount)
        demand.fallbackCount = static_cast<int>(std::ceil(missing));
    return demand.fallbackCount;
}

void FleetPlanner::updateScarcity(const ScalingLimits &limits, Demand &demand, int share, TimePoint now) const
{
    for (const auto &[name, price] : limits.zonePrices) {
        Zone &zone = demand.zones[name];
        zone.recentShares.emplace_back(now, share);
        while (now - zone.recentShares.front().first > limits.bootTime + this->settings.bootMargin) {
            zone.recentShares.pop_front();
            zone.coversBootTime = true;
        }
        if (this->isBelowShare(zone, share)) {
            zone.isScarce = true;
            zone.scarceUntil = now + this->settings.scarcityTime;
        } else if (now >= zone.scarceUntil) {
            zone.isScarce = false;
        }
    }
}

bool FleetPlanner::isBelowShare(const Zone &zone, int share) const
{
    const ZoneSupply &supply = zone.supply;
    // While on-demand upstreams replace reclaimable ones, fewer reclaimable ones are ordered than the zone's share.
    if (supply.reclaimable * 2 >= share
        || (zone.orderedReclaimable > 0 && supply.reclaimable >= zone.orderedReclaimable))
        return false;
    if (supply.leaving > supply.reclaimable)
        return true;
    const auto smallestShare = std::min_element(zone.recentShares.begin(),
                                                zone.recentShares.end(),
                                                [](const auto &a, const auto &b) { return a.second < b.second; });
    return zone.coversBootTime && supply.reclaimable * 2 < smallestShare->second;
}

} // namespace hemlock
