#include "relay/dutyrunner.h"
#include "latewriteguard.h"
#include "memorystore.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

struct Report
{
    DutyLease lease;
    std::int64_t window;
    UsageCounts counts;
};

/// Nodes that share the duties, one store and one platform.
class DutyRunnerFixture
{
protected:
    struct Node
    {
        Node(DutyRunnerFixture &fixture, const std::string &name, const std::string &runId)
            : runner(this->writeGuard.guarded(fixture.store.access()),
                     settings(fixture, name, runId),
                     fixture.transport,
                     this->usage)
        {
            this->runner.setEnabledDuties(true, true);
        }

        static DutySettings
        settings(const DutyRunnerFixture &fixture, const std::string &name, const std::string &runId)
        {
            DutySettings settings;
            settings.holder = name;
            settings.runId = runId;
            settings.keyPrefix = "duties";
            settings.countsKey = "counts";
            settings.storeEra = [&fixture] { return fixture.store.era; };
            settings.isFirstStart = fixture.isFirstStart;
            return settings;
        }

        UsageLedger usage{std::chrono::milliseconds(5000)};
        LateWriteGuard writeGuard;
        DutyRunner runner;
    };

    DutyRunnerFixture()
    {
        this->transport.reportUsage = [this](const DutyLease &lease,
                                             std::int64_t window,
                                             const UsageCounts &counts,
                                             const std::function<void(DutyResult)> &done) {
            this->reports.push_back({lease, window, counts});
            done(this->platformIsDown ? DutyResult::Unknown : DutyResult::Accepted);
        };
        this->transport.orderUpstreams =
            [this](const DutyLease &, const UpstreamOrder &order, const std::function<void(DutyResult)> &done) {
                this->orders.push_back(order);
                done(this->refusedZones.contains(order.zone) ? DutyResult::Refused : DutyResult::Accepted);
            };
    }

    void advance(Node &node, std::chrono::milliseconds time)
    {
        for (auto end = this->now + time; this->now < end; this->now += std::chrono::milliseconds(100)) {
            this->wallTime += std::chrono::milliseconds(100);
            const auto record = this->store.entries.find(node.runner.holderKey());
            node.runner.updateHolder(record == this->store.entries.end() ? std::string() : record->second.value);
            node.runner.tick(this->now, this->wallTime, 0.5);
            this->store.runAll();
        }
    }

    /// Windows that were reported with two different counts.
    std::set<std::int64_t> contradictions() const
    {
        std::map<std::int64_t, UsageCounts> first;
        std::set<std::int64_t> windows;
        for (const Report &report : this->reports) {
            if (first.try_emplace(report.window, report.counts).first->second != report.counts)
                windows.insert(report.window);
        }
        return windows;
    }

    /// Records of reports in the store, by key.
    std::map<std::string, std::string> storedRecords() const
    {
        std::map<std::string, std::string> records;
        for (const auto &[key, entry] : this->store.entries) {
            if (key.starts_with("duties/") && key.ends_with("/usage"))
                records[key] = entry.value;
        }
        return records;
    }

    /// Leaves the next write of a record of reports unanswered until MemoryStore::runLateTxns().
    void delayNextRecord()
    {
        this->store.isLate = [this](const KvTxn &txn) {
            if (txn.puts.empty() || !txn.puts.front().key.ends_with("/usage"))
                return false;
            this->store.isLate = nullptr;
            return true;
        };
    }

    /// Brings the store back from a copy, and tells the nodes.
    void restore(const MemoryStore::Copy &copy, const std::vector<Node *> &nodes)
    {
        this->store.restore(copy);
        for (Node *node : nodes)
            node->runner.storeRestored(this->now);
    }

    MemoryStore store;
    RelayTransport transport;
    std::vector<Report> reports;
    std::vector<UpstreamOrder> orders;
    std::set<std::string> refusedZones;
    bool platformIsDown = false;
    bool isFirstStart = true; ///< Of the whole system, for nodes that are made later.
    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    std::chrono::system_clock::time_point wallTime{std::chrono::seconds(1000)};
};

} // namespace

