#pragma once

#include "upstream.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// A VM class that the cloud offers in one zone, either reclaimable or on demand.
struct VmOffer
{
    AvailabilityZone zone;
    std::string vmClass;
    bool reclaimable = true;
    double pricePerHour = 0.0;
    double capacity = 1.0; ///< In the unit of the demand, such as tokens per second.
    double reclaimsPerHour = 0.0; ///< Expected reclaims of one such VM per hour.
};

enum class VmRole {
    Starting, ///< Started, but not serving yet; loads the model weights.
    Serving,
    Warm, ///< Warm spare: has loaded the weights and takes no requests.
    Leaving, ///< Got a reclaim notice or is being stopped; not counted as capacity.
};

/// An existing or pending VM of a service.
struct PlacedVm
{
    std::string id;
    VmOffer offer;
    VmRole role = VmRole::Starting;
    bool isSpare = false; ///< Whether a starting VM will become a warm spare.
};

/// The last refusal of VM starts of one zone, class and kind by the cloud.
struct RefusedStart
{
    AvailabilityZone zone;
    std::string vmClass;
    bool reclaimable = true;
    std::chrono::steady_clock::time_point at; ///< When the last start was refused.
    int consecutiveRefusals = 1;
};

/// Demand, offers and VMs of one service at the time of planning.
struct PlacementInput
{
    std::string service;
    double demand = 0.0; ///< Capacity that is needed to meet the latency target now.
    std::vector<VmOffer> offers;
    std::vector<PlacedVm> vms;
    std::vector<RefusedStart> refusals;
    double modelBytes = 0.0; ///< Size of the model weights; 0 for no limit on concurrent loads.
    double weightStoreBytesPerSecond = 0.0; ///< 0 for no limit.
};

/// Targets and time limits of the placement.
struct PlacementSettings
{
    double headroom = 1.1; ///< Ratio of capacity to demand while all zones are up.
    double zoneLossCoverage = 1.0; ///< Fraction of the demand that the other zones must cover if any one zone is lost.
    double onDemandShare = 0.15; ///< Fraction of the demand that on-demand VMs must cover.
    int warmSpares = 1;
    double stopMargin = 0.15; ///< A VM is stopped only if the others cover the demand plus this fraction.
    std::chrono::seconds surplusStopDelay{600}; ///< How long that must hold before the VM is stopped.
    std::chrono::seconds replacedStopDelay{60}; ///< The same for a VM whose cheaper replacement is serving.
    std::chrono::seconds refusalBackoff{60}; ///< Doubles with each consecutive refusal.
    std::chrono::seconds maxRefusalBackoff{960};
    std::chrono::seconds weightLoadTime{120}; ///< Time limit for loading the weights of VMs that start together.
    double reclaimCostHours = 0.1; ///< Cost of one reclaim in recomputed and lost work, as hours of the VM's price.
    double minReplacementSaving = 0.3; ///< A VM is replaced by a cheaper one only for this relative saving.
};

enum class OrderKind {
    Start, ///< Start a VM that serves requests.
    Warm, ///< Start a VM as a warm spare.
    Activate, ///< Make a warm spare serve requests.
    Stop,
};

std::string_view orderKindName(OrderKind kind);

/// An order to the cloud or a VM. Upstreams that check fencing tokens refuse an order with a lower token than the last.
struct PlacementOrder
{
    OrderKind kind = OrderKind::Start;
    std::string service;
    std::string vm; ///< VM to activate or stop; empty for Start and Warm.
    VmOffer offer; ///< Offer to start; unused for Activate and Stop.
    std::int64_t fencingToken = 0; ///< Increases with each holder of the placer role.
    std::int64_t sequence = 0; ///< Increases with each order of one holder for the service.
    std::string reason;
};

/// Decides which VMs to start and stop for one service. There is one object per service and term of the placer role.
///
/// Capacity is added until it covers the demand with headroom, the other zones cover zoneLossCoverage of the demand
/// after the loss of any one zone, and on-demand VMs cover onDemandShare of it. The cheapest offer by price and
/// expected cost of reclaims is chosen, but none in the zone whose loss is to be covered unless the total capacity is
/// too low and no other zone has an offer. A change of the placer only restarts the wait of surplusStopDelay.
class Placement
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    Placement(std::int64_t fencingToken, PlacementSettings settings = {});

    /// Returns the orders to issue at @p now; empty if nothing has to change.
    std::vector<PlacementOrder> plan(const PlacementInput &input, TimePoint now);

    /// Price of an offer including the expected cost of its reclaims, per unit of capacity and hour.
    double effectivePrice(const VmOffer &offer) const;

private:
    class Planner;

    std::int64_t fencingToken;
    PlacementSettings settings;
    std::int64_t sequence = 0;
    std::optional<TimePoint> surplusSince; ///< Since when a VM could be stopped.
};

} // namespace hemlock
