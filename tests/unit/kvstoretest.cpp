#include "kvstore.h"

#include <catch2/catch.hpp>

using namespace hemlock;
using namespace std::chrono_literals;

namespace {

class KvStoreFixture
{
protected:
    void put(const std::string &key, const std::string &value, std::int64_t lease = 0)
    {
        this->store.apply({{KvOperation::Kind::Put, {key, {}}, value, lease}});
    }

    void remove(const std::string &key)
    {
        this->store.apply({{KvOperation::Kind::Delete, {key, {}}, {}, 0}});
    }

    KvEntry read(const std::string &key) const
    {
        const auto found = this->store.range({key, {}});
        return found.empty() ? KvEntry{} : found.front();
    }

    bool hasModRevision(const std::string &key, std::int64_t revision) const
    {
        return this->store.holds({key, KvCondition::Target::ModRevision, KvCondition::Relation::Equal, revision, {}});
    }

    /// Records events as "PUT key=value" or "DELETE key".
    KvStore::WatchCallback recordEvents()
    {
        return [this](const std::vector<KvEvent> &events, std::int64_t) {
            for (const KvEvent &event : events)
                this->recordedEvents.push_back(event.isDelete ? "DELETE " + event.entry.key
                                                              : "PUT " + event.entry.key + "=" + event.entry.value);
        };
    }

    KvStore store;
    KvStore::Time now{1h};
    std::vector<std::string> recordedEvents;
};

} // namespace

// Guards against a store in which two concurrent writers of one record both succeed.
TEST_CASE_METHOD(KvStoreFixture, "KvStore: two writers with the same revision: the second one's condition fails")
{
    this->put("slot", "a");
    const std::int64_t revision = this->read("slot").modRevision;
    CHECK(this->hasModRevision("slot", revision));
    this->put("slot", "b");
    CHECK_FALSE(this->hasModRevision("slot", revision));
}

// Guards against a create-if-absent that overwrites an existing key.
TEST_CASE_METHOD(KvStoreFixture, "KvStore: key that is absent or deleted: has mod revision 0")
{
    CHECK(this->hasModRevision("slot", 0));
    this->put("slot", "a");
    CHECK_FALSE(this->hasModRevision("slot", 0));
    this->remove("slot");
    CHECK(this->hasModRevision("slot", 0));
}

// Guards against a transaction whose entries have different revisions, so that readers could see a part of it.
TEST_CASE_METHOD(KvStoreFixture, "KvStore: transaction of two puts: both have one revision")
{
    const std::int64_t before = this->store.revision();
    this->store.apply({{KvOperation::Kind::Put, {"a", {}}, "1", 0}, {KvOperation::Kind::Put, {"b", {}}, "2", 0}});
    CHECK(this->store.revision() == before + 1);
    CHECK(this->read("a").modRevision == this->read("b").modRevision);
}

// Guards against a partially applied transaction.
TEST_CASE_METHOD(KvStoreFixture, "KvStore: transaction with an unknown lease: applies nothing")
{
    const std::vector<KvOperation> operations = {{KvOperation::Kind::Put, {"a", {}}, "1", 0},
                                                 {KvOperation::Kind::Put, {"b", {}}, "2", 77}};
    CHECK_THROWS_AS(this->store.apply(operations), std::invalid_argument);
    CHECK(this->read("a").version == 0);
}

// Guards against a version and create revision that survive a delete, which would hide a re-creation.
TEST_CASE_METHOD(KvStoreFixture, "KvStore: key written again after a delete: counts as new")
{
    this->put("a", "1");
    this->put("a", "2");
    CHECK(this->read("a").version == 2);
    const std::int64_t created = this->read("a").createRevision;
    this->remove("a");
    this->put("a", "3");
    CHECK(this->read("a").version == 1);
    CHECK(this->read("a").createRevision > created);
}

// Guards against a prefix read that includes adjacent keys without the prefix.
TEST_CASE_METHOD(KvStoreFixture, "KvStore: range of a prefix: returns its keys in order")
{
    for (const char *key : {"slots/2", "slots0", "slot", "slots/1"})
        this->put(key, "x");
    const auto found = this->store.range({"slots/", "slots0"});
    REQUIRE(found.size() == 2);
    CHECK(found[0].key == "slots/1");
    CHECK(found[1].key == "slots/2");
}

