#include "relay/fleetplanner.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class FleetPlannerFixture
{
protected:
    FleetPlannerFixture()
    {
        this->service.name = "model";
        ScalingLimits limits;
        limits.min = 1;
        limits.max = 6;
        limits.reclaimablePrice = 0.15;
        limits.zonePrices = {{"zone-a", 1.0}, {"zone-b", 0.8}, {"zone-c", 1.25}, {"zone-d", 0.9}};
        this->service.scaling = limits;
    }

    /// Simulates a demand of @p tokensPerSecond for @p time. The platform fulfils orders at once, except for
    /// reclaimable upstreams in the exhausted zones.
    void simulateLoad(double tokensPerSecond, std::chrono::milliseconds time)
    {
        for (auto end = this->now + time; this->now < end; this->now += std::chrono::milliseconds(500)) {
            this->totalTokens += tokensPerSecond / 2;
            this->planner.recordDemand("model", this->totalTokens, this->now);
            this->planner.recordSupply("model", this->supply, this->now);
            for (const UpstreamOrder &order : this->planner.plan(this->service, this->now)) {
                ZoneSupply &zone = this->supply[order.zone];
                if (!order.isReclaimable)
                    zone.onDemand = order.count;
                else if (!this->exhaustedZones.contains(order.zone))
                    zone.reclaimable = order.count;
                zone.leaving = 0;
            }
        }
    }

    /// Simulates that the platform reclaims all reclaimable upstreams of a zone and has no others there.
    void reclaim(const std::string &zone)
    {
        this->exhaustedZones.insert(zone);
        this->supply[zone].leaving = this->supply[zone].reclaimable;
        this->supply[zone].reclaimable = 0;
        this->planner.recordSupply("model", this->supply, this->now);
    }

    int servingCount()
    {
        int sum = 0;
        for (const auto &[name, zone] : this->supply)
            sum += zone.onDemand + zone.reclaimable;
        return sum;
    }

    int orderedCount(const std::string &zone, bool reclaimable)
    {
        for (const UpstreamOrder &order : this->planner.plan(this->service, this->now)) {
            if (order.zone == zone && order.isReclaimable == reclaimable)
                return order.count;
        }
        return -1;
    }

    FleetPlanner planner;
    FleetPlanner::Supply supply{
        {"zone-a", {3, 0, 0}}, {"zone-b", {2, 0, 0}}, {"zone-c", {2, 0, 0}}, {"zone-d", {2, 0, 0}}};
    std::set<std::string> exhaustedZones;
    RelayService service;
    double totalTokens = 0.0;
    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
};

} // namespace

TEST_CASE_METHOD(FleetPlannerFixture,
                 "FleetPlanner: no demand measured yet: each zone gets reclaimable upstreams and the on-demand minimum")
{
    this->planner.recordSupply("model", this->supply, this->now);
    this->now += std::chrono::seconds(3);
    for (const char *zone : {"zone-a", "zone-b", "zone-c", "zone-d"}) {
        CHECK(this->orderedCount(zone, false) == 1);
        CHECK(this->orderedCount(zone, true) > 0);
    }
}

// The demand rises tenfold at once, as when a broadcast floods the service within seconds.
TEST_CASE_METHOD(FleetPlannerFixture,
                 "FleetPlanner: demand rises: reclaimable upstreams are added in every zone, up to the limit")
{
    this->simulateLoad(40000.0, std::chrono::seconds(30));
    const int lowDemandCount = this->orderedCount("zone-a", true);
    this->simulateLoad(400000.0, std::chrono::seconds(10));
    CHECK(this->orderedCount("zone-a", true) > lowDemandCount);
    CHECK(this->orderedCount("zone-a", true) == 5);
    CHECK(this->orderedCount("zone-d", true) == 5);
    CHECK(this->orderedCount("zone-a", false) == 1);
}

TEST_CASE_METHOD(FleetPlannerFixture, "FleetPlanner: demand falls: the fleet shrinks only after the delay")
{
    this->simulateLoad(400000.0, std::chrono::seconds(20));
    const int highDemandCount = this->orderedCount("zone-a", true);
    this->simulateLoad(10000.0, std::chrono::seconds(10));
    CHECK(this->orderedCount("zone-a", true) == highDemandCount);
    this->simulateLoad(10000.0, std::chrono::seconds(40));
    CHECK(this->orderedCount("zone-a", true) < highDemandCount);
}

