#include "relay/storefollower.h"

#include <asio/io_context.hpp>

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

/// A store that answers by hand.
class StoreFollowerFixture
{
protected:
    StoreFollowerFixture()
    {
        KvAccess kv;
        kv.page = [this](const std::string &, const std::string &after, std::function<void(const KvPage &)> done) {
            this->pagesAfter.push_back(after);
            this->pageDone = std::move(done);
        };
        kv.changes = [this](const std::string &,
                            std::int64_t revision,
                            std::chrono::milliseconds,
                            std::function<void(const KvChanges &)> done) -> std::function<void()> {
            this->followed.push_back(revision);
            this->changesDone = std::move(done);
            return [this] { ++this->stopped; };
        };
        StoreFollowerHooks hooks;
        hooks.loaded = [this](const std::map<std::string, std::string> &values) { this->loads.push_back(values); };
        hooks.changed = [this](const std::vector<KvEvent> &events) { this->events += events.size(); };
        hooks.reachabilityChanged = [this](bool reachable, const std::string &) {
            this->reachability.push_back(reachable);
        };
        StoreFollowerSettings settings;
        settings.retryPause = std::chrono::milliseconds(1);
        settings.longestPause = std::chrono::milliseconds(1);
        settings.changePause = std::chrono::milliseconds(1);
        this->follower = std::make_unique<StoreFollower>(this->loop, kv, settings, hooks);
    }

    static KvPage page(std::int64_t revision, const std::vector<std::string> &keys, bool hasMore = false)
    {
        KvPage page;
        page.range.status = KvStatus::Ok;
        page.range.revision = revision;
        for (const std::string &key : keys) {
            KvEntry entry;
            entry.key = key;
            entry.value = "v";
            page.range.entries.push_back(entry);
        }
        page.hasMore = hasMore;
        return page;
    }

    static KvChanges changes(std::int64_t revision, std::size_t count)
    {
        KvChanges changes;
        changes.status = KvStatus::Ok;
        changes.revision = revision;
        changes.events.resize(count);
        return changes;
    }

    void runTimers()
    {
        this->loop.restart();
        this->loop.run_one();
    }

    asio::io_context loop;
    std::function<void(const KvPage &)> pageDone;
    std::function<void(const KvChanges &)> changesDone;
    std::vector<std::string> pagesAfter;
    std::vector<std::int64_t> followed;
    std::vector<std::map<std::string, std::string>> loads;
    std::size_t events = 0;
    int stopped = 0;
    std::vector<bool> reachability;
    std::unique_ptr<StoreFollower> follower;
};

} // namespace

TEST_CASE_METHOD(StoreFollowerFixture, "StoreFollower: keys come in two pages: follows from the first page's revision")
{
    this->follower->start();
    this->pageDone(page(10, {"a", "b"}, true));
    CHECK(this->pagesAfter.back() == "b");
    this->pageDone(page(14, {"c"}));
    REQUIRE(this->loads.size() == 1);
    CHECK(this->loads.front().size() == 3);
    CHECK(this->followed == std::vector<std::int64_t>{10});
}

TEST_CASE_METHOD(StoreFollowerFixture, "StoreFollower: history was dropped: everything is read again")
{
    this->follower->start();
    this->pageDone(page(10, {"a"}));
    KvChanges compacted;
    compacted.isCompacted = true;
    this->changesDone(compacted);
    this->pageDone(page(30, {"b"}));
    REQUIRE(this->loads.size() == 2);
    CHECK(this->loads.back().contains("b"));
    CHECK(this->followed.back() == 30);
}

TEST_CASE_METHOD(StoreFollowerFixture,
                 "StoreFollower: store answers with an older state: is asked again, nothing goes back")
{
    this->follower->start();
    this->pageDone(page(10, {"a"}));
    KvChanges compacted;
    compacted.isCompacted = true;
    this->changesDone(compacted);
    this->pageDone(page(9, {"old"}));
    CHECK(this->loads.size() == 1);
    this->runTimers();
    this->pageDone(page(11, {"new"}));
    REQUIRE(this->loads.size() == 2);
    CHECK(this->loads.back().contains("new"));
}

