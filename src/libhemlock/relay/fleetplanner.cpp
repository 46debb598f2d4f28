#include "relay/fleetplanner.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

FleetPlanner::FleetPlanner(FleetPlannerSettings settings)
    : settings(settings)
{
}

void FleetPlanner::noteWork(const std::string &service, double totalTokens, TimePoint now)
{
    Demand &demand = this->demands[service];
    const double added = totalTokens - demand.total;
    const double seconds = std::chrono::duration<double>(now - demand.updated).count();
    demand.total = totalTokens;
    demand.updated = now;
    // The first total, and one that shrank because a VM restarted, say nothing about the rate.
    if (demand.began == TimePoint()) {
        demand.began = now;
        return;
    }
    if (added < 0.0 || seconds <= 0.0 || (!demand.rate && added == 0.0))
        return;
    const double weight = 1.0 - std::exp(-seconds / std::chrono::duration<double>(this->settings.averaging).count());
    const double before = demand.rate.value_or(added / seconds);
    demand.rate = before + (added / seconds - before) * weight;
}

std::set<UpstreamOrder> FleetPlanner::plan(const RelayService &service, TimePoint now)
{
    std::set<UpstreamOrder> orders;
    if (!service.scaling)
        return orders;
    const ScalingLimits &limits = *service.scaling;
    const int wanted = this->perZone(service, this->demands[service.name], now);
    const int least = std::max(1, limits.min);
    for (const auto &[zone, price] : limits.zonePrices) {
        if (!limits.reclaimablePrice) {
            orders.insert({service.name, zone, std::clamp(wanted, least, std::max(least, limits.max)), false});
            continue;
        }
        orders.insert({service.name, zone, least, false});
        orders.insert({service.name, zone, std::clamp(wanted - least, 0, std::max(0, limits.max - least)), true});
    }
    return orders;
}

int FleetPlanner::perZone(const RelayService &service, Demand &demand, TimePoint now) const
{
    const ScalingLimits &limits = *service.scaling;
    const int least = std::max(1, limits.min);
    const bool isCheap = limits.reclaimablePrice.has_value();
    int needed = least + (isCheap ? this->settings.firstPerZone : 1);
    if (demand.rate) {
        const double use = isCheap ? this->settings.reclaimableUse : this->settings.onDemandUse;
        const double upstreams = *demand.rate / (this->settings.tokensPerSecond * use);
        const auto zones = static_cast<double>(std::max<std::size_t>(1, limits.zonePrices.size()));
        needed = std::max(static_cast<int>(std::ceil(upstreams / zones)),
                          least + (isCheap ? this->settings.leastPerZone : 0));
    }
    needed = std::min(needed, std::max(least, limits.max));
    if (needed >= demand.perZone || now - demand.lastNeeded >= this->settings.shrinkDelay) {
        demand.perZone = needed;
        demand.lastNeeded = now;
    }
    return demand.perZone;
}

} // namespace hemlock
