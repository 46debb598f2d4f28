#include "relay/storepollrouter.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

/// A router whose store and peers answer when the test says so.
class StorePollRouterFixture
{
protected:
    struct Call
    {
        std::string receiver; ///< "store", or the address of a peer.
        std::chrono::milliseconds wait{0};
        bool isCancelled = false;
        std::function<void(const KvChanges &)> storeDone;
        std::function<void(const PeerPollResult &)> peerDone;
        std::int64_t era = 0; ///< Of a poll at a peer.
    };

    StorePollRouterFixture()
    {
        KvAccess kv;
        kv.waitForChanges = [this](const std::string &,
                                   std::int64_t,
                                   std::chrono::milliseconds wait,
                                   std::function<void(const KvChanges &)> done) -> std::function<void()> {
            return this->addCall({"store", wait, false, std::move(done), {}});
        };
        kv.readPage =
            [this](const std::string &, const std::string &, const std::function<void(const KvPage &)> &done) {
                KvPage page;
                page.range.status = KvStatus::Ok;
                page.range.revision = this->revision;
                done(page);
            };
        StorePollRouterHooks hooks;
        hooks.now = [this] { return this->now; };
        hooks.reader = [this](const std::set<std::string> &excluded) -> std::optional<StoreReader> {
            for (const std::string &reader : this->readers) {
                if (!excluded.contains(reader))
                    return StoreReader{reader, reader};
            }
            return std::nullopt;
        };
        hooks.askPeer = [this](const std::string &address,
                               const StorePoll &poll,
                               std::function<void(const PeerPollResult &)> done) {
            return this->addCall({address, poll.wait, false, {}, std::move(done), poll.era});
        };
        hooks.era = [this] { return this->era; };
        hooks.eraTold = [this](std::int64_t told) {
            const bool isRestore = told > this->era;
            this->era = std::max(this->era, told);
            if (isRestore && this->restored)
                this->restored();
            return told >= this->era;
        };
        hooks.restartPolls = [this] {
            ++this->restarts;
            if (this->cancelPoll)
                this->poll();
        };
        this->router = std::make_unique<StorePollRouter>(kv, hooks);
        this->access = this->router->access();
    }

    std::function<void()> addCall(Call call)
    {
        this->calls.push_back(std::move(call));
        const std::size_t index = this->calls.size() - 1;
        return [this, index] { this->calls[index].isCancelled = true; };
    }

    /// Reads all keys, as a watcher does before its first poll.
    void load()
    {
        this->access.readPage("servers/", {}, [](const KvPage &) {});
        this->router->server().keysLoaded("servers/", this->revision, 0);
    }

    void poll()
    {
        if (this->cancelPoll)
            std::exchange(this->cancelPoll, nullptr)();
        this->cancelPoll = this->access.waitForChanges(
            "servers/", this->revision, std::chrono::milliseconds(2600), [this](const KvChanges &changes) {
                this->cancelPoll = nullptr;
                this->results.push_back(changes);
            });
    }

    static KvChanges changes(std::int64_t revision)
    {
        KvChanges changes;
        changes.status = KvStatus::Ok;
        changes.revision = revision;
        return changes;
    }

    static PeerPollResult answered(std::int64_t revision)
    {
        return {PeerPollResult::Status::Answered, changes(revision), {}};
    }

    void pass(std::chrono::milliseconds time)
    {
        this->now += time;
        this->router->tick();
    }

    const std::string &lastReceiver() const
    {
        return this->calls.back().receiver;
    }

    std::int64_t revision = 10;
    std::int64_t era = 0; ///< Of the store.
    std::vector<std::string> readers; ///< Peers that read the store, in the order in which they are chosen.
    std::vector<Call> calls;
    std::vector<KvChanges> results;
    std::function<void()> cancelPoll;
    int restarts = 0;
    std::function<void()> restored; ///< Called when a peer tells a later era; may be unset.
    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
    std::unique_ptr<StorePollRouter> router;
    KvAccess access;
};

} // namespace