TEST_CASE_METHOD(FleetPlannerFixture,
                 "FleetPlanner: service without reclaimable upstreams: on-demand orders follow the demand")
{
    this->service.scaling->reclaimablePrice.reset();
    this->simulateLoad(200000.0, std::chrono::seconds(20));
    CHECK(this->orderedCount("zone-a", true) == -1);
    CHECK(this->orderedCount("zone-a", false) > 1);
    CHECK(this->orderedCount("zone-a", false) <= 6);
}

TEST_CASE_METHOD(FleetPlannerFixture, "FleetPlanner: entry VM restarts and the total shrinks: the rate is kept")
{
    this->simulateLoad(400000.0, std::chrono::seconds(20));
    this->totalTokens /= 2;
    this->planner.recordDemand("model", this->totalTokens, this->now);
    CHECK(this->orderedCount("zone-a", true) == 5);
}

TEST_CASE_METHOD(FleetPlannerFixture, "FleetPlanner: service that does not scale: nothing is ordered")
{
    this->service.scaling.reset();
    CHECK(this->planner.plan(this->service, this->now).empty());
}

// Guards against too little capacity when the platform reclaims a whole zone under a steady load.
TEST_CASE_METHOD(FleetPlannerFixture,
                 "FleetPlanner: reclaimable upstreams of a zone are reclaimed: the other zones get its share at once")
{
    this->service.scaling->max = 70;
    this->simulateLoad(600000.0, std::chrono::seconds(20));
    this->reclaim("zone-a");
    CHECK(this->orderedCount("zone-b", true) == this->orderedCount("zone-c", true));
    CHECK(this->orderedCount("zone-a", false) == 1);
    CHECK(this->orderedCount("zone-a", true) > 0);
    this->simulateLoad(600000.0, std::chrono::seconds(3));
    CHECK(this->servingCount() * 50000.0 * FleetPlannerSettings().reclaimableUtilization >= 600000.0);
}

TEST_CASE_METHOD(
    FleetPlannerFixture,
    "FleetPlanner: the other zones are at their limit: on-demand upstreams are used until the zone recovers")
{
    this->service.scaling->max = 20;
    this->simulateLoad(2200000.0, std::chrono::seconds(20));
    this->reclaim("zone-a");
    CHECK(this->orderedCount("zone-a", false) > 1);
    for (const char *zone : {"zone-a", "zone-b", "zone-c", "zone-d"})
        CHECK(this->orderedCount(zone, false) + this->orderedCount(zone, true) <= 20);
    this->exhaustedZones.clear();
    this->simulateLoad(2200000.0, std::chrono::seconds(8));
    CHECK(this->orderedCount("zone-a", false) == 1);
}

TEST_CASE_METHOD(FleetPlannerFixture,
                 "FleetPlanner: no zone has reclaimable upstreams: on-demand upstreams carry the load")
{
    this->service.scaling->max = 70;
    this->simulateLoad(600000.0, std::chrono::seconds(20));
    for (const char *zone : {"zone-a", "zone-b", "zone-c", "zone-d"})
        this->reclaim(zone);
    this->simulateLoad(600000.0, std::chrono::seconds(3));
    CHECK(this->servingCount() * 50000.0 * FleetPlannerSettings().fallbackUtilization >= 600000.0);
}

TEST_CASE_METHOD(FleetPlannerFixture, "FleetPlanner: order refused: the zone counts as scarce until upstreams serve")
{
    this->service.scaling->max = 70;
    this->simulateLoad(600000.0, std::chrono::seconds(20));
    const int before = this->orderedCount("zone-b", true);
    this->supply["zone-a"].reclaimable = 0;
    this->planner.recordSupply("model", this->supply, this->now);
    this->planner.recordRefusal("model", "zone-a", this->now);
    CHECK(this->orderedCount("zone-b", true) > before);
}

