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

    /// Lets prompts of so many tokens a second be computed for a time.
    void work(double tokensPerSecond, std::chrono::seconds time)
    {
        for (auto end = this->now + time; this->now < end; this->now += std::chrono::milliseconds(500)) {
            this->total += tokensPerSecond / 2;
            this->planner.noteWork("model", this->total, this->now);
            this->planner.plan(this->service, this->now);
        }
    }

    int ordered(const std::string &zone, bool reclaimable)
    {
        for (const UpstreamOrder &order : this->planner.plan(this->service, this->now)) {
            if (order.zone == zone && order.isReclaimable == reclaimable)
                return order.count;
        }
        return -1;
    }

    FleetPlanner planner;
    RelayService service;
    double total = 0.0;
    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
};

} // namespace

TEST_CASE_METHOD(FleetPlannerFixture,
                 "FleetPlanner: nothing measured yet: each zone has reclaimable upstreams beside the least on demand")
{
    for (const char *zone : {"zone-a", "zone-b", "zone-c", "zone-d"}) {
        CHECK(this->ordered(zone, false) == 1);
        CHECK(this->ordered(zone, true) > 0);
    }
}

// The load is a broadcast that floods the service within seconds.
TEST_CASE_METHOD(FleetPlannerFixture,
                 "FleetPlanner: demand rises: reclaimable upstreams are added in every zone, up to the limit")
{
    this->work(40000.0, std::chrono::seconds(30));
    const int calm = this->ordered("zone-a", true);
    this->work(400000.0, std::chrono::seconds(10));
    CHECK(this->ordered("zone-a", true) > calm);
    CHECK(this->ordered("zone-a", true) == 5);
    CHECK(this->ordered("zone-d", true) == 5);
    CHECK(this->ordered("zone-a", false) == 1);
}

TEST_CASE_METHOD(FleetPlannerFixture, "FleetPlanner: demand falls: the fleet shrinks only after the delay")
{
    this->work(400000.0, std::chrono::seconds(20));
    const int busy = this->ordered("zone-a", true);
    this->work(10000.0, std::chrono::seconds(10));
    CHECK(this->ordered("zone-a", true) == busy);
    this->work(10000.0, std::chrono::seconds(40));
    CHECK(this->ordered("zone-a", true) < busy);
}

TEST_CASE_METHOD(FleetPlannerFixture,
                 "FleetPlanner: no reclaimable upstreams to be had: orders follow the demand on demand")
{
    this->service.scaling->reclaimablePrice.reset();
    this->work(200000.0, std::chrono::seconds(20));
    CHECK(this->ordered("zone-a", true) == -1);
    CHECK(this->ordered("zone-a", false) > 1);
    CHECK(this->ordered("zone-a", false) <= 6);
}

TEST_CASE_METHOD(FleetPlannerFixture, "FleetPlanner: entry VM restarts and the total shrinks: the rate is kept")
{
    this->work(400000.0, std::chrono::seconds(20));
    this->total /= 2;
    this->planner.noteWork("model", this->total, this->now);
    CHECK(this->ordered("zone-a", true) == 5);
}

TEST_CASE_METHOD(FleetPlannerFixture, "FleetPlanner: service that does not scale: nothing is ordered")
{
    this->service.scaling.reset();
    CHECK(this->planner.plan(this->service, this->now).empty());
}