TEST_CASE_METHOD(DutyRunnerFixture, "DutyRunner: window has ended: its counts are stored and reported once")
{
    Node node(*this, "a", "run-a");
    this->advance(node, std::chrono::seconds(4));
    node.usage.count("x", this->wallTime);
    const std::int64_t window = node.usage.windowAt(this->wallTime);
    this->advance(node, std::chrono::seconds(9));
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
    "DutyRunner: holder fails after storing its counts: the successor repeats them exactly, with a higher token")
{
    auto first = std::make_unique<Node>(*this, "a", "run-a");
    this->advance(*first, std::chrono::seconds(4));
    first->usage.count("x", this->wallTime);
    const std::int64_t window = first->usage.windowAt(this->wallTime);
    this->platformIsDown = true;
    this->advance(*first, std::chrono::seconds(9));
    first.reset();
    this->platformIsDown = false;
    this->reports.clear();
    this->store.entries.erase("duties/holder");

    Node second(*this, "b", "run-b");
    second.usage.count("x", this->wallTime - std::chrono::seconds(8));
    second.usage.mergePeerCounts("run-a", {{window, {{"x", 40}}}});
    this->advance(second, std::chrono::seconds(6));
    bool wasRepeated = false;
    for (const Report &report : this->reports) {
        CHECK(report.lease.fencingToken == 2);
        if (report.window == window) {
            wasRepeated = true;
            CHECK(report.counts == UsageCounts{{"x", 1}});
        }
    }
    CHECK(wasRepeated);
}

TEST_CASE_METHOD(DutyRunnerFixture, "DutyRunner: all VMs stop within a window: the successor reports the saved counts")
{
    auto first = std::make_unique<Node>(*this, "a", "run-a");
    this->advance(*first, std::chrono::seconds(4));
    const std::int64_t window = first->usage.windowAt(this->wallTime);
    first->usage.count("x", this->wallTime);
    first->usage.mergePeerCounts("run-c", {{window, {{"x", 6}}}});
    this->advance(*first, std::chrono::milliseconds(900));
    first.reset();
    this->store.entries.erase("duties/holder");

    Node second(*this, "b", "run-b");
    this->advance(second, std::chrono::seconds(12));
    UsageCounts reported;
    for (const Report &report : this->reports) {
        if (report.window == window)
            reported = report.counts;
    }
    CHECK(reported == UsageCounts{{"x", 7}});
}

TEST_CASE_METHOD(DutyRunnerFixture, "DutyRunner: role was just taken: nothing is sent before the takeover delay")
{
    Node node(*this, "a", "run-a");
    node.runner.setWantedOrders({{"model", "zone-a", 2, false}});
    this->advance(node, std::chrono::milliseconds(200));
    CHECK(node.runner.isActing(this->now) == false);
    CHECK(this->orders.empty());
    this->advance(node, std::chrono::milliseconds(1500));
    CHECK(this->orders.size() == 1);
}

TEST_CASE_METHOD(DutyRunnerFixture, "DutyRunner: holder was suspended beyond its lease: sends nothing when it resumes")
{
    Node node(*this, "a", "run-a");
    this->advance(node, std::chrono::seconds(5));
    this->now += std::chrono::seconds(20);
    CHECK_FALSE(node.runner.isActing(this->now));
    node.runner.setWantedOrders({{"model", "zone-a", 3, false}});
    node.runner.tick(this->now, this->wallTime, 0.5);
    CHECK(this->orders.empty());
}

TEST_CASE_METHOD(DutyRunnerFixture,
                 "DutyRunner: another node took the role: the old holder's stored counts do not change")
{
    Node first(*this, "a", "run-a");
    this->advance(first, std::chrono::seconds(4));
    this->store.entries["duties/holder"].modRevision = 999;
    const auto before = this->storedRecords();
    REQUIRE(before.size() == 1);
    this->reports.clear();
    first.usage.count("x", this->wallTime);
    this->advance(first, std::chrono::seconds(8));
    CHECK(this->storedRecords() == before);
    CHECK(this->reports.empty());
}

TEST_CASE_METHOD(DutyRunnerFixture, "DutyRunner: answer to the write is lost: only what is in the store is sent")
{
    Node node(*this, "a", "run-a");
    this->advance(node, std::chrono::seconds(4));
    node.usage.count("x", this->wallTime);
    const std::int64_t window = node.usage.windowAt(this->wallTime);
    this->store.lostResponses = 3;
    this->advance(node, std::chrono::seconds(12));
    for (const Report &report : this->reports) {
        if (report.window == window)
            CHECK(report.counts == UsageCounts{{"x", 1}});
    }
    CHECK(this->store.lostResponses == 0);
}

TEST_CASE_METHOD(
    DutyRunnerFixture,
    "DutyRunner: order for one zone is refused: the other zone's order is sent and the refused one is retried")
{
    Node node(*this, "a", "run-a");
    this->refusedZones = {"zone-a"};
    node.runner.setWantedOrders({{"model", "zone-a", 2, true}, {"model", "zone-b", 2, true}});
    this->advance(node, std::chrono::seconds(5));
    int otherZoneOrders = 0;
    for (const UpstreamOrder &order : this->orders)
        otherZoneOrders += order.zone == "zone-b" ? 1 : 0;
    CHECK(otherZoneOrders == 1);
    this->refusedZones.clear();
    this->orders.clear();
    this->advance(node, std::chrono::seconds(3));
    REQUIRE(this->orders.size() == 1);
    CHECK(this->orders.front().zone == "zone-a");
}