TEST_CASE_METHOD(StorePollRouterFixture, "StorePollRouter: no peer reads for this VM: polls go to the store")
{
    this->poll();
    CHECK(this->lastReceiver() == "store");
    CHECK(this->calls.back().wait == std::chrono::milliseconds(2600));
    this->calls.back().storeDone(changes(12));
    REQUIRE(this->results.size() == 1);
    CHECK(this->results.front().revision == 12);
    CHECK(this->router->readsStore());
}

TEST_CASE_METHOD(StorePollRouterFixture, "StorePollRouter: a peer reads for this VM: its answer counts")
{
    this->readers = {"vm-2"};
    this->pass(std::chrono::milliseconds(100));
    CHECK_FALSE(this->router->readsStore());
    this->poll();
    CHECK(this->lastReceiver() == "vm-2");
    this->calls.back().peerDone(answered(12));
    REQUIRE(this->results.size() == 1);
    CHECK(this->results.front().status == KvStatus::Ok);
}

// Guards against a VM that goes on without news when the peer that reads for it was killed, frozen or cut off.
TEST_CASE_METHOD(StorePollRouterFixture,
                 "StorePollRouter: the reader does not answer: the store is asked at once, without a wait")
{
    this->readers = {"vm-2"};
    this->pass(std::chrono::milliseconds(100));
    this->poll();
    this->calls.back().peerDone({PeerPollResult::Status::NoAnswer, {}, "timeout"});
    REQUIRE(this->lastReceiver() == "store");
    CHECK(this->calls.back().wait <= std::chrono::milliseconds(1));
    CHECK(this->results.empty());
    this->calls.back().storeDone(changes(12));
    REQUIRE(this->results.size() == 1);
    CHECK(this->results.front().status == KvStatus::Ok);
}

TEST_CASE_METHOD(StorePollRouterFixture,
                 "StorePollRouter: the reader does not answer and another is known: the store's answer is awaited")
{
    this->readers = {"vm-2", "vm-3"};
    this->pass(std::chrono::milliseconds(100));
    this->poll();
    this->calls.back().peerDone({PeerPollResult::Status::NoAnswer, {}, "timeout"});
    this->pass(std::chrono::milliseconds(100));
    CHECK(this->lastReceiver() == "store");
    CHECK_FALSE(this->calls.back().isCancelled);
    this->calls.back().storeDone(changes(12));
    this->pass(std::chrono::milliseconds(100));
    this->poll();
    CHECK(this->lastReceiver() == "vm-3");
}

TEST_CASE_METHOD(StorePollRouterFixture, "StorePollRouter: the reader failed: it is asked again after some seconds")
{
    this->readers = {"vm-2"};
    this->pass(std::chrono::milliseconds(100));
    this->poll();
    this->calls.back().peerDone({PeerPollResult::Status::NoAnswer, {}, "timeout"});
    this->calls.back().storeDone(changes(12));
    this->pass(std::chrono::milliseconds(100));
    this->poll();
    CHECK(this->lastReceiver() == "store");
    this->pass(std::chrono::seconds(6));
    CHECK(this->lastReceiver() == "vm-2");
}

// Guards against readers that are cut off alone and make others take the store for lost, and against entries that
// expired in an outage being taken for removed upstreams: an outage counts as such only after failed reads.
TEST_CASE_METHOD(StorePollRouterFixture,
                 "StorePollRouter: the reader has lost the store: the store is asked at once, and its answer counts")
{
    this->readers = {"vm-2"};
    this->pass(std::chrono::milliseconds(100));
    this->poll();
    this->calls.back().peerDone({PeerPollResult::Status::StoreLost, {}, "lost"});
    CHECK(this->results.empty());
    REQUIRE(this->lastReceiver() == "store");
    CHECK(this->calls.back().wait < std::chrono::milliseconds(100));
    const bool isLostHere = GENERATE(true, false);
    this->calls.back().storeDone(isLostHere ? KvChanges{} : changes(12));
    REQUIRE(this->results.size() == 1);
    CHECK((this->results.front().status != KvStatus::Ok) == isLostHere);
    this->poll();
    CHECK(this->lastReceiver() == "store");
}

