#include "cloudvms.h"

#include "standintokenbucket.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hemlock;
using namespace std::chrono_literals;

namespace {

class CloudVmsFixture
{
protected:
    CloudVmsFixture()
    {
        this->vms.setPrice("a", "small", true, 0.5);
        this->vms.setPrice("a", "small", false, 1.5);
        this->vms.addLive(this->vm("r1", "a", true));
        this->vms.addLive(this->vm("d1", "a", false));
        this->vms.addLive(this->vm("r2", "b", true));
    }

    static CloudVm vm(const std::string &id, const std::string &zone, bool reclaimable)
    {
        return {id, zone, "small", reclaimable, "model", "127.0.0.1:1", 0.0, false};
    }

    /// Returns the identifiers in the list, with "!" after those with a reclaim notice.
    std::vector<std::string> listedIds(CloudVms::Time time) const
    {
        std::vector<std::string> ids;
        for (const CloudVm &vm : this->vms.list(time))
            ids.push_back(vm.id + (vm.isLeaving ? "!" : ""));
        return ids;
    }

    CloudVms vms{2000ms};
    CloudVms::Time now{1h};
};

using Ids = std::vector<std::string>;

} // namespace

// Guards against a list without the delay of real platforms: tests against it would miss faults from stale lists.
TEST_CASE_METHOD(CloudVmsFixture, "CloudVms: terminated VM: stays in the list for the lag")
{
    CHECK(this->vms.terminate("r1", this->now));
    CHECK(this->listedIds(this->now + 1999ms) == Ids{"d1", "r1", "r2"});
    CHECK(this->listedIds(this->now + 2000ms) == Ids{"d1", "r2"});
    CHECK_FALSE(this->vms.terminate("r1", this->now));
}

TEST_CASE_METHOD(CloudVmsFixture, "CloudVms: started VM: appears after the lag, with its price")
{
    const auto started = this->vms.start(this->vm("", "a", false), this->now);
    REQUIRE(started);
    CHECK(started->pricePerHour == 1.5);
    CHECK(this->listedIds(this->now).size() == 3);
    CHECK(this->listedIds(this->now + 2s) == Ids{"d1", "r1", "r2", started->id});
}

// Guards against a reclaim of a zone that misses reclaimable VMs or includes on-demand VMs without being asked to.
TEST_CASE_METHOD(CloudVmsFixture, "CloudVms: reclaim of a zone: takes its reclaimable VMs once")
{
    CHECK(this->vms.reclaimZone("a", false, 5s, this->now) == Ids{"r1"});
    CHECK(this->vms.reclaimZone("a", false, 5s, this->now).empty());
    CHECK(this->vms.reclaimZone("a", true, 5s, this->now) == Ids{"d1"});
    CHECK(this->listedIds(this->now + 3s) == Ids{"d1!", "r1!", "r2"});
}

// Guards against notices that a reader which polls from its last sequence number receives twice or never.
TEST_CASE_METHOD(CloudVmsFixture, "CloudVms: notices after a sequence number: are the later ones with their deadlines")
{
    this->vms.reclaim("r1", 5s, this->now);
    this->vms.reclaim("r2", 7s, this->now);
    CHECK(this->vms.noticesAfter(0).size() == 2);
    const auto later = this->vms.noticesAfter(1);
    REQUIRE(later.size() == 1);
    CHECK(later.front().vm == "r2");
    CHECK(later.front().deadline == this->now + 7s);
}

TEST_CASE_METHOD(CloudVmsFixture, "CloudVms: deadline of a notice: terminates the VM once and not before")
{
    this->vms.reclaim("r1", 5s, this->now);
    CHECK(this->vms.terminateOverdue(this->now + 4999ms).empty());
    CHECK(this->vms.terminateOverdue(this->now + 5s).size() == 1);
    CHECK(this->vms.terminateOverdue(this->now + 6s).empty());
}

// Guards against starts that succeed without capacity: a rejected start simulates a zone without capacity.
TEST_CASE_METHOD(CloudVmsFixture, "CloudVms: start without an address: takes that of a spare VM or is rejected")
{
    CloudVm wanted = this->vm("", "b", true);
    wanted.address.clear();
    CHECK_FALSE(this->vms.start(wanted, this->now));
    CloudVm spare = this->vm("", "b", true);
    spare.address = "127.0.0.1:9";
    this->vms.addSpare(spare);
    const auto started = this->vms.start(wanted, this->now);
    REQUIRE(started);
    CHECK(started->address == "127.0.0.1:9");
    CHECK_FALSE(this->vms.start(wanted, this->now));
}

// Guards against a rate limit that allows repeated bursts, or that does not refill after an idle period.
TEST_CASE("StandinTokenBucket: burst beyond the rate: is rejected until the bucket refills")
{
    StandinTokenBucket bucket(10.0);
    StandinTokenBucket::Time now{1h};
    int taken = 0;
    for (int call = 0; call < 15; ++call)
        taken += bucket.tryTake(now) ? 1 : 0;
    CHECK(taken == 10);
    CHECK(bucket.tryTake(now + 100ms));
    CHECK_FALSE(bucket.tryTake(now + 100ms));
    CHECK(bucket.reserve(10.0, now + 1100ms).count() == Approx(0.0).margin(1e-6));
    CHECK(bucket.reserve(5.0, now + 1100ms).count() == Approx(0.5));
}
