#include "placement.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlock {

namespace {

bool isSameKind(const VmOffer &a, const VmOffer &b)
{
    return a.zone.name == b.zone.name && a.vmClass == b.vmClass && a.reclaimable == b.reclaimable;
}

std::string percent(double fraction)
{
    return std::to_string(std::lround(fraction * 100.0)) + " %";
}

std::string describe(const VmOffer &offer)
{
    return (offer.reclaimable ? "reclaimable " : "on-demand ") + offer.vmClass + " in " + offer.zone.name;
}

/// Total capacity, capacity by zone and capacity of on-demand VMs.
struct Capacity
{
    std::map<std::string, double> byZone;
    double total = 0.0;
    double onDemand = 0.0;

    void add(const VmOffer &offer, int sign = 1)
    {
        this->byZone[offer.zone.name] += sign * offer.capacity;
        this->total += sign * offer.capacity;
        if (!offer.reclaimable)
            this->onDemand += sign * offer.capacity;
    }

    std::string largestZone() const
    {
        const auto largest = std::max_element(
            this->byZone.begin(), this->byZone.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        return largest == this->byZone.end() ? std::string() : largest->first;
    }

    double afterZoneLoss() const
    {
        const auto largest = this->byZone.find(this->largestZone());
        return largest == this->byZone.end() ? 0.0 : this->total - largest->second;
    }
};

} // namespace

std::string_view orderKindName(OrderKind kind)
{
    switch (kind) {
    case OrderKind::Start:
        return "start";
    case OrderKind::Warm:
        return "warm";
    case OrderKind::Activate:
        return "activate";
    case OrderKind::Stop:
        return "stop";
    }
    return "stop";
}

/// Computes the orders of one call of plan().
class Placement::Planner
{
public:
    Planner(Placement &placement, const PlacementInput &input, TimePoint now)
        : placement(placement)
        , settings(placement.settings)
        , input(input)
        , now(now)
    {
        for (const VmOffer &offer : input.offers) {
            if (!this->isBackingOff(offer))
                this->offers.push_back(offer);
            this->zones[offer.zone.name] = true;
        }
        for (const PlacedVm &vm : input.vms) {
            const bool isSpare = vm.role == VmRole::Warm || (vm.role == VmRole::Starting && vm.isSpare);
            if (vm.role == VmRole::Leaving)
                continue;
            if (vm.role == VmRole::Starting)
                ++this->loadingVms;
            if (isSpare)
                ++this->spareCount;
            else
                this->capacity.add(vm.offer);
            if (vm.role == VmRole::Warm)
                this->warmVms.push_back(&vm);
        }
        this->maxLoadingVms = 1 << 20;
        if (input.weightStoreBytesPerSecond > 0.0 && input.modelBytes > 0.0) {
            const double loads = input.weightStoreBytesPerSecond
                * static_cast<double>(this->settings.weightLoadTime.count()) / input.modelBytes;
            this->maxLoadingVms = std::max(1, static_cast<int>(loads));
        }
    }

    std::vector<PlacementOrder> run()
    {
        this->coverDemand();
        const bool covered = this->shortage(this->capacity, 1.0).empty();
        while (covered && this->spareCount < this->settings.warmSpares) {
            const VmOffer *offer = this->cheapest(this->capacity.largestZone(), false);
            if (offer == nullptr || this->loadingVms >= this->maxLoadingVms)
                break;
            this->start(OrderKind::Warm, *offer, "fewer than " + std::to_string(this->settings.warmSpares) + " spares");
            ++this->spareCount;
        }
        if (this->orders.empty() && this->loadingVms == 0)
            this->replaceOrStop();
        else
            this->placement.surplusSince.reset();
        return std::move(this->orders);
    }

private:
    bool isBackingOff(const VmOffer &offer) const
    {
        return std::any_of(this->input.refusals.begin(), this->input.refusals.end(), [&](const RefusedStart &refusal) {
            constexpr int maxDoublings = 10;
            const auto backoff = std::min(this->settings.refusalBackoff
                                              * (1 << std::clamp(refusal.consecutiveRefusals - 1, 0, maxDoublings)),
                                          this->settings.maxRefusalBackoff);
            return refusal.zone.name == offer.zone.name && refusal.vmClass == offer.vmClass
                && refusal.reclaimable == offer.reclaimable && this->now < refusal.at + backoff;
        });
    }

