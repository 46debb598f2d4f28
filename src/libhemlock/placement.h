#pragma once

#include "upstream.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// A kind of VM that the cloud sells in one zone.
struct VmOffer
{
    AvailabilityZone zone;
    std::string vmClass;
    bool reclaimable = true;
    double pricePerHour = 0.0;
    double capacity = 1.0; ///< In the unit of the demand, such as tokens a second.
    double reclaimsPerHour = 0.0; ///< Chance that one such VM is reclaimed within an hour.
};

enum class VmRole {
    Starting, ///< Ordered, not yet serving; loads its weights.
    Serving,
    Warm, ///< Spare: weights are loaded, takes no requests.
    Leaving, ///< Noticed or stopped; counts for nothing.
};

struct PlacedVm
{
    std::string id;
    VmOffer offer;
    VmRole role = VmRole::Starting;
    bool isSpare = false; ///< Of a starting VM: it becomes a warm spare.
};

/// A start that the cloud refused.
struct RefusedStart
{
    AvailabilityZone zone;
    std::string vmClass;
    bool reclaimable = true;
    std::chrono::steady_clock::time_point at;
    int consecutiveRefusals = 1;
};

struct PlacementInput
{
    std::string service;
    double demand = 0.0; ///< Capacity that meets the latency target now.
    std::vector<VmOffer> offers;
    std::vector<PlacedVm> vms;
    std::vector<RefusedStart> refusals;
    double modelBytes = 0.0;
    double weightStoreBytesPerSecond = 0.0; ///< 0 for no limit.
};

struct PlacementSettings
{
    double headroom = 1.1; ///< Capacity over demand while all zones are up.
    double zoneLossCoverage = 1.0; ///< Part of the demand that the other zones carry when any one is lost.
    double onDemandShare = 0.15; ///< Part of the demand on VMs that cannot be reclaimed.
    int warmSpares = 1;
    double stopMargin = 0.15; ///< A VM stops only when the rest covers the demand with this much more.
    std::chrono::seconds surplusStopDelay{600}; ///< And only when that has held for so long.
    std::chrono::seconds replacedStopDelay{60}; ///< The same for a VM whose cheaper replacement serves.
    std::chrono::seconds refusalBackoff{60}; ///< Doubles with each refusal in succession.
    std::chrono::seconds maxRefusalBackoff{960};
    std::chrono::seconds weightLoadTime{
        120}; ///< Weights that start loading together are to be loaded within this time.
    double reclaimCostHours = 0.1; ///< Hours of a VM's price that one reclaim costs in recomputed and lost work.
    double minReplacementSaving = 0.3; ///< A dearer VM is replaced only for this relative saving.
};

enum class OrderKind {
    Start, ///< Start a VM and let it serve.
    Warm, ///< Start a VM as a warm spare.
    Activate, ///< Let a warm spare serve.
    Stop,
};

std::string_view orderKindName(OrderKind kind);

/// An order to the cloud or a VM. Upstreams that check refuse orders with a lower fencing token than the last.
struct PlacementOrder
{
    OrderKind kind = OrderKind::Start;
    std::string service;
    std::string vm; ///< Of Activate and Stop.
    VmOffer offer; ///< Of Start and Warm.
    std::int64_t fencingToken = 0; ///< Grows with each holder of the placer role.
    std::int64_t sequence = 0; ///< Grows with each order of one holder.
    std::string reason;
};

/// Decides which VMs a service gets. One object for each holder of the placer role and service.
///
/// Capacity is added until the demand is covered with headroom, until the loss of any one zone leaves zoneLossCover of
/// it, and until onDemandShare of it cannot be reclaimed; the cheapest offer by price and expected cost of reclaims
/// wins, never one in the zone whose loss is what must be covered. A loss of the placer only lengthens surplusTime.
class Placement
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    Placement(std::int64_t fencingToken, PlacementSettings settings = {});

    std::vector<PlacementOrder> plan(const PlacementInput &input, TimePoint now);

    /// Price of an offer with the expected cost of its reclaims, for each unit of capacity and hour.
    double effectivePrice(const VmOffer &offer) const;

private:
    class Planner;

    std::int64_t fencingToken;
    PlacementSettings settings;
    std::int64_t sequence = 0;
    std::optional<TimePoint> surplusSince;
};

} // namespace hemlock
