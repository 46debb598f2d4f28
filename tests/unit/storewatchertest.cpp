#include "relay/storewatcher.h"

#include <asio/io_context.hpp>

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

/// A watcher with a store whose answers the test gives explicitly.
class StoreWatcherFixture
{
protected:
    explicit StoreWatcherFixture(std::chrono::milliseconds firstPollDelay = {})
        : firstPollDelay(firstPollDelay)
    {
        KvAccess kv;
        kv.readPage = [this](const std::string &, const std::string &after, std::function<void(const KvPage &)> done) {
            this->pagesAfter.push_back(after);
            this->pageDone = std::move(done);
        };
        kv.waitForChanges = [this](const std::string &,
                                   std::int64_t revision,
                                   std::chrono::milliseconds wait,
                                   std::function<void(const KvChanges &)> done) -> std::function<void()> {
            this->polledRevisions.push_back(revision);
            this->pollWaits.push_back(wait);
            this->changesDone = std::move(done);
            return [this] { ++this->cancelledPolls; };
        };
        StoreWatcherHooks hooks;
        hooks.snapshotLoaded = [this](const std::map<std::string, std::string> &values) {
            this->snapshots.push_back(values);
        };
        hooks.keysChanged = [this](const std::vector<KvEvent> &events) { this->eventCount += events.size(); };
        hooks.reachabilityChanged = [this](bool reachable, const std::string &) {
            this->reachability.push_back(reachable);
        };
        StoreWatcherSettings settings;
        settings.initialRetryDelay = std::chrono::milliseconds(1);
        settings.maxRetryDelay = std::chrono::milliseconds(1);
        settings.batchDelay = std::chrono::milliseconds(1);
        settings.firstPollDelay = this->firstPollDelay;
        this->watcher = std::make_unique<StoreWatcher>(this->loop, kv, settings, hooks);
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

    void runTimer()
    {
        this->loop.restart();
        this->loop.run_one();
    }

    std::chrono::milliseconds firstPollDelay;
    asio::io_context loop;
    std::function<void(const KvPage &)> pageDone;
    std::function<void(const KvChanges &)> changesDone;
    std::vector<std::string> pagesAfter;
    std::vector<std::int64_t> polledRevisions;
    std::vector<std::chrono::milliseconds> pollWaits;
    std::vector<std::map<std::string, std::string>> snapshots;
    std::size_t eventCount = 0;
    int cancelledPolls = 0;
    std::vector<bool> reachability;
    std::unique_ptr<StoreWatcher> watcher;
};

} // namespace

TEST_CASE_METHOD(StoreWatcherFixture, "StoreWatcher: keys arrive in two pages: polls from the first page's revision")
{
    this->watcher->start();
    this->pageDone(page(10, {"a", "b"}, true));
    CHECK(this->pagesAfter.back() == "b");
    this->pageDone(page(14, {"c"}));
    REQUIRE(this->snapshots.size() == 1);
    CHECK(this->snapshots.front().size() == 3);
    CHECK(this->polledRevisions == std::vector<std::int64_t>{10});
}

TEST_CASE_METHOD(StoreWatcherFixture, "StoreWatcher: history was compacted: all keys are read again")
{
    this->watcher->start();
    this->pageDone(page(10, {"a"}));
    KvChanges compacted;
    compacted.isCompacted = true;
    this->changesDone(compacted);
    this->pageDone(page(30, {"b"}));
    REQUIRE(this->snapshots.size() == 2);
    CHECK(this->snapshots.back().contains("b"));
    CHECK(this->polledRevisions.back() == 30);
}

TEST_CASE_METHOD(StoreWatcherFixture, "StoreWatcher: full read returns an older state: it is discarded and repeated")
{
    this->watcher->start();
    this->pageDone(page(10, {"a"}));
    KvChanges compacted;
    compacted.isCompacted = true;
    this->changesDone(compacted);
    this->pageDone(page(9, {"old"}));
    CHECK(this->snapshots.size() == 1);
    this->runTimer();
    this->pageDone(page(11, {"new"}));
    REQUIRE(this->snapshots.size() == 2);
    CHECK(this->snapshots.back().contains("new"));
}

TEST_CASE_METHOD(StoreWatcherFixture,
                 "StoreWatcher: reload was requested: an older state counts, and what was in progress does not")
{
    this->watcher->start();
    this->pageDone(page(100, {"a"}));
    this->changesDone(KvChanges{});
    this->changesDone(KvChanges{});
    const auto oldPage = this->pageDone;
    this->watcher->reload();
    CHECK(this->pagesAfter.size() == 2);
    oldPage(page(100, {"a"}));
    CHECK(this->snapshots.size() == 1);
    this->pageDone(page(20, {"a", "b"}));
    CHECK(this->watcher->revision() == 20);
    CHECK(this->snapshots.back().size() == 2);
    CHECK(this->polledRevisions.back() == 20);
    this->loop.run_for(std::chrono::milliseconds(5));
    CHECK(this->pagesAfter.size() == 2);
}

TEST_CASE_METHOD(StoreWatcherFixture, "StoreWatcher: one poll fails: the next one starts from the same revision")
{
    this->watcher->start();
    this->pageDone(page(10, {"a"}));
    this->changesDone(KvChanges{});
    CHECK(this->reachability == std::vector<bool>{true});
    this->runTimer();
    CHECK(this->polledRevisions == std::vector<std::int64_t>{10, 10});
    this->changesDone(changes(12, 1));
    CHECK(this->reachability == std::vector<bool>{true});
    CHECK(this->eventCount == 1);
    CHECK(this->watcher->revision() == 12);
}

