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
    double tokensPerSecond = 50000.0; ///< Prompt tokens that one upstream computes per second.
    /// Target utilization of an upstream by prompt computation, as a fraction of its time. Prompt lengths differ by a
    /// factor of a hundred, so that queueing delays first tokens long before the upstreams are fully used.
    double reclaimableUtilization = 0.2;
    /// Target utilization of services without reclaimable upstreams, where each upstream costs the full price.
    double onDemandUtilization = 0.35;
    /// On-demand upstreams replace unavailable reclaimable ones when the utilization of the others exceeds this value,
    /// beyond which first tokens are late.
    double fallbackUtilization = 0.6;
    /// Number of upstreams before any demand was measured, as a multiple of those present: all caches are empty then.
    double initialScale = 1.5;
    int minReclaimablePerZone = 2; ///< Reclaimable upstreams in each availability zone, however low the demand.
    /// A fleet that is too small grows to this multiple of the need, so that rising demand does not order upstreams one
    /// by one: each change of a large fleet notifies all entry VMs.
    double growthFactor = 1.1;
    std::chrono::seconds averagingTime{5}; ///< Time constant of the demand's exponential average.
    std::chrono::seconds shrinkDelay{15}; ///< How long the demand must be low before the fleet shrinks.
    /// Upstreams that do not serve this long after their boot time count as unavailable.
    std::chrono::milliseconds bootMargin{2000};
    /// How long a zone without available reclaimable upstreams counts as scarce: new ones have to boot first.
    std::chrono::milliseconds scarcityTime{6000};
    /// Delay of the first orders, in which all upstreams register one after the other when the system starts.
    std::chrono::milliseconds initialDelay{3000};
};

/// Upstreams of one service in one availability zone.
struct ZoneSupply
{
    int onDemand = 0; ///< Serving.
    int reclaimable = 0; ///< Serving.
    int leaving = 0; ///< Reclaimable ones that announced their shutdown.
};

/// Decides how many upstreams of which kind each availability zone should have.
///
/// Reclaimable upstreams of a zone can all be reclaimed at once, so they are spread evenly over the zones, in addition
/// to the minimum number of on-demand upstreams. While a zone is scarce (has none available), the other zones take over
/// its share, and on-demand upstreams take what exceeds the limits of those zones. The fleet grows at once and shrinks
/// after a delay, since new upstreams start with empty caches.
class FleetPlanner
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Supply = std::map<std::string, ZoneSupply>; ///< By availability zone.

    explicit FleetPlanner(FleetPlannerSettings settings = {});

    /// Records the prompt tokens that requests for a service needed to have computed, as a running total over all entry
    /// VMs. Includes refused requests, since a fleet that is too small would never grow otherwise.
    void recordDemand(const std::string &service, double totalTokens, TimePoint now);

    /// Records the upstreams that are present now; zones that are missing in @p supply have none.
    void recordSupply(const std::string &service, const Supply &supply, TimePoint now);

    /// Records that the platform refused an order for reclaimable upstreams in @p zone.
    void recordRefusal(const std::string &service, const std::string &zone, TimePoint now);

    /// Returns the wanted number of upstreams for each zone and kind; empty when the service does not scale or before
    /// the initial delay has passed.
    std::set<UpstreamOrder> plan(const RelayService &service, TimePoint now);

private:
    struct Zone
    {
        ZoneSupply supply;
        /// The zone's share of reclaimable upstreams at each plan() within the boot time and its margin.
        std::deque<std::pair<TimePoint, int>> recentShares;
        bool coversBootTime = false; ///< Whether recentShares spans the boot time and its margin.
        int orderedReclaimable = 0; ///< Reclaimable upstreams, as last ordered.
        bool isScarce = false;
        TimePoint scarceUntil;
    };

    struct Demand
    {
        double lastTotalTokens = 0.0;
        std::optional<double> tokenRate; ///< Tokens per second; unset until demand was seen between two samples.
        TimePoint updated;
        int targetCount = 0; ///< Wanted upstreams of all zones.
        TimePoint targetLastNeeded; ///< When the demand last required targetCount.
        int fallbackCount = 0; ///< On-demand upstreams last ordered above the minimum.
        TimePoint firstSupplyAt; ///< Time of the first recordSupply().
        std::map<std::string, Zone> zones;
    };

    int targetUpstreams(const RelayService &service, Demand &demand, TimePoint now) const;
    void updateScarcity(const ScalingLimits &limits, Demand &demand, int share, TimePoint now) const;
    bool isBelowShare(const Zone &zone, int share) const;
    /// Returns the number of on-demand upstreams that replace unavailable reclaimable ones, over all zones.
    int fallbackUpstreams(Demand &demand, int totalMinOnDemand, bool isScarce) const;

    FleetPlannerSettings settings;
    std::map<std::string, Demand> demands;
};

} // namespace hemlock