    /// Describes why a capacity does not cover the demand times @p factor; empty if it does.
    std::string shortage(const Capacity &available, double factor) const
    {
        const double demand = this->input.demand * factor;
        if (available.total < demand * this->settings.headroom)
            return "capacity covers " + percent(available.total / demand) + " of the demand";
        // With offers in one zone only, no plan can survive its loss.
        if (this->zones.size() > 1 && available.afterZoneLoss() < demand * this->settings.zoneLossCoverage)
            return "the loss of zone " + available.largestZone() + " leaves "
                + percent(available.afterZoneLoss() / demand) + " of the demand";
        if (available.onDemand < demand * this->settings.onDemandShare)
            return percent(available.onDemand / demand) + " of the demand is on VMs that cannot be reclaimed";
        return {};
    }

    const VmOffer *cheapest(const std::string &withoutZone, bool onDemandOnly) const
    {
        const VmOffer *best = nullptr;
        double bestPrice = 0.0;
        for (const VmOffer &offer : this->offers) {
            if (offer.zone.name == withoutZone || (onDemandOnly && offer.reclaimable) || offer.capacity <= 0.0)
                continue;
            // Raises the price by up to 20 % with the zone's share of the capacity, so that at equal prices the zone
            // with less capacity is chosen and the VMs stay evenly spread.
            const auto zoneCapacity = this->capacity.byZone.find(offer.zone.name);
            const double fraction =
                zoneCapacity == this->capacity.byZone.end() ? 0.0 : zoneCapacity->second / (1.0 + this->capacity.total);
            const double price = this->placement.effectivePrice(offer) * (1.0 + 0.2 * fraction);
            if (best == nullptr || price < bestPrice) {
                best = &offer;
                bestPrice = price;
            }
        }
        return best;
    }

    void coverDemand()
    {
        for (std::string shortfall = this->shortage(this->capacity, 1.0); !shortfall.empty();
             shortfall = this->shortage(this->capacity, 1.0)) {
            const bool lacksCapacity = this->capacity.total < this->input.demand * this->settings.headroom;
            const bool lacksSpread = this->zones.size() > 1
                && this->capacity.afterZoneLoss() < this->input.demand * this->settings.zoneLossCoverage;
            // On-demand VMs are started first, because they also count towards the total and the spread.
            const bool lacksOnDemand = this->capacity.onDemand < this->input.demand * this->settings.onDemandShare;
            const std::string zoneToAvoid = lacksSpread ? this->capacity.largestZone() : std::string();
            if ((lacksCapacity || lacksSpread)
                && this->activate(lacksCapacity ? std::string() : zoneToAvoid, shortfall))
                continue;
            const VmOffer *offer = this->cheapest(zoneToAvoid, lacksOnDemand);
            if (offer == nullptr && lacksOnDemand && (lacksCapacity || lacksSpread))
                offer = this->cheapest(zoneToAvoid, false);
            if (offer == nullptr && lacksCapacity)
                offer = this->cheapest({}, false);
            if (offer == nullptr || this->loadingVms >= this->maxLoadingVms)
                return;
            this->start(OrderKind::Start, *offer, shortfall);
            this->capacity.add(*offer);
        }
    }

    bool activate(const std::string &avoidedZone, const std::string &reason)
    {
        const auto found = std::find_if(this->warmVms.begin(), this->warmVms.end(), [&](const PlacedVm *vm) {
            return vm->offer.zone.name != avoidedZone;
        });
        if (found == this->warmVms.end())
            return false;
        PlacementOrder order;
        order.kind = OrderKind::Activate;
        order.vm = (*found)->id;
        order.reason = reason + "; a spare is warm in " + (*found)->offer.zone.name;
        this->capacity.add((*found)->offer);
        this->warmVms.erase(found);
        --this->spareCount;
        this->issue(std::move(order));
        return true;
    }

    void start(OrderKind kind, const VmOffer &offer, const std::string &shortfall)
    {
        PlacementOrder order;
        order.kind = kind;
        order.offer = offer;
        order.reason = shortfall + "; cheapest is " + describe(offer);
        ++this->loadingVms;
        this->issue(std::move(order));
    }