TEST_CASE_METHOD(FleetPlannerFixture,
                 "FleetPlanner: ordered upstreams do not start: the zone is scarce after the boot time")
{
    this->service.scaling->max = 70;
    this->service.scaling->bootTime = std::chrono::seconds(4);
    this->simulateLoad(600000.0, std::chrono::seconds(20));
    this->exhaustedZones.insert("zone-a");
    this->simulateLoad(2000000.0, std::chrono::seconds(4));
    CHECK(this->orderedCount("zone-b", true) == this->orderedCount("zone-a", true));
    this->simulateLoad(2000000.0, std::chrono::seconds(5));
    CHECK(this->orderedCount("zone-b", true) > this->orderedCount("zone-a", true));
}

TEST_CASE_METHOD(FleetPlannerFixture, "FleetPlanner: a successor takes over: the existing fleet is kept")
{
    this->service.scaling->max = 70;
    this->simulateLoad(600000.0, std::chrono::seconds(20));
    const int before = this->orderedCount("zone-b", true);
    this->planner = FleetPlanner();
    this->totalTokens = 0.0;
    this->simulateLoad(600000.0, std::chrono::seconds(4));
    CHECK(this->orderedCount("zone-b", true) >= before);
}

TEST_CASE_METHOD(
    FleetPlannerFixture,
    "FleetPlanner: no zone has reclaimable upstreams, low load: no additional on-demand upstreams are ordered")
{
    this->service.scaling->max = 70;
    this->simulateLoad(40000.0, std::chrono::seconds(20));
    for (const char *zone : {"zone-a", "zone-b", "zone-c", "zone-d"})
        this->reclaim(zone);
    CHECK(this->orderedCount("zone-a", false) == 1);
}

// Guards against ordering upstreams one by one when the demand on a large fleet rises slowly.
TEST_CASE_METHOD(FleetPlannerFixture, "FleetPlanner: demand rises slowly: a large fleet grows in few steps")
{
    this->service.scaling->max = 70;
    this->simulateLoad(600000.0, std::chrono::seconds(30));
    std::set<int> sizes;
    for (int i = 0; i < 20; ++i) {
        this->simulateLoad(600000.0 + i * 10000.0, std::chrono::seconds(1));
        sizes.insert(this->orderedCount("zone-a", true));
    }
    CHECK(sizes.size() <= 5);
}

TEST_CASE_METHOD(FleetPlannerFixture,
                 "FleetPlanner: upstreams register one after the other: nothing is ordered before all have")
{
    this->supply = {{"zone-a", {1, 0, 0}}};
    this->planner.recordSupply("model", this->supply, this->now);
    CHECK(this->planner.plan(this->service, this->now).empty());
    this->service.scaling->max = 70;
    for (const char *zone : {"zone-a", "zone-b", "zone-c", "zone-d"})
        this->supply[zone] = {35, 0, 0};
    this->now += std::chrono::seconds(3);
    this->planner.recordSupply("model", this->supply, this->now);
    CHECK(this->orderedCount("zone-b", true) + 1 >= 35);
}

// Guards against taking zones for scarce while the demand rises for longer than an upstream takes to boot.
TEST_CASE_METHOD(FleetPlannerFixture, "FleetPlanner: fleet grows while ordered upstreams boot: no zone is scarce")
{
    this->service.scaling->max = 70;
    this->service.scaling->bootTime = std::chrono::seconds(4);
    this->simulateLoad(100000.0, std::chrono::seconds(20));
    // No upstream starts in this test, as if every ordered one were still booting.
    const FleetPlanner::Supply present = this->supply;
    for (int i = 1; i <= 10; ++i) {
        this->simulateLoad(100000.0 * (1 + i), std::chrono::milliseconds(500));
        this->supply = present;
    }
    CHECK(this->orderedCount("zone-a", false) == 1);
    CHECK(this->orderedCount("zone-a", true) == this->orderedCount("zone-b", true));
}

TEST_CASE_METHOD(FleetPlannerFixture,
                 "FleetPlanner: repeated refusals while some reclaimable upstreams serve: orders do not oscillate")
{
    this->service.scaling->max = 70;
    this->simulateLoad(3000000.0, std::chrono::seconds(20));
    std::set<int> onDemand;
    for (int i = 0; i < 20; ++i) {
        this->planner.recordRefusal("model", "zone-a", this->now);
        this->simulateLoad(3000000.0, std::chrono::milliseconds(1500));
        onDemand.insert(this->orderedCount("zone-a", false));
    }
    CHECK(onDemand.size() == 1);
}
