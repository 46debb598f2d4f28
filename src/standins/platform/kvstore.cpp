#include "kvstore.h"

#include <set>
#include <stdexcept>

namespace hemlock {

namespace {

/// Limit of the event history for watches that start at a past revision. It is in bytes because values can have 1 MiB,
/// so that a limit by count could take gigabytes.
constexpr std::size_t maxHistoryBytes = std::size_t{32} * 1024 * 1024;
constexpr std::size_t eventOverheadBytes = 200;

std::size_t eventBytes(const KvEvent &event)
{
    return event.entry.key.size() + event.entry.value.size() + eventOverheadBytes;
}

template <class T>
bool compareValues(KvCondition::Relation relation, const T &found, const T &expected)
{
    switch (relation) {
    case KvCondition::Relation::Equal:
        return found == expected;
    case KvCondition::Relation::NotEqual:
        return found != expected;
    case KvCondition::Relation::Greater:
        return found > expected;
    case KvCondition::Relation::Less:
        return found < expected;
    }
    return false;
}

} // namespace

bool KvInterval::contains(const std::string &key) const
{
    if (this->end.empty())
        return key == this->begin;
    const bool isUnbounded = this->end == std::string(1, '\0');
    return key >= this->begin && (isUnbounded || key < this->end);
}

std::int64_t KvStore::revision() const
{
    return this->currentRevision;
}

std::vector<KvEntry> KvStore::range(const KvInterval &interval) const
{
    std::vector<KvEntry> found;
    for (auto entry = this->entries.lower_bound(interval.begin); entry != this->entries.end(); ++entry) {
        if (!interval.contains(entry->first))
            break;
        found.push_back(entry->second);
    }
    return found;
}

bool KvStore::holds(const KvCondition &condition) const
{
    const auto found = this->entries.find(condition.key);
    // As in etcd, a missing key has revision and version 0, and every comparison of its value is false.
    const bool isAbsent = found == this->entries.end();
    const KvEntry entry = isAbsent ? KvEntry{} : found->second;
    switch (condition.target) {
    case KvCondition::Target::ModRevision:
        return compareValues(condition.relation, entry.modRevision, condition.number);
    case KvCondition::Target::CreateRevision:
        return compareValues(condition.relation, entry.createRevision, condition.number);
    case KvCondition::Target::Version:
        return compareValues(condition.relation, entry.version, condition.number);
    case KvCondition::Target::Value:
        return !isAbsent && compareValues(condition.relation, entry.value, condition.value);
    }
    return false;
}

void KvStore::checkOperations(const std::vector<KvOperation> &operations) const
{
    std::set<std::string> written;
    for (const KvOperation &operation : operations) {
        if (operation.kind != KvOperation::Kind::Put)
            continue;
        if (!written.insert(operation.interval.begin).second)
            throw std::invalid_argument("duplicate key given in txn request");
        if (operation.lease != 0 && !this->leases.contains(operation.lease))
            throw std::invalid_argument("requested lease not found");
    }
}

std::vector<KvOperationResult> KvStore::apply(const std::vector<KvOperation> &operations)
{
    this->checkOperations(operations);
    const std::int64_t nextRevision = this->currentRevision + 1;
    std::vector<KvEvent> events;
    std::vector<KvOperationResult> results;
    for (const KvOperation &operation : operations) {
        KvOperationResult result;
        result.kind = operation.kind;
        switch (operation.kind) {
        case KvOperation::Kind::Range:
            result.entries = this->range(operation.interval);
            break;
        case KvOperation::Kind::Put:
            this->put(operation, nextRevision, events);
            break;
        case KvOperation::Kind::Delete:
            result.deleted = this->erase(operation.interval, nextRevision, events);
            break;
        }
        results.push_back(std::move(result));
    }
    this->publish(events, nextRevision);
    return results;
}

void KvStore::put(const KvOperation &operation, std::int64_t revision, std::vector<KvEvent> &events)
{
    KvEntry &entry = this->entries[operation.interval.begin];
    if (entry.version == 0) {
        entry.key = operation.interval.begin;
        entry.createRevision = revision;
    }
    entry.value = operation.value;
    entry.modRevision = revision;
    entry.lease = operation.lease;
    ++entry.version;
    events.push_back({false, entry});
}

std::size_t KvStore::erase(const KvInterval &interval, std::int64_t revision, std::vector<KvEvent> &events)
{
    const std::vector<KvEntry> erased = this->range(interval);
    for (const KvEntry &entry : erased) {
        this->entries.erase(entry.key);
        KvEntry tombstone;
        tombstone.key = entry.key;
        tombstone.modRevision = revision;
        events.push_back({true, tombstone});
    }
    return erased.size();
}

void KvStore::publish(const std::vector<KvEvent> &events, std::int64_t revision)
{
    if (events.empty())
        return;
    this->currentRevision = revision;
    this->appendToHistory(events, revision);
    // Iterates over a copy, because a callback may cancel its own watch.
    const auto currentWatches = this->watches;
    for (const auto &[id, watch] : currentWatches) {
        std::vector<KvEvent> matching;
        for (const KvEvent &event : events) {
            if (watch.interval.contains(event.entry.key))
                matching.push_back(event);
        }
        if (!matching.empty() && this->watches.contains(id))
            watch.callback(matching, revision);
    }
}

void KvStore::appendToHistory(const std::vector<KvEvent> &events, std::int64_t revision)
{
    for (const KvEvent &event : events) {
        this->history.push_back({revision, event});
        this->historyBytes += eventBytes(event);
    }
    while (this->historyBytes > maxHistoryBytes && this->history.front().revision < revision) {
        this->oldestRevision = this->history.front().revision + 1;
        while (this->history.front().revision < this->oldestRevision) {
            this->historyBytes -= eventBytes(this->history.front().event);
            this->history.pop_front();
        }
    }
}

std::int64_t KvStore::grantLease(std::chrono::seconds ttl, Time now)
{
    const std::int64_t id = this->nextLease++;
    this->leases[id] = {ttl, now + ttl};
    return id;
}

std::chrono::seconds KvStore::keepLeaseAlive(std::int64_t lease, Time now)
{
    const auto found = this->leases.find(lease);
    if (found == this->leases.end() || found->second.expiry <= now)
        return std::chrono::seconds(0);
    found->second.expiry = now + found->second.ttl;
    return found->second.ttl;
}

bool KvStore::revokeLease(std::int64_t lease)
{
    if (this->leases.erase(lease) == 0)
        return false;
    std::vector<std::string> keys;
    for (const auto &[key, entry] : this->entries) {
        if (entry.lease == lease)
            keys.push_back(key);
    }
    const std::int64_t nextRevision = this->currentRevision + 1;
    std::vector<KvEvent> events;
    for (const std::string &key : keys)
        this->erase({key, {}}, nextRevision, events);
    this->publish(events, nextRevision);
    return true;
}

std::vector<std::int64_t> KvStore::expireLeases(Time now)
{
    std::vector<std::int64_t> expired;
    for (const auto &[id, lease] : this->leases) {
        if (lease.expiry <= now)
            expired.push_back(id);
    }
    for (const std::int64_t id : expired)
        this->revokeLease(id);
    return expired;
}

std::optional<KvStore::WatchId>
KvStore::watch(const KvInterval &interval, std::int64_t startRevision, WatchCallback callback)
{
    if (startRevision != 0 && startRevision < this->oldestRevision)
        return std::nullopt;
    const WatchId id = this->nextWatch++;
    this->watches[id] = {interval, callback};
    if (startRevision == 0)
        return id;
    std::vector<KvEvent> past;
    for (const PastEvent &event : this->history) {
        if (event.revision >= startRevision && interval.contains(event.event.entry.key))
            past.push_back(event.event);
    }
    if (!past.empty())
        callback(past, this->currentRevision);
    return id;
}

void KvStore::cancelWatch(WatchId id)
{
    this->watches.erase(id);
}

std::int64_t KvStore::compactRevision() const
{
    return this->oldestRevision;
}

} // namespace hemlock