// Guards against a store that is taken as unreachable because it ends two long polls in a row.
TEST_CASE_METHOD(StoreWatcherFixture, "StoreWatcher: one poll fails: the next one does not wait for changes")
{
    this->watcher->start();
    this->pageDone(page(10, {"a"}));
    this->changesDone(KvChanges{});
    this->runTimer();
    REQUIRE(this->pollWaits.size() == 2);
    CHECK(this->pollWaits.back() < std::chrono::milliseconds(100));
    this->changesDone(changes(10, 0));
    REQUIRE(this->pollWaits.size() == 3);
    CHECK(this->pollWaits.back() == this->pollWaits.front());
}

TEST_CASE_METHOD(StoreWatcherFixture,
                 "StoreWatcher: three reads fail: the store is reported unreachable once and reachable once")
{
    this->watcher->start();
    this->pageDone(page(10, {"a"}));
    this->changesDone(KvChanges{});
    this->runTimer();
    this->changesDone(KvChanges{});
    CHECK(this->reachability == std::vector<bool>{true, false});
    this->runTimer();
    this->pageDone(KvPage{});
    CHECK(this->reachability == std::vector<bool>{true, false});
    this->runTimer();
    this->pageDone(page(20, {"a"}));
    CHECK(this->reachability == std::vector<bool>{true, false, true});
}

TEST_CASE_METHOD(StoreWatcherFixture, "StoreWatcher: two polls fail: all keys are read again when the store answers")
{
    this->watcher->start();
    this->pageDone(page(10, {"a"}));
    this->changesDone(KvChanges{});
    this->runTimer();
    this->changesDone(KvChanges{});
    this->runTimer();
    this->pageDone(page(20, {"a", "b"}));
    CHECK(this->snapshots.size() == 2);
    CHECK(this->polledRevisions.back() == 20);
}

TEST_CASE_METHOD(StoreWatcherFixture, "StoreWatcher: poll is failed from outside: it is cancelled and retried")
{
    this->watcher->start();
    this->pageDone(page(10, {"a"}));
    this->watcher->failPoll("no answer");
    CHECK(this->cancelledPolls == 1);
    this->runTimer();
    CHECK(this->polledRevisions == std::vector<std::int64_t>{10, 10});
    this->watcher->failPoll("no answer");
    CHECK(this->cancelledPolls == 2);
    CHECK(this->reachability == std::vector<bool>{true, false});
}

// Guards against changes that are missed because a poll started during an outage is never answered.
TEST_CASE_METHOD(StoreWatcherFixture,
                 "StoreWatcher: store answers again: the poll started during the outage is restarted at once")
{
    this->watcher->start();
    this->pageDone(page(10, {"a"}));
    this->watcher->failPoll("no answer");
    this->runTimer();
    this->watcher->restartPoll();
    CHECK(this->cancelledPolls == 2);
    CHECK(this->polledRevisions == std::vector<std::int64_t>{10, 10, 10});
    this->changesDone(changes(12, 1));
    CHECK(this->eventCount == 1);
}

TEST_CASE_METHOD(StoreWatcherFixture,
                 "StoreWatcher: poll is failed from outside during a retry delay: only one poll is started")
{
    this->watcher->start();
    this->pageDone(page(10, {"a"}));
    this->changesDone(KvChanges{});
    this->watcher->failPoll("no answer");
    this->runTimer();
    CHECK(this->polledRevisions.size() == 2);
}

// Guards against one read per change when many upstreams start or stop together.
TEST_CASE_METHOD(StoreWatcherFixture, "StoreWatcher: changes were read: the next poll starts after the batch delay")
{
    this->watcher->start();
    this->pageDone(page(10, {"a"}));
    this->changesDone(changes(12, 1));
    CHECK(this->eventCount == 1);
    CHECK(this->polledRevisions.size() == 1);
    this->runTimer();
    CHECK(this->polledRevisions == std::vector<std::int64_t>{10, 12});
}

TEST_CASE_METHOD(StoreWatcherFixture, "StoreWatcher: poll ended without changes: the next one starts at once")
{
    this->watcher->start();
    this->pageDone(page(10, {"a"}));
    this->changesDone(changes(12, 0));
    CHECK(this->polledRevisions == std::vector<std::int64_t>{10, 12});
}

// Guards against treating a lost connection as a store outage: after an outage expired entries get a grace period, in
// which an upstream that has stopped would still be used.
TEST_CASE_METHOD(StoreWatcherFixture,
                 "StoreWatcher: one poll fails and the next is answered: the store is never reported unreachable")
{
    this->watcher->start();
    this->pageDone(page(10, {"a"}));
    this->changesDone(KvChanges{});
    this->runTimer();
    this->changesDone(changes(12, 1));
    CHECK(this->reachability == std::vector<bool>{true});
}

namespace {

class DelayedStoreWatcherFixture : public StoreWatcherFixture
{
protected:
    DelayedStoreWatcherFixture()
        : StoreWatcherFixture(std::chrono::milliseconds(1))
    {
    }
};

} // namespace

TEST_CASE_METHOD(DelayedStoreWatcherFixture, "StoreWatcher: first read of a start: only the first poll is delayed")
{
    this->watcher->start();
    this->pageDone(page(10, {"a"}));
    CHECK(this->snapshots.size() == 1);
    CHECK(this->polledRevisions.empty());
    this->runTimer();
    CHECK(this->polledRevisions == std::vector<std::int64_t>{10});
    KvChanges compacted;
    compacted.isCompacted = true;
    this->changesDone(compacted);
    this->pageDone(page(30, {"b"}));
    CHECK(this->polledRevisions == std::vector<std::int64_t>{10, 30});
}
