#include "relay/storepollserver.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class StorePollServerFixture
{
protected:
    void load(std::int64_t revision, std::int64_t era = 0)
    {
        this->server.storeAnswered("servers/", this->now + std::chrono::seconds(3));
        this->server.keysLoaded("servers/", revision, era);
    }

    void change(const std::string &key, std::int64_t revision)
    {
        KvEvent event;
        event.entry.key = key;
        event.entry.value = std::string("\xff\x00v", 3);
        event.entry.modRevision = revision;
        this->server.storeAnswered("servers/", this->now + std::chrono::seconds(3));
        this->server.keysChanged("servers/", {event}, revision);
    }

    void poll(std::int64_t revision, std::int64_t era = 0)
    {
        this->server.poll(
            {"servers/", revision, std::chrono::milliseconds(2000), era},
            [this](int status, const std::string &body) {
                this->answers.push_back(decodePeerPollResult(status, body));
            },
            this->now);
    }

    void pass(std::chrono::milliseconds time)
    {
        this->now += time;
        this->server.tick(this->now);
    }

    StorePollServer server;
    std::vector<PeerPollResult> answers;
    std::chrono::steady_clock::time_point now{std::chrono::hours(1)};
};

} // namespace

TEST_CASE_METHOD(StorePollServerFixture, "StorePollServer: key changes: waiting polls are answered at once")
{
    this->load(10);
    this->poll(10);
    CHECK(this->answers.empty());
    this->change("servers/a", 12);
    REQUIRE(this->answers.size() == 1);
    CHECK(this->answers.front().status == PeerPollResult::Status::Answered);
    CHECK(this->answers.front().changes.revision == 12);
    REQUIRE(this->answers.front().changes.events.size() == 1);
    CHECK(this->answers.front().changes.events.front().entry.key == "servers/a");
    CHECK(this->answers.front().changes.events.front().entry.value == std::string("\xff\x00v", 3));
    CHECK(this->server.waitingCount() == 0);
}

TEST_CASE_METHOD(StorePollServerFixture, "StorePollServer: nothing changes: the poll is answered when its wait ends")
{
    this->load(10);
    this->poll(10);
    this->pass(std::chrono::milliseconds(1900));
    CHECK(this->answers.empty());
    this->pass(std::chrono::milliseconds(100));
    REQUIRE(this->answers.size() == 1);
    CHECK(this->answers.front().status == PeerPollResult::Status::Answered);
    CHECK(this->answers.front().changes.events.empty());
}

TEST_CASE_METHOD(StorePollServerFixture, "StorePollServer: peer knows a later revision: it is not told an earlier one")
{
    this->load(10);
    this->poll(15);
    this->pass(std::chrono::milliseconds(2000));
    REQUIRE(this->answers.size() == 1);
    CHECK(this->answers.front().changes.revision == 15);
}

TEST_CASE_METHOD(StorePollServerFixture, "StorePollServer: peer knows an older revision than kept: reads all keys")
{
    this->load(10);
    this->poll(9);
    REQUIRE(this->answers.size() == 1);
    CHECK(this->answers.front().changes.isCompacted);
}

// Guards against neighbours that go on with an old list because the VM that reads for them has lost the store.
TEST_CASE_METHOD(StorePollServerFixture, "StorePollServer: own read fails: waiting and later polls are told at once")
{
    this->load(10);
    this->poll(10);
    this->server.storeLost("servers/");
    REQUIRE(this->answers.size() == 1);
    CHECK(this->answers.back().status == PeerPollResult::Status::StoreLost);
    this->poll(10);
    REQUIRE(this->answers.size() == 2);
    CHECK(this->answers.back().status == PeerPollResult::Status::StoreLost);
    this->change("servers/a", 11);
    this->poll(11);
    CHECK(this->answers.size() == 2);
}

// Guards against a VM that wakes after a pause and vouches for what it knew before.
TEST_CASE_METHOD(StorePollServerFixture, "StorePollServer: paused for longer than a read lasts: has no answer")
{
    this->load(10);
    this->poll(10);
    this->pass(std::chrono::seconds(5));
    REQUIRE(this->answers.size() == 1);
    CHECK(this->answers.front().status == PeerPollResult::Status::NoAnswer);
}

TEST_CASE_METHOD(StorePollServerFixture, "StorePollServer: nothing was read yet: has no answer")
{
    this->poll(10);
    REQUIRE(this->answers.size() == 1);
    CHECK(this->answers.front().status == PeerPollResult::Status::NoAnswer);
}

TEST_CASE_METHOD(StorePollServerFixture, "StorePollServer: peers stop asking: it need not read the store for long")
{
    this->load(10);
    this->poll(10);
    CHECK(this->server.isAsked(this->now));
    this->pass(std::chrono::seconds(9));
    CHECK_FALSE(this->server.isAsked(this->now));
}

TEST_CASE_METHOD(StorePollServerFixture, "StorePollServer: malformed answer: is decoded as none")
{
    CHECK(decodePeerPollResult(200, "not cbor").status == PeerPollResult::Status::NoAnswer);
    CHECK(decodePeerPollResult(404, "").status == PeerPollResult::Status::NoAnswer);
}

// Revisions are given out again by a restored store, so that those of two eras look alike.
TEST_CASE_METHOD(StorePollServerFixture, "StorePollServer: poll is of an earlier era of the store: has to read anew")
{
    this->load(10, 2);
    this->poll(10, 1);
    REQUIRE(this->answers.size() == 1);
    CHECK(this->answers.front().changes.isCompacted);
    CHECK(this->answers.front().changes.era == 2);
}

TEST_CASE_METHOD(StorePollServerFixture, "StorePollServer: poll is of a later era of the store: gets no answer")
{
    this->load(10, 1);
    this->poll(10, 2);
    REQUIRE(this->answers.size() == 1);
    CHECK(this->answers.front().status == PeerPollResult::Status::NoAnswer);
}

TEST_CASE_METHOD(StorePollServerFixture, "StorePollServer: store was restored: nothing is answered from before")
{
    this->load(10, 1);
    this->poll(10, 1);
    this->server.storeRestored();
    this->poll(10, 1);
    REQUIRE(this->answers.size() == 2);
    CHECK(this->answers[0].status == PeerPollResult::Status::NoAnswer);
    CHECK(this->answers[1].status == PeerPollResult::Status::NoAnswer);
    this->load(5, 2);
    this->poll(5, 2);
    CHECK(this->answers.size() == 2);
}
