#include "upstreamlifecycle.h"
#include "settings.h"

#include <catch2/catch.hpp>

using namespace hemlock;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

class UpstreamLifecycleFixture
{
protected:
    void applyVmList(bool isLeaving = false)
    {
        this->lifecycle.applyList({{{"w1", "chat", "address", {"zone"}}, isLeaving}}, this->now);
    }

    UpstreamState state() const
    {
        return this->lifecycle.find("w1")->state;
    }

    UpstreamLifecycle::TimePoint now{1h};
    UpstreamLifecycle lifecycle{readJsonFile(HEMLOCK_SOURCE_DIR "/charts/upstream.json"),
                                [](const Upstream &, const std::string &, const std::string &) {}};
};

} // namespace

// Guards against requests to an upstream whose existence only the VM list of the platform confirms.
TEST_CASE_METHOD(UpstreamLifecycleFixture, "UpstreamLifecycle: listed upstream: serves after a probe is answered")
{
    this->applyVmList();
    CHECK(this->state() == UpstreamState::Joining);
    this->lifecycle.applyProbe("w1", false, "node", {"zone"}, this->now);
    CHECK(this->state() == UpstreamState::Joining);
    this->lifecycle.applyProbe("w1", true, "node", {"zone"}, this->now);
    CHECK(this->state() == UpstreamState::Serving);
}

// Guards against losing a notice that arrives before the lagging VM list contains the VM.
TEST_CASE_METHOD(UpstreamLifecycleFixture, "UpstreamLifecycle: notice before the VM is listed: is leaving once listed")
{
    this->lifecycle.applyLeaving({{.id = "w1"}, 60s}, "notice", this->now);
    this->applyVmList();
    CHECK(this->state() == UpstreamState::Leaving);
}

// Guards against a gone upstream that becomes live again because an old list still contains it, or because its
// successor answers a probe.
TEST_CASE_METHOD(UpstreamLifecycleFixture,
                 "UpstreamLifecycle: deadline has passed: stays gone despite the list and probes")
{
    this->applyVmList();
    this->lifecycle.applyLeaving({{.id = "w1"}, 10s}, "notice", this->now);
    this->now += 11s;
    this->lifecycle.expire(this->now);
    REQUIRE(this->state() == UpstreamState::Gone);
    this->applyVmList();
    this->lifecycle.applyProbe("w1", true, "node", {"zone"}, this->now);
    CHECK(this->state() == UpstreamState::Gone);
    CHECK(this->lifecycle.upstreams().empty());
}

// Guards against thousands of probes at once after the loss of a zone.
TEST_CASE_METHOD(UpstreamLifecycleFixture,
                 "UpstreamLifecycle: many upstreams need a probe: probes per interval are limited")
{
    std::vector<ListedVm> vms;
    for (int i = 0; i < 1000; ++i)
        vms.push_back({{"w" + std::to_string(i), "chat", "address", {"zone"}}, false});
    this->lifecycle.applyList(vms, this->now);
    CHECK(this->lifecycle.takeProbes(this->now).size() == 20);
    CHECK(this->lifecycle.takeProbes(this->now).empty());
    CHECK(this->lifecycle.takeProbes(this->now + 600ms).size() == 20);
}

// Guards against a chart with a transition to an undefined state.
TEST_CASE_METHOD(UpstreamLifecycleFixture, "StateChart: transition to an unknown state: throws with its location")
{
    const json chart = {{"name", "door"}, {"initial", "open"}, {"states", {{"open", {{"on", {{"push", "shut"}}}}}}}};
    CHECK_THROWS_WITH(StateChart(chart), "state chart door: /states/open/on/push names the unknown state \"shut\"");
}
