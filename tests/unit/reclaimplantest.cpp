#include "reclaimplan.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hemlock;
using namespace std::chrono_literals;

namespace {

class ReclaimPlanFixture
{
protected:
    ReclaimPlanFixture()
    {
        this->input.zone = {"a"};
        this->input.targets = {{"same", {"a"}, 1e9, 0.0}, {"other", {"b"}, 1e9, 5.0}};
        this->input.timeLeft = 10s;
        this->input.bytesPerSecond = 1e6;
    }

    ReclaimStep step(const std::string &item) const
    {
        const auto steps = planReclaim(this->input);
        const auto found =
            std::find_if(steps.begin(), steps.end(), [&](const ReclaimStep &step) { return step.item == item; });
        REQUIRE(found != steps.end());
        return *found;
    }

    ReclaimInput input;
};

} // namespace

// Guards against using up the notice period for exports that save little.
TEST_CASE_METHOD(ReclaimPlanFixture,
                 "ReclaimPlan: more items than time allows: exports those that save the most tokens per byte")
{
    this->input.items = {{"bulky", true, 1000, 8e6}, {"dense", true, 900, 4e6}, {"denser", true, 800, 2e6}};
    CHECK(this->step("denser").action == ReclaimAction::Export);
    CHECK(this->step("dense").action == ReclaimAction::Export);
    CHECK(this->step("bulky").action == ReclaimAction::Replay);
}

TEST_CASE_METHOD(ReclaimPlanFixture, "ReclaimPlan: stream that ends in time: finishes on its upstream")
{
    this->input.items = {{"short", true, 1000, 1e6, {}, 2s}, {"long", true, 1000, 1e6, {}, 20s}};
    CHECK(this->step("short").action == ReclaimAction::Finish);
    CHECK(this->step("long").action == ReclaimAction::Export);
}

// Guards against exports into a zone that is being reclaimed as a whole.
TEST_CASE_METHOD(ReclaimPlanFixture, "ReclaimPlan: less loaded upstream in the same zone: exports to another zone")
{
    this->input.items = {{"stream", true, 1000, 1e6}};
    CHECK(this->step("stream").target == "other");
}

TEST_CASE_METHOD(ReclaimPlanFixture, "ReclaimPlan: no room in another zone: exports within the zone")
{
    this->input.targets[1].freeBytes = 10;
    this->input.items = {{"stream", true, 1000, 1e6}};
    CHECK(this->step("stream").target == "same");
}

// Guards against a prefix that is sent once with each stream that shares it.
TEST_CASE_METHOD(ReclaimPlanFixture, "ReclaimPlan: streams with one prefix: the prefix is sent once, to one upstream")
{
    this->input.targets.push_back({"third", {"c"}, 1e9, 5.0});
    this->input.items = {{"prefix", false, 2000, 5e6}};
    for (int i = 0; i < 6; ++i)
        this->input.items.push_back({"stream-" + std::to_string(i), true, 300, 5e5, "prefix"});
    const std::string target = this->step("prefix").target;
    for (int i = 0; i < 6; ++i) {
        CHECK(this->step("stream-" + std::to_string(i)).action == ReclaimAction::Export);
        CHECK(this->step("stream-" + std::to_string(i)).target == target);
    }
}

TEST_CASE_METHOD(ReclaimPlanFixture, "ReclaimPlan: any input: contains each item once")
{
    for (int i = 0; i < 50; ++i)
        this->input.items.push_back(
            {std::to_string(i), i % 3 != 0, 100.0 * i, 3e5 * (i % 7), std::to_string(i / 5 * 3)});
    auto steps = planReclaim(this->input);
    std::sort(steps.begin(), steps.end(), [](const auto &a, const auto &b) { return a.item < b.item; });
    CHECK(steps.size() == 50);
    CHECK(std::adjacent_find(steps.begin(), steps.end(), [](const auto &a, const auto &b) { return a.item == b.item; })
          == steps.end());
}
