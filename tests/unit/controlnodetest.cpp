#include "controlfleet.h"

#include <catch2/catch.hpp>

using namespace hemlock;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

class ControlNodeFixture
{
protected:
    void runUntilConverged()
    {
        REQUIRE(this->fleet.runUntil(
            [this] {
                for (const auto &[id, vm] : this->fleet.vms) {
                    if (vm.node && vm.applied.peers.size() + 1 != this->runningNodes())
                        return false;
                }
                return this->fleet.isConfigActive(1) && this->fleet.isServing("worker-0-0");
            },
            60s));
    }

    std::size_t runningNodes() const
    {
        std::size_t count = 0;
        for (const auto &[id, vm] : this->fleet.vms)
            count += vm.node ? 1 : 0;
        return count;
    }

    bool commitAndAwait(const std::string &service)
    {
        const json section = {{"team", "models"}, {"services", {{{"id", service}, {"kind", "model"}}}}};
        const CommitOutcome outcome = this->fleet.commit("models", section);
        return outcome.result == CommitResult::Committed
            && this->fleet.runUntil([&] { return this->fleet.isConfigActive(outcome.version); }, 30s);
    }

    bool runUntilState(const std::string &vm, const std::string &upstream, std::optional<UpstreamState> state)
    {
        return this->fleet.runUntil([&] { return this->fleet.stateAt(vm, upstream) == state; }, 60s);
    }

    bool hasAnyConfigRegressed() const
    {
        for (const auto &[id, vm] : this->fleet.vms) {
            if (vm.hasConfigRegressed)
                return true;
        }
        return false;
    }

    ControlFleet fleet{FleetSettings()};
    const std::string first = "entry-0000";
    const std::string last = "entry-0005";
};

} // namespace

// Guards against nodes that do not find each other or their upstreams after a start.
TEST_CASE_METHOD(ControlNodeFixture,
                 "ControlNode: fleet starts: entry processes get configuration, upstreams and peers")
{
    this->runUntilConverged();
    CHECK(this->fleet.vms.at(this->first).applied.services.size() == 1);
    CHECK(this->fleet.vms.at(this->first).applied.upstreams.size() == 12);
}

// Guards against a node without access to the store that misses changes its peers already have.
TEST_CASE_METHOD(ControlNodeFixture, "ControlNode: one node cannot reach the store: gets the change from a peer")
{
    this->runUntilConverged();
    this->fleet.vms.at(this->last).isStoreCut = true;
    CHECK(this->commitAndAwait("draft"));
    CHECK_FALSE(this->hasAnyConfigRegressed());
}

// Guards against a node that starts during a store outage with no configuration or an older one than its peers have.
TEST_CASE_METHOD(ControlNodeFixture, "ControlNode: restart while the store is out: takes the configuration from a peer")
{
    this->runUntilConverged();
    REQUIRE(this->commitAndAwait("draft"));
    this->fleet.store.isUnavailable = true;
    this->fleet.vms.at(this->last).seeds = {"control:" + this->first};
    const int before = this->fleet.vms.at(this->last).snapshots;
    this->fleet.start(this->last);
    REQUIRE(this->fleet.runUntil([&] { return this->fleet.vms.at(this->last).snapshots > before; }, 60s));
    CHECK(this->fleet.vms.at(this->last).applied.manifestVersion == 2);
    CHECK_FALSE(this->hasAnyConfigRegressed());
}

// Guards against a corrupt configuration that replaces the last valid one.
TEST_CASE_METHOD(ControlNodeFixture, "ControlNode: manifest in the store is truncated: the last valid one stays active")
{
    this->runUntilConverged();
    KvEntry &manifest = this->fleet.store.entries.at(std::string(manifestKey));
    manifest.value.resize(manifest.value.size() / 2);
    this->fleet.run(20s);
    CHECK(this->fleet.vms.at(this->first).applied.manifestVersion == 1);
    CHECK(this->fleet.vms.at(this->first).applied.services.size() == 1);
}

// Guards against more than one watch per zone, since each waiting watch costs a call to the store.
TEST_CASE_METHOD(ControlNodeFixture, "ControlNode: several nodes in a zone: the lowest identifier watches")
{
    this->runUntilConverged();
    this->fleet.run(10s);
    int watchers = 0;
    for (auto &[id, vm] : this->fleet.vms)
        watchers += vm.node->answer("status", json::object()).at("zoneWatcher").get<bool>() ? 1 : 0;
    CHECK(watchers == 4);
    this->fleet.stop(this->first);
    CHECK(this->fleet.runUntil(
        [this] {
            return this->fleet.vms.at("entry-0004")
                .node->answer("status", json::object())
                .at("zoneWatcher")
                .get<bool>();
        },
        60s));
}

