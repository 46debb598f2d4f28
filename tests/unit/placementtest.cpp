#include "placement.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace hemlock;
using namespace std::chrono_literals;

namespace {

class PlacementFixture
{
protected:
    PlacementFixture()
    {
        this->input.service = "model";
        this->input.demand = 9.0;
        for (const char *zone : {"a", "b", "c", "d"}) {
            this->input.offers.push_back({{zone}, "gpu", true, 1.0, 1.0, 0.1});
            this->input.offers.push_back({{zone}, "gpu", false, 3.0, 1.0, 0.0});
        }
    }

    /// Plans and applies the orders for @p rounds minutes of simulated time; VMs finish loading between rounds.
    std::vector<PlacementOrder> runUntilStable(int rounds = 30)
    {
        std::vector<PlacementOrder> all;
        for (int round = 0; round < rounds; ++round) {
            for (const PlacementOrder &order : this->placement.plan(this->input, this->now)) {
                this->applyOrder(order);
                all.push_back(order);
            }
            for (PlacedVm &vm : this->input.vms) {
                if (vm.role == VmRole::Starting)
                    vm.role = vm.isSpare ? VmRole::Warm : VmRole::Serving;
            }
            this->now += 60s;
        }
        return all;
    }

    void applyOrder(const PlacementOrder &order)
    {
        auto &vms = this->input.vms;
        const auto vm = std::find_if(vms.begin(), vms.end(), [&](const PlacedVm &vm) { return vm.id == order.vm; });
        switch (order.kind) {
        case OrderKind::Start:
        case OrderKind::Warm:
            vms.push_back({"vm-" + std::to_string(++this->started),
                           order.offer,
                           VmRole::Starting,
                           order.kind == OrderKind::Warm});
            break;
        case OrderKind::Activate:
            vm->role = VmRole::Serving;
            break;
        case OrderKind::Stop:
            vms.erase(vm);
            break;
        }
    }

    double capacity(const std::string &withoutZone = {}) const
    {
        double sum = 0.0;
        for (const PlacedVm &vm : this->input.vms)
            sum += vm.role == VmRole::Serving && vm.offer.zone.name != withoutZone ? vm.offer.capacity : 0.0;
        return sum;
    }

    void loseZone(const std::string &zone)
    {
        std::erase_if(this->input.vms, [&](const PlacedVm &vm) { return vm.offer.zone.name == zone; });
    }

    PlacementInput input;
    Placement placement{17};
    Placement::TimePoint now{1h};
    int started = 0;
};

} // namespace

// Guards against a plan whose capacity falls below the demand when a zone is lost.
TEST_CASE_METHOD(PlacementFixture, "Placement: demand over three zones: the loss of any zone leaves the demand covered")
{
    std::erase_if(this->input.offers, [](const VmOffer &offer) { return offer.zone.name == "d"; });
    this->runUntilStable();
    for (const char *zone : {"a", "b", "c"})
        CHECK(this->capacity(zone) >= 9.0);
    CHECK(this->capacity() <= 15.0);
}

TEST_CASE_METHOD(PlacementFixture, "Placement: cheap reclaimable VMs: uses them except for the on-demand share")
{
    this->runUntilStable();
    const auto onDemand = std::count_if(
        this->input.vms.begin(), this->input.vms.end(), [](const PlacedVm &vm) { return !vm.offer.reclaimable; });
    CHECK(onDemand == 2);
}

// Guards against retrying starts that the cloud refuses instead of using other offers.
TEST_CASE_METHOD(PlacementFixture, "Placement: reclaimable starts refused: starts on-demand VMs")
{
    for (const VmOffer &offer : this->input.offers) {
        if (offer.reclaimable)
            this->input.refusals.push_back({offer.zone, offer.vmClass, true, this->now});
    }
    const auto orders = this->placement.plan(this->input, this->now);
    REQUIRE_FALSE(orders.empty());
    CHECK(std::none_of(
        orders.begin(), orders.end(), [](const PlacementOrder &order) { return order.offer.reclaimable; }));
}

