#include "relay/medianclock.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

/// Six entry VMs, including this one; the peers' clocks differ from the true time by a few milliseconds.
class MedianClockFixture
{
protected:
    MedianClock::WallTime trueTime() const
    {
        return MedianClock::WallTime(std::chrono::seconds(1'700'000'000) + this->now.time_since_epoch());
    }

    void receivePeerTimes(std::chrono::milliseconds firstTwoPeersStep = std::chrono::milliseconds(0))
    {
        for (int i = 0; i < 5; ++i) {
            const auto step = i < 2 ? firstTwoPeersStep : std::chrono::milliseconds(0);
            this->clock.addPeerTime(
                "vm-" + std::to_string(i), this->trueTime() + std::chrono::milliseconds(i) + step, this->now);
        }
    }

    std::chrono::milliseconds clockError(MedianClock::WallTime ownTime)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.timeOfDay(ownTime, this->now)
                                                                     - this->trueTime());
    }

    MedianClock clock;
    MedianClock::TimePoint now{std::chrono::hours(1)};
};

} // namespace

TEST_CASE_METHOD(MedianClockFixture, "MedianClock: own clock steps by seconds: the time of day stays correct")
{
    this->receivePeerTimes();
    for (const auto step : {std::chrono::milliseconds(3000), std::chrono::milliseconds(-3000)}) {
        CHECK(this->clockError(this->trueTime() + step) >= std::chrono::milliseconds(0));
        CHECK(this->clockError(this->trueTime() + step) <= std::chrono::milliseconds(5));
    }
}

TEST_CASE_METHOD(MedianClockFixture, "MedianClock: clocks of two of five peers step: the time of day stays correct")
{
    this->receivePeerTimes(std::chrono::milliseconds(3000));
    CHECK(this->clockError(this->trueTime()) <= std::chrono::milliseconds(5));
    this->receivePeerTimes(std::chrono::milliseconds(-3000));
    CHECK(this->clockError(this->trueTime()) >= std::chrono::milliseconds(0));
    CHECK(this->clockError(this->trueTime()) <= std::chrono::milliseconds(5));
}

TEST_CASE_METHOD(
    MedianClockFixture,
    "MedianClock: half of all clocks step, including the own one: the time of day continues from before the step")
{
    for (const auto step : {std::chrono::milliseconds(3000), std::chrono::milliseconds(-3000)}) {
        this->receivePeerTimes();
        CHECK(this->clockError(this->trueTime()) <= std::chrono::milliseconds(5));
        this->receivePeerTimes(step);
        CHECK(this->clockError(this->trueTime() + step) >= std::chrono::milliseconds(0));
        CHECK(this->clockError(this->trueTime() + step) <= std::chrono::milliseconds(5));
    }
}

TEST_CASE_METHOD(MedianClockFixture, "MedianClock: no recent message from any peer: the own clock is used")
{
    this->receivePeerTimes();
    this->now += std::chrono::seconds(10);
    CHECK(this->clockError(this->trueTime() + std::chrono::milliseconds(700)) == std::chrono::milliseconds(700));
}