// Guards against reports with other counts after the store lost what was reported.
TEST_CASE_METHOD(DutyRunnerFixture, "DutyRunner: store lost the record of reports: the holder repeats none")
{
    this->store.era = 1;
    Node holder(*this, "a", "run-a");
    this->advance(holder, std::chrono::seconds(6));
    const auto copy = this->store.copy();
    holder.usage.count("account", this->wallTime);
    this->advance(holder, std::chrono::seconds(12));
    const std::int64_t lastWindow = this->reports.back().window;
    this->restore(copy, {&holder});
    holder.usage.count("account", this->wallTime - std::chrono::seconds(12));
    this->advance(holder, std::chrono::seconds(12));
    CHECK(this->contradictions().empty());
    CHECK(this->reports.back().window > lastWindow);
}

// The processes of all VMs ended with what they knew.
TEST_CASE_METHOD(DutyRunnerFixture,
                 "DutyRunner: store lost the record of reports and all VMs restarted: no window is reported anew")
{
    this->store.era = 1;
    Node before(*this, "a", "run-a");
    this->advance(before, std::chrono::seconds(6));
    const auto copy = this->store.copy();
    before.usage.count("account", this->wallTime);
    this->advance(before, std::chrono::seconds(12));
    const std::int64_t lastWindow = this->reports.back().window;
    this->restore(copy, {});
    this->store.entries.erase("duties/holder");
    Node after(*this, "b", "run-b");
    this->advance(after, std::chrono::seconds(15));
    CHECK(this->contradictions().empty());
    CHECK(this->reports.back().window > lastWindow);
}

TEST_CASE_METHOD(DutyRunnerFixture, "DutyRunner: store lost a claim of the role: its fencing token is not used again")
{
    this->store.era = 1;
    const auto copy = this->store.copy();
    Node first(*this, "a", "run-a");
    this->advance(first, std::chrono::seconds(15));
    const std::int64_t token = this->reports.back().lease.fencingToken;
    this->restore(copy, {});
    Node second(*this, "b", "run-b");
    this->advance(second, std::chrono::seconds(15));
    CHECK(this->reports.back().lease.holder == "b");
    CHECK(this->reports.back().lease.fencingToken > token);
}

// Guards against two holders that act alternately after one of them has lost its claim.
TEST_CASE_METHOD(DutyRunnerFixture, "DutyRunner: store lost the claim of a holder: another VM waits for its lease time")
{
    this->store.era = 1;
    const auto copy = this->store.copy();
    Node holder(*this, "a", "run-a");
    Node other(*this, "b", "run-b");
    this->advance(holder, std::chrono::seconds(6));
    this->advance(other, std::chrono::milliseconds(100));
    this->restore(copy, {&holder, &other});
    this->advance(other, std::chrono::milliseconds(2900));
    CHECK_FALSE(other.runner.isActing(this->now));
    CHECK(this->store.entries.count("duties/holder") == 0);
    this->advance(other, std::chrono::seconds(3));
    CHECK(other.runner.isActing(this->now));
}

TEST_CASE_METHOD(DutyRunnerFixture, "DutyRunner: restored store still holds the claim: the holder goes on")
{
    this->store.era = 1;
    Node holder(*this, "a", "run-a");
    this->advance(holder, std::chrono::seconds(6));
    const auto copy = this->store.copy();
    this->restore(copy, {&holder});
    CHECK_FALSE(holder.runner.isActing(this->now));
    this->advance(holder, std::chrono::seconds(3));
    CHECK(holder.runner.isActing(this->now));
}

// Guards against calls with the token of a claim that the copy holds although another VM has acted since.
TEST_CASE_METHOD(
    DutyRunnerFixture,
    "DutyRunner: holder stood still until a copy with its claim was restored: it does not act on the claim")
{
    this->store.era = 1;
    Node paused(*this, "a", "run-a");
    Node successor(*this, "b", "run-b");
    this->advance(paused, std::chrono::seconds(6));
    const auto copy = this->store.copy();
    this->store.entries.erase("duties/holder");
    successor.usage.count("account", this->wallTime);
    this->advance(successor, std::chrono::seconds(12));
    REQUIRE(this->reports.back().lease.holder == "b");
    const std::size_t reportsBefore = this->reports.size();
    this->restore(copy, {&paused, &successor});
    this->advance(paused, std::chrono::seconds(12));
    CHECK(this->reports.size() == reportsBefore);
    CHECK_FALSE(paused.runner.isActing(this->now));

    // The claim in the copy ends with its lease.
    this->store.entries.erase("duties/holder");
    this->advance(paused, std::chrono::seconds(12));
    REQUIRE(this->reports.back().lease.holder == "a");
    CHECK(this->reports.back().lease.fencingToken > this->reports[reportsBefore - 1].lease.fencingToken);
    CHECK(this->contradictions().empty());
}

