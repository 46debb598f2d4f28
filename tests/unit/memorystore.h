#pragma once

#include "kvaccess.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace hemlock {

/// Key-value store in memory. Calls are queued, so that a test can choose how calls of several clients interleave.
class MemoryStore
{
public:
    KvAccess access()
    {
        KvAccess access;
        access.range = [this](const std::string &key, bool prefix, std::function<void(const KvRangeResult &)> done) {
            this->queue.push_back([this, key, prefix, done] { done(this->executeRange(key, prefix)); });
        };
        access.txn = [this](const KvTxn &txn, std::function<void(const KvTxnResult &)> done) {
            this->queue.push_back([this, txn, done] {
                if (!this->isLate || !this->isLate(txn))
                    return done(this->executeTxn(txn));
                this->lateTxns.push_back(txn);
                done({KvStatus::Unknown, false, 0, {}, "no answer"});
            });
        };
        access.grantLease = [this](std::chrono::seconds ttl, std::function<void(const KvLeaseResult &)> done) {
            this->queue.push_back([this, ttl, done] { done(this->makeLeaseResult(++this->lastLease, ttl)); });
        };
        access.keepLeaseAlive = [this](std::int64_t lease, std::function<void(const KvLeaseResult &)> done) {
            this->queue.push_back(
                [this, lease, done] { done(this->makeLeaseResult(lease, std::chrono::seconds(10))); });
        };
        return access;
    }

    /// Runs the oldest queued call; returns false when there is none.
    bool runNext()
    {
        if (this->queue.empty())
            return false;
        const auto call = std::move(this->queue.front());
        this->queue.pop_front();
        ++this->callCount;
        call();
        return true;
    }

    void runAll()
    {
        while (this->runNext())
            continue;
    }

    /// Executes the transactions that were not answered.
    void runLateTxns()
    {
        for (const KvTxn &txn : std::exchange(this->lateTxns, {}))
            this->executeTxn(txn);
    }

    KvRangeResult executeRange(const std::string &key, bool prefix) const
    {
        KvRangeResult result;
        result.status = this->isUnavailable ? KvStatus::Unknown : KvStatus::Ok;
        result.revision = this->revision;
        result.era = this->era;
        for (const auto &[name, entry] : this->entries) {
            if (!this->isUnavailable && (name == key || (prefix && name.starts_with(key))))
                result.entries.push_back(entry);
        }
        return result;
    }

    KvTxnResult executeTxn(const KvTxn &txn)
    {
        if (this->isUnavailable)
            return {KvStatus::NotApplied, false, 0, {}, "outage"};
        KvTxnResult result;
        result.era = this->era;
        result.status = KvStatus::Ok;
        result.succeeded = std::all_of(txn.compares.begin(), txn.compares.end(), [this](const KvCompare &compare) {
            const auto match = this->entries.find(compare.key);
            return (match == this->entries.end() ? 0 : match->second.modRevision) == compare.modRevision;
        });
        if (result.succeeded) {
            ++this->revision;
            for (const KvPut &put : txn.puts)
                this->entries[put.key] = {put.key, put.value, 0, this->revision, 0, put.lease};
            for (const std::string &key : txn.deletes)
                this->entries.erase(key);
        }
        for (const std::string &key : txn.readsOnFailure) {
            if (const auto found = this->entries.find(key); !result.succeeded && found != this->entries.end())
                result.entries.push_back(found->second);
        }
        result.revision = this->revision;
        if (this->lostResponses > 0 && result.succeeded) {
            --this->lostResponses;
            return {KvStatus::Unknown, false, 0, {}, "answer lost"};
        }
        return result;
    }

    KvLeaseResult makeLeaseResult(std::int64_t lease, std::chrono::seconds ttl) const
    {
        if (this->isUnavailable)
            return {KvStatus::NotApplied, 0, std::chrono::seconds(0), "outage"};
        return {KvStatus::Ok, lease, ttl, {}, this->era};
    }

    /// Content of the store, for restore().
    struct Copy
    {
        std::map<std::string, KvEntry> entries;
        std::int64_t revision = 0;
    };

    Copy copy() const
    {
        return {this->entries, this->revision};
    }

    /// Returns to the state of an older copy, in a new era.
    void restore(const Copy &copy)
    {
        this->entries = copy.entries;
        this->revision = copy.revision;
        ++this->era;
    }

    std::int64_t era = 0; ///< Rises with each restore(); told in answers.
    std::map<std::string, KvEntry> entries;
    std::deque<std::function<void()>> queue;
    std::int64_t revision = 0;
    std::int64_t lastLease = 0;
    std::function<bool(const KvTxn &txn)> isLate; ///< Whether a transaction is not answered, and executed later.
    std::vector<KvTxn> lateTxns;
    int lostResponses = 0; ///< Number of next transactions that are applied but reported as Unknown.
    bool isUnavailable = false; ///< All calls fail.
    int callCount = 0; ///< Calls that have run.
};

} // namespace hemlock
