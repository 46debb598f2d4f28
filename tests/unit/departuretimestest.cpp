#include "relay/departuretimes.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

using Ids = std::set<std::string>;

class DepartureTimesFixture
{
protected:
    DepartureTimesFixture()
    {
        this->apply(UpstreamState::Serving);
        this->pool.attemptStarted("a");
    }

    void apply(UpstreamState state)
    {
        Upstream upstream;
        upstream.id = "a";
        upstream.service = "service";
        upstream.state = state;
        this->pool.apply({upstream}, this->now);
    }

    Ids overdueAfter(std::chrono::milliseconds time)
    {
        this->now += time;
        return this->departures.overdue(this->pool, this->now);
    }

    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    UpstreamPool pool;
    DepartureTimes departures{std::chrono::milliseconds(1000)};
};

} // namespace

TEST_CASE_METHOD(DepartureTimesFixture, "DepartureTimes: upstream leaves or is gone: is overdue after the limit")
{
    CHECK(this->overdueAfter(std::chrono::milliseconds(5000)).empty());
    if (GENERATE(true, false))
        this->apply(UpstreamState::Leaving);
    else
        this->pool.apply({}, this->now);
    CHECK(this->overdueAfter(std::chrono::milliseconds(0)).empty());
    CHECK(this->overdueAfter(std::chrono::milliseconds(999)).empty());
    CHECK(this->overdueAfter(std::chrono::milliseconds(1)) == Ids{"a"});
    this->pool.attemptEnded("a");
    CHECK(this->overdueAfter(std::chrono::milliseconds(1)).empty());
}

TEST_CASE_METHOD(DepartureTimesFixture, "DepartureTimes: upstream serves again: the time of its next departure is new")
{
    this->apply(UpstreamState::Leaving);
    CHECK(this->overdueAfter(std::chrono::milliseconds(0)).empty());
    this->apply(UpstreamState::Serving);
    CHECK(this->overdueAfter(std::chrono::milliseconds(2000)).empty());
    this->apply(UpstreamState::Leaving);
    CHECK(this->overdueAfter(std::chrono::milliseconds(0)).empty());
    CHECK(this->overdueAfter(std::chrono::milliseconds(1000)) == Ids{"a"});
}