// Guards against a lease that expires too late or too early.
TEST_CASE_METHOD(KvStoreFixture, "KvStore: expired lease: its keys are deleted and no others")
{
    const std::int64_t lease = this->store.grantLease(5s, this->now);
    this->put("leased", "1", lease);
    this->put("plain", "2");
    CHECK(this->store.expireLeases(this->now + 4s).empty());
    CHECK(this->read("leased").version == 1);
    CHECK(this->store.expireLeases(this->now + 5s) == std::vector<std::int64_t>{lease});
    CHECK(this->read("leased").version == 0);
    CHECK(this->read("plain").version == 1);
}

TEST_CASE_METHOD(KvStoreFixture, "KvStore: lease renewed in time: its time to live restarts")
{
    const std::int64_t lease = this->store.grantLease(5s, this->now);
    CHECK(this->store.keepLeaseAlive(lease, this->now + 4s) == 5s);
    CHECK(this->store.expireLeases(this->now + 8s).empty());
    CHECK(this->store.expireLeases(this->now + 9s).size() == 1);
}

// Guards against a paused holder that renews its expired lease.
TEST_CASE_METHOD(KvStoreFixture, "KvStore: expired or unknown lease renewed: reports no time to live")
{
    const std::int64_t lease = this->store.grantLease(5s, this->now);
    CHECK(this->store.keepLeaseAlive(lease, this->now + 6s) == 0s);
    CHECK(this->store.keepLeaseAlive(4711, this->now) == 0s);
}

// Guards against the lease of a former holder deleting keys that another client has since written.
TEST_CASE_METHOD(KvStoreFixture, "KvStore: key rewritten without its lease: is kept when the lease expires")
{
    const std::int64_t lease = this->store.grantLease(5s, this->now);
    this->put("a", "1", lease);
    this->put("a", "2");
    this->store.expireLeases(this->now + 6s);
    CHECK(this->read("a").value == "2");
}

// Guards against a watcher that misses changes or sees those of other keys.
TEST_CASE_METHOD(KvStoreFixture, "KvStore: watch of a prefix: reports its changes in order")
{
    const auto watch = this->store.watch({"config/", "config0"}, 0, this->recordEvents());
    this->put("config/a", "1");
    this->put("other", "x");
    this->remove("config/a");
    this->remove("config/never");
    CHECK(this->recordedEvents == std::vector<std::string>{"PUT config/a=1", "DELETE config/a"});
    REQUIRE(watch);
    this->store.cancelWatch(*watch);
    this->put("config/a", "2");
    CHECK(this->recordedEvents.size() == 2);
}

// Guards against a gap between a read and the watch that follows it.
TEST_CASE_METHOD(KvStoreFixture, "KvStore: watch from a past revision: reports the events since then")
{
    this->put("a", "1");
    const std::int64_t readRevision = this->store.revision();
    this->put("a", "2");
    this->put("a", "3");
    this->store.watch({"a", {}}, readRevision + 1, this->recordEvents());
    CHECK(this->recordedEvents == std::vector<std::string>{"PUT a=2", "PUT a=3"});
}

// Guards against the expiry of a lease that is not reported to watchers.
TEST_CASE_METHOD(KvStoreFixture, "KvStore: watched key of an expired lease: reports the delete")
{
    this->put("member", "x", this->store.grantLease(1s, this->now));
    this->store.watch({"member", {}}, 0, this->recordEvents());
    this->store.expireLeases(this->now + 2s);
    CHECK(this->recordedEvents == std::vector<std::string>{"DELETE member"});
}

// Guards against a watch that starts at a compacted revision and silently misses changes, and against a history of
// large values that takes gigabytes.
TEST_CASE_METHOD(KvStoreFixture, "KvStore: watch from a compacted revision: is rejected")
{
    this->put("a", "1");
    const std::int64_t compactedRevision = this->store.revision();
    const std::string large(std::size_t{1024} * 1024, 'x');
    for (int write = 0; write < 40; ++write)
        this->put("large", large);
    CHECK_FALSE(this->store.watch({"a", {}}, compactedRevision, this->recordEvents()));
    CHECK(this->store.compactRevision() > compactedRevision);
    CHECK(this->store.watch({"large", {}}, this->store.compactRevision(), this->recordEvents()));
    CHECK(this->recordedEvents.size() > 20);
    CHECK(this->recordedEvents.size() < 40);
}