    void replaceOrStop()
    {
        const PlacedVm *surplus = this->mostExpensiveSurplus();
        if (surplus != nullptr) {
            if (!this->placement.surplusSince)
                this->placement.surplusSince = this->now;
            // A surplus within the margin comes from a replacement and not from lower demand.
            Capacity rest = this->capacity;
            rest.add(surplus->offer, -1);
            const bool isBeyondMargin = this->shortage(rest, 1.0 + this->settings.stopMargin).empty();
            const auto wait = isBeyondMargin ? this->settings.surplusStopDelay : this->settings.replacedStopDelay;
            if (this->now - *this->placement.surplusSince < wait)
                return;
            PlacementOrder order;
            order.kind = OrderKind::Stop;
            order.vm = surplus->id;
            order.reason =
                "the other VMs cover the demand and the loss of a zone; most expensive is " + describe(surplus->offer);
            this->issue(std::move(order));
            return;
        }
        this->placement.surplusSince.reset();
        this->replace();
    }

    const PlacedVm *mostExpensiveSurplus() const
    {
        const PlacedVm *mostExpensive = nullptr;
        for (const PlacedVm &vm : this->input.vms) {
            if (vm.role == VmRole::Warm && this->spareCount > this->settings.warmSpares)
                return &vm;
            if (vm.role != VmRole::Serving)
                continue;
            Capacity rest = this->capacity;
            rest.add(vm.offer, -1);
            // The margin prevents stops after a small dip of the demand. It does not apply to a VM whose cheaper
            // replacement is serving.
            const double margin = this->isReplaced(vm) ? 0.0 : this->settings.stopMargin;
            if (this->shortage(rest, 1.0 + margin).empty()
                && (mostExpensive == nullptr || this->price(*mostExpensive) < this->price(vm)))
                mostExpensive = &vm;
        }
        return mostExpensive;
    }

    /// Whether another serving VM is so much cheaper that it would have been started as a replacement of @p vm.
    bool isReplaced(const PlacedVm &vm) const
    {
        return std::any_of(this->input.vms.begin(), this->input.vms.end(), [&](const PlacedVm &other) {
            return other.role == VmRole::Serving
                && this->price(other) < this->price(vm) * (1.0 - this->settings.minReplacementSaving);
        });
    }

    /// Starts a cheaper VM in addition to an expensive one, which is later stopped as surplus.
    void replace()
    {
        for (const PlacedVm &vm : this->input.vms) {
            if (vm.role != VmRole::Serving)
                continue;
            Capacity rest = this->capacity;
            rest.add(vm.offer, -1);
            for (const VmOffer &offer : this->offers) {
                const double saving = 1.0 - this->placement.effectivePrice(offer) / this->price(vm);
                if (saving < this->settings.minReplacementSaving || isSameKind(offer, vm.offer))
                    continue;
                Capacity replaced = rest;
                replaced.add(offer);
                if (!this->shortage(replaced, 1.0).empty())
                    continue;
                this->start(OrderKind::Start, offer, "saves " + percent(saving) + " against " + describe(vm.offer));
                return;
            }
        }
    }

    double price(const PlacedVm &vm) const
    {
        return this->placement.effectivePrice(vm.offer);
    }

    void issue(PlacementOrder order)
    {
        order.service = this->input.service;
        order.fencingToken = this->placement.fencingToken;
        order.sequence = ++this->placement.sequence;
        this->orders.push_back(std::move(order));
    }

    Placement &placement;
    const PlacementSettings &settings;
    const PlacementInput &input;
    TimePoint now;
    std::vector<VmOffer> offers; ///< Offers that are not in backoff after a refusal.
    std::map<std::string, bool> zones;
    Capacity capacity;
    std::vector<const PlacedVm *> warmVms;
    int spareCount = 0;
    int loadingVms = 0;
    int maxLoadingVms = 0;
    std::vector<PlacementOrder> orders;
};

Placement::Placement(std::int64_t fencingToken, PlacementSettings settings)
    : fencingToken(fencingToken)
    , settings(settings)
{
}

std::vector<PlacementOrder> Placement::plan(const PlacementInput &input, TimePoint now)
{
    return Planner(*this, input, now).run();
}

double Placement::effectivePrice(const VmOffer &offer) const
{
    const double reclaims = offer.reclaimable ? offer.reclaimsPerHour : 0.0;
    return offer.pricePerHour * (1.0 + reclaims * this->settings.reclaimCostHours) / std::max(offer.capacity, 1e-9);
}

} // namespace hemlock
