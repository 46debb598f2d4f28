#pragma once

#include "relay/relayconfig.h"
#include "relay/relaytransport.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace hemlock {

struct FleetPlannerSettings
{
    double tokensPerSecond = 50000.0; ///< Prompt tokens that one upstream computes in a second.
    /// Part of an upstream's time that prompts may take. Prompts differ a hundredfold in length, so that waiting behind
    /// one another delays first tokens long before the upstreams are busy.
    double reclaimableUse = 0.2;
    /// The same where upstreams cost their full price.
    double onDemandUse = 0.35;
    /// Reclaimable upstreams in each availability zone before any demand was measured: all caches are empty then.
    int firstPerZone = 3;
    int leastPerZone = 2; ///< Reclaimable upstreams in each availability zone, however low the demand.
    std::chrono::seconds averaging{5}; ///< Over which the demand is averaged.
    std::chrono::seconds shrinkDelay{15}; ///< The fleet shrinks when the demand has been low for so long.
};

/// Decides how many upstreams of which kind each availability zone should have.
///
/// One zone's reclaimable upstreams can all vanish at once, so that they are spread evenly over the zones, beside the
/// least number on demand. It grows at once and shrinks late, since new upstreams start with empty caches.
class FleetPlanner
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit FleetPlanner(FleetPlannerSettings settings = {});

    /// Notes the prompt tokens that upstreams of a service have been sent to compute, as a running total over all entry
    /// VMs.
    void noteWork(const std::string &service, double totalTokens, TimePoint now);

    std::set<UpstreamOrder> plan(const RelayService &service, TimePoint now);

private:
    struct Demand
    {
        double total = 0.0;
        std::optional<double> rate; ///< Tokens a second; none before it was measured for a while.
        TimePoint began;
        TimePoint updated;
        int perZone = 0; ///< In force.
        TimePoint lastNeeded; ///< When the number in force was last called for.
    };

    int perZone(const RelayService &service, Demand &demand, TimePoint now) const;

    FleetPlannerSettings settings;
    std::map<std::string, Demand> demands;
};

} // namespace hemlock