// Guards against a store outage that empties the peer lists.
TEST_CASE_METHOD(ControlNodeFixture, "ControlNode: long store outage: peers stay known by gossip")
{
    this->runUntilConverged();
    this->fleet.store.isUnavailable = true;
    this->fleet.run(120s);
    for (const auto &[id, vm] : this->fleet.vms)
        CHECK(vm.applied.peers.size() == 5);
}

// Guards against calls forwarded to entry VMs that no longer exist.
TEST_CASE_METHOD(ControlNodeFixture, "ControlNode: entry VM stops: its peers remove it")
{
    this->runUntilConverged();
    this->fleet.stop(this->last);
    CHECK(this->fleet.runUntil([this] { return this->fleet.vms.at(this->first).applied.peers.size() == 4; }, 20s));
}

// Guards against a node that keeps sending to a reclaimed upstream because only others saw the notice.
TEST_CASE_METHOD(ControlNodeFixture, "ControlNode: reclaim notice seen by one node: all stop using the upstream")
{
    this->runUntilConverged();
    for (auto &[id, vm] : this->fleet.vms)
        vm.isCloudCut = id != this->first;
    this->fleet.addNotice("worker-0-0", 30s);
    // Covers a poll of the notices and two hops; gossip alone would take seconds.
    REQUIRE(this->fleet.runUntil([this] { return this->fleet.isUnused("worker-0-0"); }, 400ms));
    CHECK(this->fleet.stateAt(this->last, "worker-0-0") == UpstreamState::Leaving);
}

// Guards against the platform's lagging list, which shows a reclaimed upstream as live for a while.
TEST_CASE_METHOD(ControlNodeFixture, "ControlNode: list still shows a leaving upstream as live: it stays out of use")
{
    this->runUntilConverged();
    this->fleet.addNotice("worker-0-0", 5s);
    REQUIRE(this->fleet.runUntil([this] { return this->fleet.isUnused("worker-0-0"); }, 2s));
    REQUIRE(this->runUntilState(this->first, "worker-0-0", std::nullopt));
    this->fleet.run(30s);
    CHECK(this->fleet.isUnused("worker-0-0"));
}

// Guards against a restarted node that learns of a drained upstream only from the list, which shows it as live.
TEST_CASE_METHOD(ControlNodeFixture, "ControlNode: node restarts after a drain: does not use the drained upstream")
{
    this->runUntilConverged();
    this->fleet.vms.at(this->first).node->answer("drainUpstream", {{"upstream", "worker-0-0"}});
    REQUIRE(this->fleet.runUntil([this] { return this->fleet.isUnused("worker-0-0"); }, 2s));
    // After this time gossip no longer carries the drain.
    this->fleet.run(30s);
    this->fleet.start(this->last);
    this->fleet.run(20s);
    CHECK(this->fleet.stateAt(this->last, "worker-0-0") == UpstreamState::Leaving);
    CHECK(this->fleet.stateAt(this->last, "worker-0-1") == UpstreamState::Serving);
}

// Guards against one node with a broken link that ejects a whole zone for itself or for all nodes.
TEST_CASE_METHOD(ControlNodeFixture,
                 "ControlNode: one node fails calls to a whole zone: suspects a third of it at most")
{
    this->runUntilConverged();
    for (int round = 0; round < 20; ++round) {
        this->fleet.vms.at(this->first).failures = {{"worker-1-0", 1}, {"worker-1-1", 1}, {"worker-1-2", 1}};
        this->fleet.run(500ms);
        int suspected = 0;
        for (const std::string upstream : {"worker-1-0", "worker-1-1", "worker-1-2"})
            suspected += this->fleet.stateAt(this->last, upstream) == UpstreamState::Suspected ? 1 : 0;
        REQUIRE(suspected <= 1);
    }
}

// Guards against a dead zone that stays in use because the observations of a single node are not trusted.
TEST_CASE_METHOD(ControlNodeFixture, "ControlNode: nodes of two zones fail calls to a zone: all of it is suspected")
{
    this->runUntilConverged();
    for (const std::string upstream : {"worker-1-0", "worker-1-1", "worker-1-2"}) {
        this->fleet.deadUpstreams.insert(upstream);
        this->fleet.vms.at("entry-0000").failures[upstream] = 1;
        this->fleet.vms.at("entry-0002").failures[upstream] = 1;
    }
    for (const std::string upstream : {"worker-1-0", "worker-1-1", "worker-1-2"})
        CHECK(this->runUntilState(this->last, upstream, UpstreamState::Suspected));
}

// Guards against an upstream that stays suspected forever after a transient failure.
TEST_CASE_METHOD(ControlNodeFixture, "ControlNode: suspected upstream answers probes again: serves again")
{
    this->runUntilConverged();
    this->fleet.vms.at(this->first).failures["worker-2-0"] = 1;
    REQUIRE(this->runUntilState(this->first, "worker-2-0", UpstreamState::Suspected));
    CHECK(this->runUntilState(this->first, "worker-2-0", UpstreamState::Serving));
}
