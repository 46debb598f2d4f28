#include "relay/retrycapacity.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class RetryCapacityFixture
{
protected:
    RetryCapacity::TimePoint now{std::chrono::hours(1)};
    RetryCapacity capacity{{.total = 48.0, .expectedVms = 6}};
};

} // namespace

TEST_CASE_METHOD(RetryCapacityFixture, "RetryCapacity: VMs are known: each gets an equal share")
{
    this->capacity.perVm(4, this->now);
    this->now += std::chrono::seconds(5);
    CHECK(this->capacity.perVm(4, this->now) == Approx(8.0));
    CHECK(this->capacity.perVm(6, this->now) == Approx(8.0));
    CHECK(this->capacity.perVm(12, this->now) == Approx(4.0));
}

// Guards against the share of a small fleet in a large one that has just started.
TEST_CASE_METHOD(RetryCapacityFixture, "RetryCapacity: process has just started: keeps to the least share")
{
    CHECK(this->capacity.perVm(2, this->now) == Approx(1.0));
    CHECK(this->capacity.perVm(6, this->now + std::chrono::seconds(1)) == Approx(1.0));
    CHECK(this->capacity.perVm(6, this->now + std::chrono::seconds(5)) == Approx(8.0));
}

TEST_CASE_METHOD(RetryCapacityFixture, "RetryCapacity: records were never read: keeps to the least share")
{
    this->now += std::chrono::minutes(5);
    CHECK(this->capacity.perVm(std::nullopt, this->now) == Approx(1.0));
}

// Guards against the share of a small fleet while a large one comes back to a store that was away.
TEST_CASE_METHOD(RetryCapacityFixture, "RetryCapacity: records are read long after the start: keeps to the least share")
{
    this->capacity.perVm(std::nullopt, this->now);
    this->now += std::chrono::seconds(20);
    CHECK(this->capacity.perVm(3, this->now) == Approx(1.0));
    this->now += std::chrono::seconds(1);
    CHECK(this->capacity.perVm(24, this->now) == Approx(1.0));
    this->now += std::chrono::seconds(5);
    CHECK(this->capacity.perVm(24, this->now) == Approx(2.0));
}

// Guards against VMs that take over the share of others which only stand still.
TEST_CASE_METHOD(RetryCapacityFixture, "RetryCapacity: VMs vanish: their share is taken over after a while only")
{
    this->capacity.perVm(24, this->now);
    this->now += std::chrono::seconds(5);
    CHECK(this->capacity.perVm(24, this->now) == Approx(2.0));
    for (int second = 0; second < 50; ++second) {
        this->now += std::chrono::seconds(1);
        CHECK(this->capacity.perVm(second % 2 == 0 ? 12 : 8, this->now) == Approx(2.0));
    }
    this->now += std::chrono::seconds(15);
    CHECK(this->capacity.perVm(8, this->now) == Approx(4.0));
    this->now += std::chrono::seconds(90);
    CHECK(this->capacity.perVm(8, this->now) == Approx(6.0));
}
