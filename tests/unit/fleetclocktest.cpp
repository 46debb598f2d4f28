#include "relay/fleetclock.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

/// Six entry VMs, this one included; the others' clocks differ from the true time by a few milliseconds.
class FleetClockFixture
{
protected:
    FleetClock::WallTime trueTime() const
    {
        return FleetClock::WallTime(std::chrono::seconds(1'700'000'000) + this->now.time_since_epoch());
    }

    void hearPeers(std::chrono::milliseconds stepOfFirstTwo = std::chrono::milliseconds(0))
    {
        for (int i = 0; i < 5; ++i) {
            const auto step = i < 2 ? stepOfFirstTwo : std::chrono::milliseconds(0);
            this->clock.peerTime(
                "vm-" + std::to_string(i), this->trueTime() + std::chrono::milliseconds(i) + step, this->now);
        }
    }

    std::chrono::milliseconds error(FleetClock::WallTime ownTime)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.timeOfDay(ownTime, this->now)
                                                                     - this->trueTime());
    }

    FleetClock clock;
    FleetClock::TimePoint now{std::chrono::hours(1)};
};

} // namespace

TEST_CASE_METHOD(FleetClockFixture, "FleetClock: own clock steps by seconds: the time of day stays true")
{
    this->hearPeers();
    for (const auto step : {std::chrono::milliseconds(3000), std::chrono::milliseconds(-3000)}) {
        CHECK(this->error(this->trueTime() + step) >= std::chrono::milliseconds(0));
        CHECK(this->error(this->trueTime() + step) <= std::chrono::milliseconds(5));
    }
}

TEST_CASE_METHOD(FleetClockFixture, "FleetClock: two of five peers step: the time of day stays true")
{
    this->hearPeers(std::chrono::milliseconds(3000));
    CHECK(this->error(this->trueTime()) <= std::chrono::milliseconds(5));
    this->hearPeers(std::chrono::milliseconds(-3000));
    CHECK(this->error(this->trueTime()) >= std::chrono::milliseconds(0));
    CHECK(this->error(this->trueTime()) <= std::chrono::milliseconds(5));
}

TEST_CASE_METHOD(FleetClockFixture,
                 "FleetClock: half of all clocks step, this one too: the time from before the step goes on")
{
    for (const auto step : {std::chrono::milliseconds(3000), std::chrono::milliseconds(-3000)}) {
        this->hearPeers();
        CHECK(this->error(this->trueTime()) <= std::chrono::milliseconds(5));
        this->hearPeers(step);
        CHECK(this->error(this->trueTime() + step) >= std::chrono::milliseconds(0));
        CHECK(this->error(this->trueTime() + step) <= std::chrono::milliseconds(5));
    }
}

TEST_CASE_METHOD(FleetClockFixture, "FleetClock: no peer was heard of just now: the own clock counts")
{
    this->hearPeers();
    this->now += std::chrono::seconds(10);
    CHECK(this->error(this->trueTime() + std::chrono::milliseconds(700)) == std::chrono::milliseconds(700));
}