// Guards against replacements in the zone that has just been lost while its starts are refused.
TEST_CASE_METHOD(PlacementFixture, "Placement: zone lost and its starts refused: others cover the demand")
{
    this->runUntilStable();
    std::set<std::string> zonesWithoutSpare{"a", "b", "c", "d"};
    for (const PlacedVm &vm : this->input.vms) {
        if (vm.role == VmRole::Warm)
            zonesWithoutSpare.erase(vm.offer.zone.name);
    }
    // The lost zone has no spare, so the spare survives and must be activated first.
    const std::string lost = *zonesWithoutSpare.begin();
    this->loseZone(lost);
    for (const bool reclaimable : {true, false})
        this->input.refusals.push_back({{lost}, "gpu", reclaimable, this->now + 24h});
    const auto orders = this->runUntilStable();
    REQUIRE_FALSE(orders.empty());
    CHECK(orders.front().kind == OrderKind::Activate);
    for (const char *zone : {"a", "b", "c", "d"})
        CHECK(this->capacity(zone) >= 9.0);
}

// Guards against VMs being stopped and started with each small change of the demand.
TEST_CASE_METHOD(PlacementFixture, "Placement: demand that varies by a sixth: no order after the first")
{
    this->runUntilStable();
    for (int i = 0; i < 100; ++i) {
        this->input.demand = i % 2 == 0 ? 7.5 : 9.0;
        CHECK(this->placement.plan(this->input, this->now += 60s).empty());
    }
}

TEST_CASE_METHOD(PlacementFixture, "Placement: demand halves for long: stops VMs one at a time after the surplus time")
{
    this->runUntilStable();
    this->input.demand = 4.5;
    CHECK(this->placement.plan(this->input, this->now).empty());
    CHECK(this->placement.plan(this->input, this->now + 599s).empty());
    const auto orders = this->placement.plan(this->input, this->now + 600s);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].kind == OrderKind::Stop);
    CHECK_FALSE(orders[0].reason.empty());
}

// Guards against more concurrent loads than the weight store can deliver in time.
TEST_CASE_METHOD(PlacementFixture, "Placement: slow weight store: orders as many starts as it can load")
{
    this->input.modelBytes = 40e9;
    this->input.weightStoreBytesPerSecond = 1e9;
    CHECK(this->placement.plan(this->input, this->now).size() == 3);
}

// Guards against orders of a previous placer being taken for current ones.
TEST_CASE_METHOD(PlacementFixture, "Placement: orders: carry the fencing token and growing sequence numbers")
{
    std::int64_t last = 0;
    for (const PlacementOrder &order : this->runUntilStable()) {
        CHECK(order.fencingToken == 17);
        CHECK(order.sequence > last);
        CHECK_FALSE(order.reason.empty());
        last = order.sequence;
    }
}

TEST_CASE_METHOD(PlacementFixture, "Placement: zone with frequent reclaims: costs more than its price")
{
    const VmOffer rarelyReclaimed{{"a"}, "gpu", true, 1.0, 1.0, 0.0};
    const VmOffer oftenReclaimed{{"a"}, "gpu", true, 1.0, 1.0, 5.0};
    CHECK(this->placement.effectivePrice(oftenReclaimed) > this->placement.effectivePrice(rarelyReclaimed));
}

// Guards against paying on-demand prices permanently after one hour of refused starts.
TEST_CASE_METHOD(PlacementFixture, "Placement: refusals end: expensive VMs are replaced by cheap ones")
{
    for (const VmOffer &offer : this->input.offers) {
        if (offer.reclaimable)
            this->input.refusals.push_back({offer.zone, offer.vmClass, true, this->now + 24h});
    }
    this->runUntilStable();
    this->input.refusals.clear();
    this->runUntilStable(400);
    double price = 0.0;
    for (const PlacedVm &vm : this->input.vms)
        price += vm.offer.pricePerHour;
    CHECK(price < 22.0);
    CHECK(this->capacity() <= 14.0);
}