// Guards against tokens of lost claims that are higher than that of the holder.
TEST_CASE_METHOD(DutyRunnerFixture,
                 "DutyRunner: restored store still holds the claim: the holder claims anew, with a higher token")
{
    this->store.era = 1;
    Node holder(*this, "a", "run-a");
    this->advance(holder, std::chrono::seconds(9));
    REQUIRE_FALSE(this->reports.empty());
    const std::int64_t token = this->reports.back().lease.fencingToken;
    const std::size_t reportsBefore = this->reports.size();
    this->restore(this->store.copy(), {&holder});
    this->advance(holder, std::chrono::milliseconds(300));
    CHECK_FALSE(holder.runner.isActing(this->now));
    this->advance(holder, std::chrono::seconds(9));
    REQUIRE(this->reports.size() > reportsBefore);
    for (std::size_t i = reportsBefore; i < this->reports.size(); ++i)
        CHECK(this->reports[i].lease.fencingToken > token);
}

// Guards against tokens that fall, as a process that has just started does not know of the claim that was lost.
TEST_CASE_METHOD(DutyRunnerFixture,
                 "DutyRunner: process starts after the store lost a claim: it claims the role a lease time later")
{
    this->store.era = 1;
    auto copy = this->store.copy();
    Node holder(*this, "a", "run-a");
    this->advance(holder, std::chrono::seconds(6));
    if (GENERATE(true, false))
        copy = this->store.copy();
    copy.entries.erase("duties/holder");
    this->restore(copy, {});
    this->isFirstStart = false;
    Node started(*this, "b", "run-b");
    this->advance(started, std::chrono::milliseconds(2900));
    CHECK(this->store.entries.count("duties/holder") == 0);
    this->advance(started, std::chrono::seconds(3));
    CHECK(started.runner.isActing(this->now));
}

// Guards against a claim beside a holder that does not know yet that its claim was lost.
TEST_CASE_METHOD(DutyRunnerFixture,
                 "DutyRunner: store is restored while the records are read: the claim waits for a lease time")
{
    this->store.era = 1;
    Node other(*this, "b", "run-b");
    other.runner.tick(this->now, this->wallTime, 0.5);
    REQUIRE(this->store.queue.size() == 1);
    this->restore(this->store.copy(), {&other});
    this->store.runAll();
    this->advance(other, std::chrono::milliseconds(2900));
    CHECK(this->store.entries.count("duties/holder") == 0);
    this->advance(other, std::chrono::seconds(3));
    CHECK(other.runner.isActing(this->now));
}

// Guards against a holder that goes on with what it knew although another one has reported since.
TEST_CASE_METHOD(
    DutyRunnerFixture,
    "DutyRunner: another VM reported after a restore: the earlier holder does not report its windows again")
{
    this->store.era = 1;
    const auto copy = this->store.copy();
    Node holder(*this, "a", "run-a");
    Node other(*this, "b", "run-b");
    this->advance(holder, std::chrono::seconds(9));
    this->advance(other, std::chrono::milliseconds(100));
    this->restore(copy, {&holder, &other});
    other.usage.count("account", this->wallTime);
    this->advance(other, std::chrono::seconds(15));
    REQUIRE(this->reports.back().lease.holder == "b");
    const std::int64_t lastWindow = this->reports.back().window;
    this->store.entries.erase("duties/holder");
    this->advance(holder, std::chrono::seconds(15));
    REQUIRE(this->reports.back().lease.holder == "a");
    CHECK(this->contradictions().empty());
    CHECK(this->reports.back().window > lastWindow);
}