TEST_CASE_METHOD(StorePollRouterFixture, "StorePollRouter: the reader is no longer heard: waiting polls move at once")
{
    this->readers = {"vm-2", "vm-3"};
    this->pass(std::chrono::milliseconds(100));
    this->poll();
    this->readers = {"vm-3"};
    this->pass(std::chrono::milliseconds(100));
    CHECK(this->calls[0].isCancelled);
    CHECK(this->lastReceiver() == "vm-3");
}

// Guards against answers that pass through two VMs, whose ages would add up.
TEST_CASE_METHOD(StorePollRouterFixture,
                 "StorePollRouter: a VM that polls a peer is asked itself: reads the store before it answers")
{
    this->readers = {"vm-2"};
    this->pass(std::chrono::milliseconds(100));
    this->load();
    this->pass(std::chrono::seconds(10));
    this->poll();
    CHECK(this->lastReceiver() == "vm-2");
    std::vector<int> statuses;
    this->router->handlePoll({"servers/", this->revision, std::chrono::milliseconds(2600)},
                             [&statuses](int status, const std::string &) { statuses.push_back(status); });
    CHECK(this->router->readsStore());
    REQUIRE(this->lastReceiver() == "store");
    CHECK(this->calls.back().wait <= std::chrono::milliseconds(1));
    CHECK(statuses.empty());
    this->calls.back().storeDone(changes(11));
    this->poll();
    CHECK(this->calls.back().wait == std::chrono::milliseconds(2600));
    this->pass(std::chrono::milliseconds(2600));
    CHECK(statuses == std::vector<int>{200});
}

TEST_CASE_METHOD(StorePollRouterFixture, "StorePollRouter: own poll of the store fails: peers that wait are told")
{
    this->load();
    std::vector<int> statuses;
    this->poll();
    this->router->handlePoll({"servers/", this->revision, std::chrono::milliseconds(2600)},
                             [&statuses](int status, const std::string &) { statuses.push_back(status); });
    CHECK(statuses.empty());
    this->calls.back().storeDone(KvChanges{});
    CHECK(statuses == std::vector<int>{storeLostStatus});
}

TEST_CASE_METHOD(StorePollRouterFixture, "StorePollRouter: poll is cancelled: a late answer is dropped")
{
    this->readers = {"vm-2"};
    this->pass(std::chrono::milliseconds(100));
    this->poll();
    std::exchange(this->cancelPoll, nullptr)();
    CHECK(this->calls.back().isCancelled);
    this->calls.back().peerDone({PeerPollResult::Status::NoAnswer, {}, "cancelled"});
    CHECK(this->results.empty());
    CHECK(this->calls.size() == 1);
}

// Guards against a VM that restarts and takes over upstreams or keys from a peer that has an old list.
TEST_CASE_METHOD(StorePollRouterFixture, "StorePollRouter: a peer reads for this VM: a full read goes to the store")
{
    this->readers = {"vm-2"};
    this->pass(std::chrono::milliseconds(100));
    std::int64_t revision = 0;
    this->access.readPage("servers/", {}, [&revision](const KvPage &page) { revision = page.range.revision; });
    CHECK(revision == this->revision);
    CHECK(this->calls.empty());
}

TEST_CASE_METHOD(StorePollRouterFixture,
                 "StorePollRouter: reader answers from another era of the store: its changes do not count")
{
    this->era = 2;
    this->readers = {"reader"};
    const std::int64_t told = GENERATE(std::int64_t{1}, std::int64_t{3});
    this->poll();
    CHECK(this->calls.back().era == 2);
    PeerPollResult result = answered(12);
    result.changes.era = told;
    this->calls.back().peerDone(result);
    REQUIRE(this->results.size() == 1);
    CHECK(this->results.front().status == KvStatus::Unknown);
    CHECK(this->era == std::max(std::int64_t{2}, told));
}

// Guards against a poll that goes on beside the full read which replaces it.
TEST_CASE_METHOD(StorePollRouterFixture,
                 "StorePollRouter: reader tells of a restore that cancels the poll: the poll ends without an answer")
{
    this->era = 2;
    this->readers = {"reader"};
    this->restored = [this] { std::exchange(this->cancelPoll, nullptr)(); };
    this->poll();
    PeerPollResult result = answered(12);
    result.changes.era = 3;
    this->calls.back().peerDone(result);
    CHECK(this->results.empty());
}
