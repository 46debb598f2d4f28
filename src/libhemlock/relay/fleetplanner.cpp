#include "relay/fleetplanner.h"

#include <algorithm>

namespace hemlock {

FleetPlanner::FleetPlanner(FleetPlannerSettings settings)
    : settings(settings)
{
}

std::set<UpstreamOrder>
FleetPlanner::plan(const RelayService &service, const std::vector<Upstream> &, const ServiceDemand &, TimePoint)
{
    std::set<UpstreamOrder> orders;
    if (!service.scaling)
        return orders;
    for (const auto &[zone, price] : service.scaling->zonePrices) {
        orders.insert({service.name, zone, 1, false});
        orders.insert({service.name, zone, 3, true});
    }
    return orders;
}

} // namespace hemlock