// Guards against a fencing token that was chosen by what the store has lost meanwhile.
TEST_CASE_METHOD(DutyRunnerFixture,
                 "DutyRunner: store is restored while a claim is under way: the claim does not count")
{
    this->store.era = 1;
    const auto copy = this->store.copy();
    Node late(*this, "b", "run-b");
    late.runner.tick(this->now, this->wallTime, 0.5);
    REQUIRE(this->store.runNext());
    const auto claim = std::exchange(this->store.queue, {});
    Node first(*this, "a", "run-a");
    this->advance(first, std::chrono::seconds(9));
    const std::int64_t token = this->reports.back().lease.fencingToken;
    this->restore(copy, {});
    this->store.queue = claim;
    this->store.runAll();
    REQUIRE(this->store.entries.count("duties/holder") == 1);
    this->advance(late, std::chrono::seconds(2));
    CHECK_FALSE(late.runner.isActing(this->now));
    this->store.entries.erase("duties/holder");
    this->advance(late, std::chrono::seconds(15));
    CHECK(this->reports.back().lease.holder == "b");
    CHECK(this->reports.back().lease.fencingToken > token);
}

// Guards against a window that is reported again with other counts, as a late write brought back an older record.
TEST_CASE_METHOD(
    DutyRunnerFixture,
    "DutyRunner: write of an older record is executed late, then all VMs restart: no window is reported anew")
{
    Node before(*this, "a", "run-a");
    this->advance(before, std::chrono::seconds(6));
    this->delayNextRecord();
    for (int second = 0; second < 16; ++second) {
        before.usage.count("account", this->wallTime);
        this->advance(before, std::chrono::seconds(1));
    }
    const std::int64_t lastWindow = this->reports.back().window;
    REQUIRE(this->store.lateTxns.size() == 1);
    const std::string lateKey = this->store.lateTxns.front().puts.front().key;
    this->store.runLateTxns();
    this->store.entries.erase("duties/holder");
    CHECK(this->storedRecords().contains(lateKey));
    CHECK(this->storedRecords().size() == 2);
    Node after(*this, "b", "run-b");
    this->advance(after, std::chrono::seconds(15));
    CHECK(this->contradictions().empty());
    CHECK(this->reports.back().window > lastWindow);
}

// Guards against counts that a late write takes back.
TEST_CASE_METHOD(DutyRunnerFixture, "DutyRunner: write of older saved counts is executed late: the newer ones stay")
{
    Node node(*this, "a", "run-a");
    this->advance(node, std::chrono::seconds(6));
    this->store.isLate = [this](const KvTxn &txn) {
        const bool isLate = txn.puts.front().key == "counts";
        if (isLate)
            this->store.isLate = nullptr;
        return isLate;
    };
    node.usage.count("account", this->wallTime);
    this->advance(node, std::chrono::seconds(1));
    REQUIRE(this->store.lateTxns.size() == 1);
    node.usage.count("account", this->wallTime);
    this->advance(node, std::chrono::seconds(1));
    const std::string saved = this->store.entries["counts"].value;
    this->store.runLateTxns();
    CHECK(this->store.entries["counts"].value == saved);
}

// Guards against a window that is recorded twice with different counts, as counts of peers arrived in between.
TEST_CASE_METHOD(DutyRunnerFixture,
                 "DutyRunner: write of a record is given up and its counts change: it is repeated with the same counts")
{
    Node before(*this, "a", "run-a");
    this->advance(before, std::chrono::seconds(6));
    this->delayNextRecord();
    while (this->store.lateTxns.empty()) {
        before.usage.count("account", this->wallTime);
        this->advance(before, std::chrono::milliseconds(200));
    }
    const KvPut late = this->store.lateTxns.front().puts.front();
    const std::int64_t window = std::stoll(late.key.substr(std::string("duties/reports/").size()));
    before.usage.mergePeerCounts("run-b", {{window, {{"account", 50}}}});
    this->advance(before, std::chrono::seconds(1));
    REQUIRE(this->storedRecords().contains(late.key));
    CHECK(this->storedRecords().at(late.key) == late.value);
}

TEST_CASE_METHOD(DutyRunnerFixture,
                 "DutyRunner: store has the record of an earlier version: the holder goes on after it")
{
    Node probe(*this, "b", "run-b");
    const std::int64_t window = probe.usage.windowAt(this->wallTime);
    const std::string record = R"({"era":0,"windows":{")" + std::to_string(window) + R"(":{"account":3}}})";
    this->store.executeTxn({{}, {{"duties/usage", record, 0}}, {}, {}});
    Node node(*this, "a", "run-a");
    this->advance(node, std::chrono::seconds(15));
    REQUIRE_FALSE(this->reports.empty());
    CHECK(this->reports.front().window == window);
    CHECK(this->reports.front().counts == UsageCounts{{"account", 3}});
    CHECK(this->reports.back().window > window);
    CHECK(this->contradictions().empty());
    CHECK_FALSE(this->store.entries.contains("duties/usage"));
}
