#include "placer.h"
#include "memorystore.h"

#include <catch2/catch.hpp>

using namespace hemlock;
using nlohmann::json;

namespace {

/// Cloud API and upstreams in memory; the list of VMs does not show started VMs.
class PlacerFixture
{
protected:
    PlacerFixture()
    {
        this->rule.service = "advisor";
        this->rule.minimum = 2;
    }

    PlacerIo io()
    {
        PlacerIo io;
        io.cloud = [this](const std::string &method,
                          const std::string &path,
                          const json &body,
                          const std::function<void(const CloudAnswer &)> &done) {
            done(this->answer(method, path, body));
        };
        io.readLoad = [](const std::string &, const std::function<void(std::optional<double>)> &done) { done(1.0); };
        io.random = [] { return 0.5; };
        io.now = [this] { return this->now; };
        io.log = [](LogLevel, std::string_view, const json &) {};
        return io;
    }

    CloudAnswer answer(const std::string &method, const std::string &path, const json &body)
    {
        if (path == "/cloud/v1/prices")
            return {200, {{"prices", this->prices}}, {}};
        if (method == "GET")
            return {200, {{"vms", this->listed}}, {}};
        if (method == "DELETE")
            return {200, json::object(), {}};
        if (this->refusesStarts)
            return {409, json::object(), {}};
        json vm = body;
        vm["id"] = "vm-" + std::to_string(this->started.size() + 1);
        vm["address"] = "127.0.0.1:1";
        vm["state"] = "live";
        this->started.push_back(vm);
        return {201, vm, {}};
    }

    void run(Placer &placer, std::chrono::seconds time)
    {
        for (int i = 0; i < time.count(); ++i) {
            this->now += std::chrono::seconds(1);
            placer.tick(true, {this->rule}, {});
            this->store.runAll();
        }
    }

    MemoryStore store;
    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    PlacementRule rule;
    json prices = json::array({{{"zone", "a"}, {"class", "gpu"}, {"reclaimable", true}, {"pricePerHour", 1.0}},
                               {{"zone", "b"}, {"class", "gpu"}, {"reclaimable", true}, {"pricePerHour", 1.1}},
                               {{"zone", "c"}, {"class", "gpu"}, {"reclaimable", false}, {"pricePerHour", 3.0}}});
    json listed = json::array();
    std::vector<json> started;
    bool refusesStarts = false;
};

} // namespace

// Guards against two placers that both start VMs for the same demand.
TEST_CASE_METHOD(PlacerFixture, "Placer: two nodes try: one holds the role and plans")
{
    Placer first(this->store.access(), "node-1", this->io());
    Placer second(this->store.access(), "node-2", this->io());
    for (int i = 0; i < 30; ++i) {
        this->run(first, std::chrono::seconds(1));
        this->run(second, std::chrono::seconds(1));
    }
    CHECK(first.isHeld());
    CHECK_FALSE(second.isHeld());
    CHECK_FALSE(this->started.empty());
}

// Guards against starting VMs repeatedly while the lagging list does not show them.
TEST_CASE_METHOD(PlacerFixture, "Placer: list lags behind the starts: no VM is started twice")
{
    Placer placer(this->store.access(), "node-1", this->io());
    this->run(placer, std::chrono::seconds(12));
    const std::size_t afterFirstRounds = this->started.size();
    REQUIRE(afterFirstRounds > 0);
    this->run(placer, std::chrono::seconds(60));
    CHECK(this->started.size() == afterFirstRounds);
}

// Guards against a placer that was paused until its lease expired and continues to send orders beside its successor.
TEST_CASE_METHOD(PlacerFixture, "Placer: holder's lease expired during a pause: sends no more orders")
{
    Placer paused(this->store.access(), "node-1", this->io());
    this->run(paused, std::chrono::seconds(4));
    REQUIRE(paused.isHeld());
    REQUIRE(this->started.empty());
    this->store.entries.erase("roles/placer/holder");
    Placer successor(this->store.access(), "node-2", this->io());
    this->run(successor, std::chrono::seconds(4));
    REQUIRE(successor.isHeld());

    this->now += std::chrono::seconds(30);
    paused.tick(true, {this->rule}, {});
    this->store.runAll();

    CHECK(this->started.empty());
    CHECK_FALSE(paused.isHeld());
}

// Guards against a successor that repeats the orders of the previous holder.
TEST_CASE_METHOD(PlacerFixture, "Placer: successor takes over after starts: counts them from the records")
{
    {
        Placer first(this->store.access(), "node-1", this->io());
        this->run(first, std::chrono::seconds(14));
        first.release();
        this->store.runAll();
    }
    const std::size_t startedByFirst = this->started.size();
    REQUIRE(startedByFirst > 0);
    Placer successor(this->store.access(), "node-2", this->io());
    this->run(successor, std::chrono::seconds(30));
    REQUIRE(successor.isHeld());
    CHECK(this->started.size() == startedByFirst);
}

// Guards against a claim that took effect but whose response was lost: it would block the role until the lease expires.
TEST_CASE_METHOD(PlacerFixture, "LeaderRole: response to the claim is lost: the claim is found by its identifier")
{
    this->store.lostResponses = 1;
    LeaderRole role(this->store.access(), {"roles/test", "node-1", std::chrono::seconds(15)});
    role.tick(this->now, 0.5);
    this->store.runAll();
    CHECK(role.isHeld());
    CHECK(role.fencingToken() == 1);
}

// Guards against reusing the fencing token of an earlier holder.
TEST_CASE_METHOD(PlacerFixture, "LeaderRole: holder after holder: the fencing token grows")
{
    for (std::int64_t expected = 1; expected <= 3; ++expected) {
        LeaderRole role(this->store.access(), {"roles/test", "node", std::chrono::seconds(15)});
        role.tick(this->now, 0.5);
        this->store.runAll();
        CHECK(role.fencingToken() == expected);
        role.release();
        this->store.runAll();
    }
}
