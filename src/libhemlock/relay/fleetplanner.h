#pragma once

#include "relay/relayconfig.h"
#include "relay/relaytransport.h"
#include "upstream.h"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hemlock {

/// Demand of one service, over all entry VMs.
struct ServiceDemand
{
    double requestsInProgress = 0.0;
    double pendingTokens = 0.0; ///< Prompt tokens without a first token yet.
};

struct FleetPlannerSettings
{
    /// Reclaimable upstreams in each availability zone; a zone's worth can vanish at once, the others carry its load.
    int reclaimablePerZone = 1;
};

/// Decides how many upstreams of which kind each availability zone should have.
class FleetPlanner
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit FleetPlanner(FleetPlannerSettings settings = {});

    std::set<UpstreamOrder> plan(const RelayService &service,
                                 const std::vector<Upstream> &upstreams,
                                 const ServiceDemand &demand,
                                 TimePoint now);

private:
    FleetPlannerSettings settings;
};

} // namespace hemlock
