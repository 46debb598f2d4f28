#include "relay/storeera.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace hemlock;

namespace {

/// A store whose calls end when the test says so.
class StoreEraFixture
{
protected:
    StoreEraFixture()
    {
        this->kv.range = [this](const std::string &, bool, std::function<void(const KvRangeResult &)> done) {
            this->rangesDone.push_back(std::move(done));
        };
        this->kv.waitForChanges = [this](const std::string &,
                                         std::int64_t,
                                         std::chrono::milliseconds,
                                         std::function<void(const KvChanges &)> done) -> std::function<void()> {
            this->changesDone = std::move(done);
            return [] {};
        };
        this->era.setRestoredHook(
            [this](std::int64_t before, std::int64_t now) { this->restores.emplace_back(before, now); });
        this->access = this->era.observed(this->kv);
    }

    void startRange()
    {
        this->access.range("key", false, [this](const KvRangeResult &result) { this->results.push_back(result); });
    }

    void answerRange(std::int64_t era)
    {
        KvRangeResult result;
        result.status = KvStatus::Ok;
        result.era = era;
        const auto done = std::move(this->rangesDone.front());
        this->rangesDone.pop_front();
        done(result);
    }

    KvAccess kv;
    StoreEra era;
    KvAccess access;
    std::deque<std::function<void(const KvRangeResult &)>> rangesDone;
    std::function<void(const KvChanges &)> changesDone;
    std::vector<KvRangeResult> results;
    std::vector<std::pair<std::int64_t, std::int64_t>> restores;
};

} // namespace

TEST_CASE_METHOD(StoreEraFixture, "StoreEra: first answer of a process tells an era: is no restore")
{
    this->startRange();
    this->answerRange(7);
    CHECK(this->era.current() == 7);
    CHECK(this->restores.empty());
}

TEST_CASE_METHOD(StoreEraFixture, "StoreEra: era rises: is a restore, and late answers of the earlier era fail")
{
    for (int i = 0; i < 4; ++i)
        this->startRange();
    this->answerRange(7);
    this->answerRange(8);
    this->answerRange(7);
    this->answerRange(8);
    CHECK(this->restores == std::vector<std::pair<std::int64_t, std::int64_t>>{{7, 8}});
    CHECK(this->results[1].status == KvStatus::Ok);
    CHECK(this->results[2].status == KvStatus::Unknown);
    CHECK(this->results[3].status == KvStatus::Ok);
}

TEST_CASE_METHOD(StoreEraFixture, "StoreEra: store tells no era: answers count as before")
{
    this->startRange();
    this->answerRange(0);
    CHECK(this->results[0].status == KvStatus::Ok);
    CHECK(this->era.current() == 0);
}

TEST_CASE_METHOD(StoreEraFixture, "StoreEra: wait for changes ends in a later era than it began: fails")
{
    this->startRange();
    this->answerRange(7);
    KvChanges received;
    this->access.waitForChanges(
        "prefix", 10, std::chrono::milliseconds(1), [&received](const KvChanges &changes) { received = changes; });
    KvChanges changes;
    changes.status = KvStatus::Ok;
    changes.era = 8;
    this->changesDone(changes);
    CHECK(received.status == KvStatus::Unknown);
    CHECK(this->restores.size() == 1);
}