TEST_CASE_METHOD(StoreFollowerFixture, "StoreFollower: one read fails: is followed again from the same revision")
{
    this->follower->start();
    this->pageDone(page(10, {"a"}));
    this->changesDone(KvChanges{});
    CHECK(this->reachability == std::vector<bool>{true});
    this->runTimers();
    CHECK(this->followed == std::vector<std::int64_t>{10, 10});
    this->changesDone(changes(12, 1));
    CHECK(this->reachability == std::vector<bool>{true});
    CHECK(this->events == 1);
    CHECK(this->follower->revision() == 12);
}

TEST_CASE_METHOD(StoreFollowerFixture,
                 "StoreFollower: store is away for three reads: is reported lost once and regained once")
{
    this->follower->start();
    this->pageDone(page(10, {"a"}));
    this->changesDone(KvChanges{});
    this->runTimers();
    this->changesDone(KvChanges{});
    CHECK(this->reachability == std::vector<bool>{true, false});
    this->runTimers();
    this->pageDone(KvPage{});
    CHECK(this->reachability == std::vector<bool>{true, false});
    this->runTimers();
    this->pageDone(page(20, {"a"}));
    CHECK(this->reachability == std::vector<bool>{true, false, true});
}

TEST_CASE_METHOD(StoreFollowerFixture,
                 "StoreFollower: store stays away for two tries: everything is read again when it returns")
{
    this->follower->start();
    this->pageDone(page(10, {"a"}));
    this->changesDone(KvChanges{});
    this->runTimers();
    this->changesDone(KvChanges{});
    this->runTimers();
    this->pageDone(page(20, {"a", "b"}));
    CHECK(this->loads.size() == 2);
    CHECK(this->followed.back() == 20);
}

TEST_CASE_METHOD(StoreFollowerFixture, "StoreFollower: store falls silent: the waiting read is given up and begun anew")
{
    this->follower->start();
    this->pageDone(page(10, {"a"}));
    this->follower->interrupt("no answer");
    CHECK(this->stopped == 1);
    this->runTimers();
    CHECK(this->followed == std::vector<std::int64_t>{10, 10});
    this->follower->interrupt("no answer");
    CHECK(this->stopped == 2);
    CHECK(this->reachability == std::vector<bool>{true, false});
}

// Guards against news that are missed by a read that was begun while the store was silent.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "StoreFollower: store answers again: the waiting read of the silence is begun anew at once")
{
    this->follower->start();
    this->pageDone(page(10, {"a"}));
    this->follower->interrupt("no answer");
    this->runTimers();
    this->follower->renew();
    CHECK(this->stopped == 2);
    CHECK(this->followed == std::vector<std::int64_t>{10, 10, 10});
    this->changesDone(changes(12, 1));
    CHECK(this->events == 1);
}

TEST_CASE_METHOD(StoreFollowerFixture, "StoreFollower: store falls silent during a pause: nothing is begun twice")
{
    this->follower->start();
    this->pageDone(page(10, {"a"}));
    this->changesDone(KvChanges{});
    this->follower->interrupt("no answer");
    this->runTimers();
    CHECK(this->followed.size() == 2);
}

// The load is a swarm of upstreams that start or leave together.
TEST_CASE_METHOD(StoreFollowerFixture, "StoreFollower: changes were read: the next read begins after a pause")
{
    this->follower->start();
    this->pageDone(page(10, {"a"}));
    this->changesDone(changes(12, 1));
    CHECK(this->events == 1);
    CHECK(this->followed.size() == 1);
    this->runTimers();
    CHECK(this->followed == std::vector<std::int64_t>{10, 12});
}

TEST_CASE_METHOD(StoreFollowerFixture, "StoreFollower: wait ended without changes: the next read begins at once")
{
    this->follower->start();
    this->pageDone(page(10, {"a"}));
    this->changesDone(changes(12, 0));
    CHECK(this->followed == std::vector<std::int64_t>{10, 12});
}

// Guards against a grace time for lapsed entries, in which an upstream that left is still used, after a lost
// connection.
TEST_CASE_METHOD(StoreFollowerFixture,
                 "StoreFollower: one waiting read is cut and the next is answered: the store was never away")
{
    this->follower->start();
    this->pageDone(page(10, {"a"}));
    this->changesDone(KvChanges{});
    this->runTimers();
    this->changesDone(changes(12, 1));
    CHECK(this->reachability == std::vector<bool>{true});
}
