#include "latewriteguard.h"
#include "memorystore.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace hemlock;

namespace {

/// One process that writes to a store, which another one may change too.
class LateWriteGuardFixture
{
protected:
    KvTxnResult run(const KvTxn &txn)
    {
        std::optional<KvTxnResult> ended;
        this->access.txn(txn, [&ended](const KvTxnResult &result) { ended = result; });
        while (!ended && this->store.runNext())
            continue;
        return ended.value_or(KvTxnResult{});
    }

    KvTxnResult put(const std::string &value)
    {
        KvTxn txn;
        txn.puts = {{"key", value, 0}};
        return this->run(txn);
    }

    KvTxnResult remove()
    {
        KvTxn txn;
        txn.deletes = {"key"};
        return this->run(txn);
    }

    /// Leaves the next transaction unanswered until MemoryStore::runLateTxns().
    void delayNext()
    {
        this->store.isLate = [this](const KvTxn &) {
            this->store.isLate = nullptr;
            return true;
        };
    }

    /// Writes the key as another process does.
    void writeElsewhere(const std::string &value)
    {
        KvTxn txn;
        txn.puts = {{"key", value, 0}};
        this->store.executeTxn(txn);
    }

    std::string stored()
    {
        const auto found = this->store.entries.find("key");
        return found == this->store.entries.end() ? std::string("absent") : found->second.value;
    }

    MemoryStore store;
    LateWriteGuard guard;
    KvAccess access = this->guard.guarded(this->store.access());
};

} // namespace

// Guards against state that goes back when the store executes a write late.
TEST_CASE_METHOD(LateWriteGuardFixture, "LateWriteGuard: put is executed after a newer one: the newer one stays")
{
    this->delayNext();
    CHECK(this->put("old").status == KvStatus::Unknown);
    CHECK(this->put("new").succeeded);
    this->store.runLateTxns();
    CHECK(this->stored() == "new");
}

TEST_CASE_METHOD(LateWriteGuardFixture,
                 "LateWriteGuard: put is executed before a newer one is sent: the newer one stays")
{
    REQUIRE(this->put("first").succeeded);
    this->delayNext();
    this->put("old");
    this->store.runLateTxns();
    REQUIRE(this->stored() == "old");
    CHECK(this->put("new").succeeded);
    CHECK(this->stored() == "new");
}

// Guards against a late removal of the record that a restarted process has written.
TEST_CASE_METHOD(LateWriteGuardFixture, "LateWriteGuard: removal is executed after a newer put: the put stays")
{
    REQUIRE(this->put("first").succeeded);
    this->delayNext();
    this->remove();
    LateWriteGuard restarted;
    this->access = restarted.guarded(this->store.access());
    CHECK(this->put("new").succeeded);
    this->store.runLateTxns();
    CHECK(this->stored() == "new");
}

TEST_CASE_METHOD(LateWriteGuardFixture, "LateWriteGuard: put is executed after a removal: the key stays absent")
{
    REQUIRE(this->put("first").succeeded);
    this->delayNext();
    this->put("old");
    CHECK(this->remove().succeeded);
    this->store.runLateTxns();
    CHECK(this->stored() == "absent");
}

TEST_CASE_METHOD(LateWriteGuardFixture, "LateWriteGuard: another process wrote the key: the put succeeds")
{
    REQUIRE(this->put("first").succeeded);
    this->writeElsewhere("other");
    CHECK(this->put("new").succeeded);
    CHECK(this->stored() == "new");
}

// Guards against a write that ignores its caller's condition.
TEST_CASE_METHOD(LateWriteGuardFixture,
                 "LateWriteGuard: the caller's condition fails: the transaction is not sent again")
{
    REQUIRE(this->put("first").succeeded);
    this->writeElsewhere("other");
    KvTxn txn;
    txn.compares = {{"role", 7}};
    txn.puts = {{"key", "new", 0}};
    const int calls = this->store.callCount;
    const KvTxnResult result = this->run(txn);
    CHECK(result.status == KvStatus::Ok);
    CHECK_FALSE(result.succeeded);
    CHECK(this->store.callCount == calls + 1);
    CHECK(this->stored() == "other");
}

TEST_CASE_METHOD(LateWriteGuardFixture, "LateWriteGuard: the caller compares the key itself: its condition decides")
{
    this->writeElsewhere("other");
    KvTxn txn;
    txn.compares = {{"key", 0}};
    txn.puts = {{"key", "new", 0}};
    CHECK_FALSE(this->run(txn).succeeded);
    CHECK(this->stored() == "other");
}

TEST_CASE_METHOD(LateWriteGuardFixture, "LateWriteGuard: put is independent of its order: it is sent as it is")
{
    this->writeElsewhere("other");
    KvTxn txn;
    txn.puts = {{"key", "new", 0}};
    txn.isOrderIndependent = true;
    const int calls = this->store.callCount;
    CHECK(this->run(txn).succeeded);
    CHECK(this->store.callCount == calls + 1);
}

TEST_CASE_METHOD(LateWriteGuardFixture, "LateWriteGuard: key was read: the first put needs one call")
{
    this->writeElsewhere("other");
    this->access.range("key", false, [](const KvRangeResult &) {});
    this->store.runAll();
    const int calls = this->store.callCount;
    CHECK(this->put("new").succeeded);
    CHECK(this->store.callCount == calls + 1);
}

// Guards against endless calls to a store whose keys keep changing.
TEST_CASE_METHOD(LateWriteGuardFixture, "LateWriteGuard: key changes before each call: the put fails after some calls")
{
    KvAccess changing = this->store.access();
    changing.txn = [this, call = changing.txn](const KvTxn &txn, const std::function<void(const KvTxnResult &)> &done) {
        this->writeElsewhere("other");
        call(txn, done);
    };
    this->access = this->guard.guarded(changing);
    CHECK(this->put("new").status == KvStatus::NotApplied);
    CHECK(this->store.callCount < 10);
}
