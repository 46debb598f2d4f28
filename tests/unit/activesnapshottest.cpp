#include "activesnapshot.h"

#include "encoding.h"

#include <catch2/catch.hpp>

using namespace hemlock;

namespace {

class ActiveSnapshotFixture
{
protected:
    static Snapshot makeSnapshot(std::int64_t version, const std::string &key)
    {
        Snapshot snapshot;
        snapshot.manifestVersion = version;
        snapshot.services.push_back({.id = "model"});
        snapshot.clientAccounts.push_back({.id = "account", .keySha256 = sha256Hex(key)});
        snapshot.rules.push_back({.clientAccount = "account", .service = "model"});
        return snapshot;
    }

    ActiveSnapshot active;
};

} // namespace

// Guards against a configuration rollback by a delayed control message.
TEST_CASE_METHOD(ActiveSnapshotFixture, "ActiveSnapshot: older manifest: is rejected and changes nothing")
{
    this->active.apply(makeSnapshot(5, "new key"));
    CHECK_THROWS_AS(this->active.apply(makeSnapshot(4, "old key")), std::invalid_argument);
    CHECK(this->active.accountOfKey("new key"));
    CHECK_FALSE(this->active.accountOfKey("old key"));
    CHECK(this->active.snapshot().manifestVersion == 5);
}

// Guards against upstream changes that are lost because the configuration itself did not change.
TEST_CASE_METHOD(ActiveSnapshotFixture, "ActiveSnapshot: same manifest with other upstreams: is applied")
{
    this->active.apply(makeSnapshot(5, "key"));
    Snapshot next = makeSnapshot(5, "key");
    next.upstreams.push_back({.id = "u1", .service = "model"});
    this->active.apply(next);
    CHECK(this->active.snapshot().upstreams.size() == 1);
}

// Guards against a key or rule of a removed account that stays valid.
TEST_CASE_METHOD(ActiveSnapshotFixture, "ActiveSnapshot: account removed: its key and rules are no longer found")
{
    this->active.apply(makeSnapshot(5, "key"));
    CHECK(this->active.findRule("account", "model"));
    this->active.apply({.manifestVersion = 6});
    CHECK_FALSE(this->active.accountOfKey("key"));
    CHECK_FALSE(this->active.findRule("account", "model"));
    CHECK_FALSE(this->active.findService("model"));
}

// Guards against callers without a key that match an account with an empty digest.
TEST_CASE_METHOD(ActiveSnapshotFixture, "ActiveSnapshot: empty key: matches no account")
{
    this->active.apply(makeSnapshot(1, ""));
    CHECK_FALSE(this->active.accountOfKey(""));
}
