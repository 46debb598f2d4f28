#include "answergenerator.h"
#include "batchscheduler.h"
#include "cacheeventlog.h"
#include "laggingvalue.h"
#include "orderlog.h"
#include "prefixcache.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace hemlock;
using namespace std::chrono_literals;

namespace {

using Ids = std::vector<std::string>;

class BatchSchedulerFixture
{
protected:
    static BatchSettings settings()
    {
        BatchSettings settings;
        settings.maxBatch = 2;
        settings.stepDuration = 1000us;
        settings.batchGrowth = 0.1;
        settings.prefillTokensPerStep = 100;
        settings.prefillGrowth = 0.01;
        return settings;
    }

    BatchScheduler scheduler{settings()};
};

class PrefixCacheFixture
{
protected:
    PrefixCache cache{
        3, [this](const std::string &key, bool isStored) { this->changes.push_back((isStored ? "+" : "-") + key); }};
    Ids changes;
};

class OrderLogFixture
{
protected:
    OrderLog checkingLog{{"m", "1", "serve", {}}, true};
    OrderLog ignoringLog{{"m", "1", "serve", {}}, false};
};

} // namespace

// Guards against steps of constant duration, which would hide the cost of recomputed prompt tokens.
TEST_CASE_METHOD(BatchSchedulerFixture, "BatchScheduler: step duration: grows with the batch and with prompt tokens")
{
    this->scheduler.add("a", 5, 0, 3);
    CHECK(this->scheduler.step().duration == 1000us);
    this->scheduler.add("b", 5, 0, 3);
    CHECK(this->scheduler.step().duration == 1100us);
    this->scheduler.remove("b");
    this->scheduler.add("c", 5, 50, 1);
    CHECK(this->scheduler.step().duration == 1600us);
}

TEST_CASE_METHOD(BatchSchedulerFixture, "BatchScheduler: long prompt: is computed in parts before the first token")
{
    this->scheduler.add("a", 5, 250, 1);
    CHECK(this->scheduler.step().admitted == Ids{"a"});
    CHECK(this->scheduler.step().emitted.empty());
    CHECK(this->scheduler.step().emitted.empty());
    const auto last = this->scheduler.step();
    CHECK(last.emitted == Ids{"a"});
    CHECK(last.finished == Ids{"a"});
    CHECK(this->scheduler.isIdle());
}

// Guards against high-priority requests that wait behind a full batch.
TEST_CASE_METHOD(BatchSchedulerFixture, "BatchScheduler: full batch: runs by priority, then by arrival")
{
    this->scheduler.add("low", 9, 0, 5);
    this->scheduler.add("first", 5, 0, 5);
    this->scheduler.add("second", 5, 0, 5);
    CHECK(this->scheduler.step().emitted == Ids{"first", "second"});
    this->scheduler.add("urgent", 0, 0, 5);
    CHECK(this->scheduler.step().emitted == Ids{"urgent", "first"});
    CHECK(this->scheduler.running() == 2);
    CHECK(this->scheduler.waiting() == 2);
}

// Guards against evicting the start of a prefix, which makes its remaining blocks unusable.
TEST_CASE_METHOD(PrefixCacheFixture,
                 "PrefixCache: insert beyond the limit: evicts the last block of the least recently used prefix")
{
    this->cache.insert({"a1", "a2", "a3"});
    this->cache.insert({"b1"});
    CHECK(this->changes == Ids{"+a3", "+a2", "+a1", "+b1", "-a3"});
    CHECK(this->cache.match({"a1", "a2", "a3"}) == 2);
    this->cache.insert({"c1"});
    CHECK(this->cache.match({"b1"}) == 0);
    CHECK(this->cache.match({"a1", "a2"}) == 2);
    CHECK(this->cache.size() == 3);
}

// Guards against equal keys of blocks whose preceding texts differ.
TEST_CASE("PrefixCache: keys of two texts: are equal up to the first difference")
{
    const std::string common(cacheBlockBytes, 'x');
    const auto first = cacheBlockKeys(common + std::string(cacheBlockBytes, 'y') + std::string(cacheBlockBytes, 'z'));
    const auto second = cacheBlockKeys(common + std::string(cacheBlockBytes, 'w') + std::string(cacheBlockBytes, 'z'));
    REQUIRE(first.size() == 3);
    CHECK(first[0] == second[0]);
    CHECK(first[1] != second[1]);
    CHECK(first[2] != second[2]);
    CHECK(cacheBlockKeys(std::string(cacheBlockBytes - 1, 'x')).empty());
}

// Guards against answers that depend on the engine: golden files and failovers rely on equal answers.
TEST_CASE("AnswerGenerator: same prompt: gives the same tokens, another prompt gives others")
{
    const AnswerGenerator first("three wise men", {"star", "crib"});
    const AnswerGenerator again("three wise men", {"star", "crib"});
    const AnswerGenerator other("three wise women", {"star", "crib"});
    std::string text;
    std::string otherText;
    for (std::size_t index = 1; index <= 20; ++index) {
        CHECK(first.token(index) == again.token(index));
        text += first.token(index);
        otherText += other.token(index);
    }
    CHECK(text != otherText);
    CHECK(countTokens("12345") == 2);
}

// Guards against load reports and cache events that are more current or more complete than those of real engines.
TEST_CASE("LaggingValue: changed value: is reported after the lag")
{
    LaggingValue<int> value(500ms);
    const LaggingValue<int>::Time now{1h};
    value.set(1, now);
    value.set(2, now + 100ms);
    CHECK(value.value(now + 500ms) == 1);
    CHECK(value.value(now + 600ms) == 2);
}

TEST_CASE("CacheEventLog: every third event dropped: the others are published late with their sequence numbers")
{
    CacheEventLog log(300ms, 3);
    const CacheEventLog::Time now{1h};
    for (const char *block : {"a", "b", "c", "d"})
        log.add(block, true, now);
    CHECK(log.eventsAfter(0, now + 299ms).at("events").empty());
    const auto published = log.eventsAfter(1, now + 300ms);
    REQUIRE(published.at("events").size() == 2);
    CHECK(published["events"][0]["block"] == "b");
    CHECK(published["events"][1]["seq"] == 4);
    CHECK(published["last"] == 4);
}

// Guards against a stand-in that checks fencing tokens although the deployment's engines do not, and vice versa.
TEST_CASE_METHOD(OrderLogFixture, "OrderLog: order with an old token: is rejected only if tokens are checked")
{
    for (OrderLog *orderLog : {&this->checkingLog, &this->ignoringLog}) {
        CHECK(orderLog->apply({{"order", "o1"}, {"fencing", 5}, {"role", "spare"}}).isAccepted);
        CHECK(orderLog->apply({{"order", "o2"}, {"fencing", 5}, {"role", "serve"}}).isAccepted);
    }
    const nlohmann::json stale = {{"order", "o3"}, {"fencing", 4}, {"role", "stale"}};
    CHECK_FALSE(this->checkingLog.apply(stale).isAccepted);
    CHECK(this->checkingLog.state().role == "serve");
    CHECK(this->ignoringLog.apply(stale).isAccepted);
    CHECK(this->ignoringLog.state().role == "stale");
    CHECK(this->ignoringLog.report().at("fencing") == 5);
}

TEST_CASE_METHOD(OrderLogFixture, "OrderLog: order of another version: changes the model, a change of role does not")
{
    CHECK(this->checkingLog.apply({{"fencing", 1}, {"version", "2"}}).changesModel);
    CHECK_FALSE(this->checkingLog.apply({{"fencing", 1}, {"role", "spare"}}).changesModel);
}
