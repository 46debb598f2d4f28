#pragma once

#include "kvclient.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// Half-open key range [begin, end). An empty end means the single key begin; "\0" means all keys from begin on.
struct KvInterval
{
    std::string begin;
    std::string end;

    bool contains(const std::string &key) const;
};

/// Condition of a transaction of KvStore.
struct KvCondition
{
    enum class Target {
        ModRevision,
        CreateRevision,
        Version,
        Value,
    };
    enum class Relation {
        Equal,
        NotEqual,
        Greater,
        Less,
    };

    std::string key;
    Target target = Target::ModRevision;
    Relation relation = Relation::Equal;
    std::int64_t number = 0; ///< Compared revision or version.
    std::string value; ///< Compared value for Target::Value.
};

/// One operation within a transaction of KvStore.
struct KvOperation
{
    enum class Kind {
        Range,
        Put,
        Delete,
    };

    Kind kind = Kind::Range;
    KvInterval interval;
    std::string value;
    std::int64_t lease = 0;
};

/// Result of one operation: the entries of a range or the number of deleted keys.
struct KvOperationResult
{
    KvOperation::Kind kind = KvOperation::Kind::Range;
    std::vector<KvEntry> entries;
    std::size_t deleted = 0;
};

/// In-memory key-value store with revisions, compare-and-swap, leases and watches. The caller passes the current time.
class KvStore
{
public:
    using Time = std::chrono::steady_clock::time_point;
    using WatchId = std::uint64_t;
    using WatchCallback = std::function<void(const std::vector<KvEvent> &events, std::int64_t revision)>;

    std::int64_t revision() const;

    std::vector<KvEntry> range(const KvInterval &interval) const;

    bool holds(const KvCondition &condition) const;

    /// Applies all operations atomically with one new revision. Throws std::invalid_argument for an unknown lease or a
    /// key that is put twice; nothing is applied then.
    std::vector<KvOperationResult> apply(const std::vector<KvOperation> &operations);

    std::int64_t grantLease(std::chrono::seconds ttl, Time now);
    /// Renews a lease. Returns its time to live, or 0 if it has expired or does not exist.
    std::chrono::seconds keepLeaseAlive(std::int64_t lease, Time now);
    /// Removes a lease and deletes its keys; returns false if it does not exist.
    bool revokeLease(std::int64_t lease);
    /// Revokes all expired leases and returns their identifiers.
    std::vector<std::int64_t> expireLeases(Time now);

    /// Reports events from @p startRevision on (0: only future events). Past events are reported before this function
    /// returns. Returns std::nullopt if the start revision has been compacted.
    std::optional<WatchId> watch(const KvInterval &interval, std::int64_t startRevision, WatchCallback callback);
    void cancelWatch(WatchId id);

    /// Returns the oldest revision from which a watch can start.
    std::int64_t compactRevision() const;

private:
    struct Lease
    {
        std::chrono::seconds ttl{0};
        Time expiry;
    };
    struct Watch
    {
        KvInterval interval;
        WatchCallback callback;
    };
    struct PastEvent
    {
        std::int64_t revision = 0;
        KvEvent event;
    };

    void checkOperations(const std::vector<KvOperation> &operations) const;
    void put(const KvOperation &operation, std::int64_t revision, std::vector<KvEvent> &events);
    std::size_t erase(const KvInterval &interval, std::int64_t revision, std::vector<KvEvent> &events);
    void publish(const std::vector<KvEvent> &events, std::int64_t revision);
    void appendToHistory(const std::vector<KvEvent> &events, std::int64_t revision);

    std::int64_t currentRevision = 1;
    std::int64_t nextLease = 1000;
    WatchId nextWatch = 1;
    std::map<std::string, KvEntry> entries;
    std::map<std::int64_t, Lease> leases;
    std::map<WatchId, Watch> watches;
    std::deque<PastEvent> history;
    std::size_t historyBytes = 0;
    std::int64_t oldestRevision = 1;
};

} // namespace hemlock
