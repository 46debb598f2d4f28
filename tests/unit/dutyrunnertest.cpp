#include "relay/dutyrunner.h"
#include "memorystore.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

struct Report
{
    DutyLease stamp;
    std::int64_t window;
    UsageCounts counts;
};

/// Two nodes with the duties, over one store and one platform.
class DutyRunnerFixture
{
protected:
    struct Node
    {
        Node(DutyRunnerFixture &fixture, const std::string &name, const std::string &run)
            : runner(fixture.store.access(), settings(name, run), fixture.transport, this->usage)
        {
            this->runner.setDuties(true, true);
        }

        static DutySettings settings(const std::string &name, const std::string &run)
        {
            DutySettings settings;
            settings.holder = name;
            settings.run = run;
            settings.keyPrefix = "duties";
            settings.countsKey = "counts";
            return settings;
        }

        UsageLedger usage{std::chrono::milliseconds(5000)};
        DutyRunner runner;
    };

    DutyRunnerFixture()
    {
        this->transport.reportUsage = [this](const DutyLease &stamp,
                                             std::int64_t window,
                                             const UsageCounts &counts,
                                             const std::function<void(DutyResult)> &done) {
            this->reports.push_back({stamp, window, counts});
            done(this->platformIsOut ? DutyResult::Unknown : DutyResult::Accepted);
        };
        this->transport.orderUpstreams =
            [this](const DutyLease &, const UpstreamOrder &order, const std::function<void(DutyResult)> &done) {
                this->orders.push_back(order);
                done(this->refusedZones.contains(order.zone) ? DutyResult::Refused : DutyResult::Accepted);
            };
    }

    void run(Node &node, std::chrono::milliseconds time)
    {
        for (auto end = this->now + time; this->now < end; this->now += std::chrono::milliseconds(100)) {
            this->wall += std::chrono::milliseconds(100);
            const auto record = this->store.entries.find(node.runner.holderKey());
            node.runner.holderSeen(record == this->store.entries.end() ? std::string() : record->second.value);
            node.runner.tick(this->now, this->wall, 0.5);
            this->store.runAll();
        }
    }

    MemoryStore store;
    RelayTransport transport;
    std::vector<Report> reports;
    std::vector<UpstreamOrder> orders;
    std::set<std::string> refusedZones;
    bool platformIsOut = false;
    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    std::chrono::system_clock::time_point wall{std::chrono::seconds(1000)};
};

} // namespace

TEST_CASE_METHOD(DutyRunnerFixture, "DutyRunner: window has ended: its counts are stored and reported once")
{
    Node node(*this, "a", "run-a");
    this->run(node, std::chrono::seconds(4));
    node.usage.count("x", this->wall);
    const std::int64_t window = node.usage.windowAt(this->wall);
    this->run(node, std::chrono::seconds(9));
    REQUIRE_FALSE(this->reports.empty());
    int matching = 0;
    for (const Report &report : this->reports) {
        if (report.window != window)
            continue;
        ++matching;
        CHECK(report.counts == UsageCounts{{"x", 1}});
    }
    CHECK(matching == 1);
}

TEST_CASE_METHOD(
    DutyRunnerFixture,
    "DutyRunner: holder dies after its counts were stored: the successor repeats them exactly, with a higher token")
{
    auto first = std::make_unique<Node>(*this, "a", "run-a");
    this->run(*first, std::chrono::seconds(4));
    first->usage.count("x", this->wall);
    const std::int64_t window = first->usage.windowAt(this->wall);
    this->platformIsOut = true;
    this->run(*first, std::chrono::seconds(9));
    first.reset();
    this->platformIsOut = false;
    this->reports.clear();
    this->store.entries.erase("duties/holder");

    Node second(*this, "b", "run-b");
    second.usage.count("x", this->wall - std::chrono::seconds(8));
    second.usage.peerCounts("run-a", {{window, {{"x", 40}}}});
    this->run(second, std::chrono::seconds(6));
    bool isRepeated = false;
    for (const Report &report : this->reports) {
        CHECK(report.stamp.fencingToken == 2);
        if (report.window == window) {
            isRepeated = true;
            CHECK(report.counts == UsageCounts{{"x", 1}});
        }
    }
    CHECK(isRepeated);
}

