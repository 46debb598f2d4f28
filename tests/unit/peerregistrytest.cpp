#include "relay/peerregistry.h"
#include "memorystore.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

using namespace hemlock;

namespace {

class PeerRegistryFixture
{
protected:
    PeerRegistryFixture()
    {
        for (int i = 2; i <= 10; ++i)
            this->addPeer("vm-" + std::to_string(i), i < 6 ? "zone-a" : "zone-b");
    }

    void addPeer(const std::string &name, const std::string &zone)
    {
        const nlohmann::json record = {{"address", name + ":1"}, {"zone", zone}, {"control", name + ":2"}};
        this->registry.recordChanged("nodes/" + name, record.dump(), this->now);
    }

    static PeerRank rank(double cpuShare, int startedSecond)
    {
        return {cpuShare, std::chrono::system_clock::time_point(std::chrono::seconds(startedSecond))};
    }

    std::string reader(const std::set<std::string> &excluded = {}) const
    {
        const auto reader = this->registry.storeReader(excluded, this->now);
        return reader ? reader->address : std::string();
    }

    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    PeerRegistry registry{{}, "nodes/", "vm-1", "vm-1:1", "zone-a", "vm-1:2", rank(0.12, 100)};
};

} // namespace

TEST_CASE_METHOD(PeerRegistryFixture, "PeerRegistry: no neighbour was heard: this VM reads the store itself")
{
    CHECK(this->reader().empty());
}

TEST_CASE_METHOD(PeerRegistryFixture, "PeerRegistry: a neighbour runs longer: it reads the store")
{
    this->registry.datagramReceived("vm-2", rank(0.12, 101), this->now);
    CHECK(this->reader().empty());
    this->registry.datagramReceived("vm-3", rank(0.12, 99), this->now);
    CHECK(this->reader() == "vm-3:2");
    this->registry.datagramReceived("vm-4", rank(0.12, 98), this->now);
    CHECK(this->reader() == "vm-4:2");
    CHECK(this->reader({"vm-4"}) == "vm-3:2");
}

TEST_CASE_METHOD(PeerRegistryFixture, "PeerRegistry: a neighbour is stronger: it reads the store")
{
    this->registry.datagramReceived("vm-3", rank(0.12, 99), this->now);
    this->registry.datagramReceived("vm-2", rank(0.5, 200), this->now);
    CHECK(this->reader() == "vm-2:2");
}

TEST_CASE_METHOD(PeerRegistryFixture, "PeerRegistry: a VM of another availability zone runs longer: is not chosen")
{
    this->registry.datagramReceived("vm-7", rank(0.12, 1), this->now);
    CHECK(this->reader().empty());
}

TEST_CASE_METHOD(PeerRegistryFixture, "PeerRegistry: the reader falls silent: the next one is chosen within a second")
{
    this->registry.datagramReceived("vm-3", rank(0.12, 98), this->now);
    this->now += std::chrono::milliseconds(900);
    this->registry.datagramReceived("vm-4", rank(0.12, 99), this->now);
    CHECK(this->reader() == "vm-4:2");
}

TEST_CASE("PeerRegistry: small fleet: every VM reads the store itself")
{
    const std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    PeerRegistry registry{{}, "nodes/", "vm-1", "vm-1:1", "zone-a", "vm-1:2", {}};
    const nlohmann::json record = {{"address", "vm-2:1"}, {"zone", "zone-a"}, {"control", "vm-2:2"}};
    registry.recordChanged("nodes/vm-2", record.dump(), now);
    registry.datagramReceived("vm-2", {0.5, {}}, now);
    CHECK_FALSE(registry.isLargeFleet(now));
    CHECK_FALSE(registry.storeReader({}, now));
}

// Guards against VMs that new ones do not know of after a restore, until their lease would have been renewed.
TEST_CASE("PeerRegistry: restored store lost the record of this VM: it is written again at once")
{
    MemoryStore store;
    PeerRegistry registry(store.access(), "nodes/", "vm-1", "vm-1:1", "zone-a", "vm-1:2", {});
    const std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    const auto copy = store.copy();
    registry.tick(now, 0.5);
    store.runAll();
    REQUIRE(store.entries.count("nodes/vm-1") == 1);
    store.restore(copy);
    registry.storeRestored();
    registry.tick(now, 0.5);
    store.runAll();
    CHECK(store.entries.count("nodes/vm-1") == 1);
}

// Guards against a record under the lease of another VM, as the store gives the identifiers of lost leases out again.
TEST_CASE("PeerRegistry: store is restored while this VM registers: it registers under a new lease")
{
    MemoryStore store;
    PeerRegistry registry(store.access(), "nodes/", "vm-1", "vm-1:1", "zone-a", "vm-1:2", {});
    const std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    const auto copy = store.copy();
    registry.tick(now, 0.5);
    REQUIRE(store.runNext());
    store.restore(copy);
    registry.storeRestored();
    store.runAll();
    const std::int64_t lost = store.entries.at("nodes/vm-1").lease;
    registry.tick(now, 0.5);
    store.runAll();
    CHECK(store.entries.at("nodes/vm-1").lease != lost);
}
