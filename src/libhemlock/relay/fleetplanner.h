#pragma once

#include "relay/relayconfig.h"
#include "relay/relaytransport.h"

#include <chrono>
#include <deque>
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
    double reclaimableUtilization = 0.2;
    /// The same where upstreams cost their full price.
    double onDemandUtilization = 0.35;
    /// Upstreams on demand fill in for reclaimable ones that are not to be had when the others are used more than this:
    /// beyond it first tokens are late.
    double fallbackUtilization = 0.6;
    /// Upstreams before any demand was measured, as a multiple of those that are there: all caches are empty then.
    double initialScale = 1.5;
    int minReclaimablePerZone = 2; ///< Reclaimable upstreams in each availability zone, however low the demand.
    /// A fleet that is too small grows by this factor beyond its need, so that a rising demand does not order upstreams
    /// one by one: each change of a large fleet wakes all entry VMs.
    double growthFactor = 1.1;
    std::chrono::seconds averagingTime{5}; ///< Over which the demand is averaged.
    std::chrono::seconds shrinkDelay{15}; ///< The fleet shrinks when the demand has been low for so long.
    /// Ordered upstreams that are not there so long after their boot time are not to be had.
    std::chrono::milliseconds bootMargin{2000};
    /// A zone that had no reclaimable upstreams to offer is not relied on for so long: new ones have to boot first.
    std::chrono::milliseconds scarcityTime{6000};
    /// Upstreams register one after the other when the system starts; the first orders wait for all of them.
    std::chrono::milliseconds initialDelay{3000};
};

/// Upstreams of one service that an availability zone has.
struct ZoneSupply
{
    int onDemand = 0; ///< Serving.
    int reclaimable = 0; ///< Serving.
    int leaving = 0; ///< Reclaimable ones that announced their end.
};

/// Decides how many upstreams of which kind each availability zone should have.
///
/// One zone's reclaimable upstreams can all vanish at once, so that they are spread evenly over the zones, beside the
/// least number on demand. While a zone has none to offer, the other zones take over its part, and upstreams on demand
/// what they have no room for. The fleet grows at once and shrinks late, since new upstreams start with empty caches.
class FleetPlanner
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Supply = std::map<std::string, ZoneSupply>; ///< By availability zone.

    explicit FleetPlanner(FleetPlannerSettings settings = {});

    /// Notes the prompt tokens that requests for a service needed computed, refused requests included, as a running
    /// total over all entry VMs. Without the refused ones a fleet that is too small would never grow.
    void recordDemand(const std::string &service, double totalTokens, TimePoint now);

    void recordSupply(const std::string &service, const Supply &supply, TimePoint now);

    /// The platform had no reclaimable upstreams to offer there.
    void recordRefusal(const std::string &service, const std::string &zone, TimePoint now);

    std::set<UpstreamOrder> plan(const RelayService &service, TimePoint now);

private:
    struct Zone
    {
        ZoneSupply supply;
        std::deque<std::pair<TimePoint, int>>
            recentShares; ///< Reclaimable upstreams that were its part, over the boot time.
        bool coversBootTime = false; ///< The shares reach back over the boot time.
        int orderedReclaimable = 0; ///< Reclaimable upstreams, as last ordered.
        bool isScarce = false;
        TimePoint scarceUntil;
    };

    struct Demand
    {
        double lastTotalTokens = 0.0;
        std::optional<double> tokenRate; ///< Tokens a second; none before it was measured for a while.
        TimePoint updated;
        int targetCount = 0; ///< Upstreams of all zones, as in force.
        TimePoint targetLastNeeded; ///< When the number in force was last called for.
        int fallbackCount = 0; ///< Upstreams on demand, as last ordered beyond the least number.
        TimePoint firstSupplyAt; ///< First.
        std::map<std::string, Zone> zones;
    };

    int targetUpstreams(const RelayService &service, Demand &demand, TimePoint now) const;
    void updateScarcity(const ScalingLimits &limits, Demand &demand, int share, TimePoint now) const;
    bool isBelowShare(const Zone &zone, int share) const;
    /// Upstreams on demand in place of reclaimable ones that are not to be had.
    int fallbackUpstreams(Demand &demand, int totalMinOnDemand, bool isScarce) const;

    FleetPlannerSettings settings;
    std::map<std::string, Demand> demands;
};

} // namespace hemlock