TEST_CASE_METHOD(DutyRunnerFixture,
                 "DutyRunner: all VMs stop within a window: the successor finds the counts that were saved")
{
    auto first = std::make_unique<Node>(*this, "a", "run-a");
    this->run(*first, std::chrono::seconds(4));
    const std::int64_t window = first->usage.windowAt(this->wall);
    first->usage.count("x", this->wall);
    first->usage.peerCounts("run-c", {{window, {{"x", 6}}}});
    this->run(*first, std::chrono::milliseconds(900));
    first.reset();
    this->store.entries.erase("duties/holder");

    Node second(*this, "b", "run-b");
    this->run(second, std::chrono::seconds(12));
    UsageCounts reported;
    for (const Report &report : this->reports) {
        if (report.window == window)
            reported = report.counts;
    }
    CHECK(reported == UsageCounts{{"x", 7}});
}

TEST_CASE_METHOD(DutyRunnerFixture, "DutyRunner: role was just taken: nothing is sent before the settle time")
{
    Node node(*this, "a", "run-a");
    node.runner.setOrders({{"model", "zone-a", 2, false}});
    this->run(node, std::chrono::milliseconds(200));
    CHECK(node.runner.isActing(this->now) == false);
    CHECK(this->orders.empty());
    this->run(node, std::chrono::milliseconds(1500));
    CHECK(this->orders.size() == 1);
}

TEST_CASE_METHOD(DutyRunnerFixture, "DutyRunner: holder was paused past its lease: sends nothing when it wakes")
{
    Node node(*this, "a", "run-a");
    this->run(node, std::chrono::seconds(5));
    this->now += std::chrono::seconds(20);
    CHECK_FALSE(node.runner.isActing(this->now));
    node.runner.setOrders({{"model", "zone-a", 3, false}});
    node.runner.tick(this->now, this->wall, 0.5);
    CHECK(this->orders.empty());
}

TEST_CASE_METHOD(DutyRunnerFixture,
                 "DutyRunner: another node took the role: the old holder's stored counts do not change")
{
    Node first(*this, "a", "run-a");
    this->run(first, std::chrono::seconds(4));
    this->store.entries["duties/holder"].modRevision = 999;
    const auto before = this->store.entries["duties/usage"].value;
    this->reports.clear();
    first.usage.count("x", this->wall);
    this->run(first, std::chrono::seconds(8));
    CHECK(this->store.entries["duties/usage"].value == before);
    CHECK(this->reports.empty());
}

TEST_CASE_METHOD(DutyRunnerFixture,
                 "DutyRunner: answer of the storing write is lost: only what stands in the store is sent")
{
    Node node(*this, "a", "run-a");
    this->run(node, std::chrono::seconds(4));
    node.usage.count("x", this->wall);
    const std::int64_t window = node.usage.windowAt(this->wall);
    this->store.lostAnswers = 3;
    this->run(node, std::chrono::seconds(12));
    for (const Report &report : this->reports) {
        if (report.window == window)
            CHECK(report.counts == UsageCounts{{"x", 1}});
    }
    CHECK(this->store.lostAnswers == 0);
}

TEST_CASE_METHOD(DutyRunnerFixture,
                 "DutyRunner: one zone has no upstreams to give: the others are ordered, it is asked again")
{
    Node node(*this, "a", "run-a");
    this->refusedZones = {"zone-a"};
    node.runner.setOrders({{"model", "zone-a", 2, true}, {"model", "zone-b", 2, true}});
    this->run(node, std::chrono::seconds(5));
    int others = 0;
    for (const UpstreamOrder &order : this->orders)
        others += order.zone == "zone-b" ? 1 : 0;
    CHECK(others == 1);
    this->refusedZones.clear();
    this->orders.clear();
    this->run(node, std::chrono::seconds(3));
    REQUIRE(this->orders.size() == 1);
    CHECK(this->orders.front().zone == "zone-a");
}
