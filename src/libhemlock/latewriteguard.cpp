#include "latewriteguard.h"

#include "logger.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace hemlock {

namespace {

/// A key changes again between two calls only if a late write is executed just then.
constexpr int maxResends = 3;

bool comparesKey(const KvTxn &txn, const std::string &key)
{
    return std::any_of(
        txn.compares.begin(), txn.compares.end(), [&key](const KvCompare &compare) { return compare.key == key; });
}

std::int64_t revisionIn(const std::vector<KvEntry> &entries, const std::string &key)
{
    const auto found =
        std::find_if(entries.begin(), entries.end(), [&key](const KvEntry &entry) { return entry.key == key; });
    return found == entries.end() ? 0 : found->modRevision;
}

} // namespace

KvAccess LateWriteGuard::guarded(KvAccess kv)
{
    KvAccess access = kv;
    access.txn = [this, call = kv.txn](const KvTxn &txn, const TxnDone &done) {
        if (txn.isOrderIndependent)
            call(txn, done);
        else
            this->send(call, txn, done, 0);
    };
    access.range = [this, call = kv.range, alive = std::weak_ptr<bool>(this->alive)](
                       const std::string &key, bool prefix, std::function<void(const KvRangeResult &)> done) {
        call(key, prefix, [this, key, prefix, done = std::move(done), alive](const KvRangeResult &result) {
            if (!alive.expired() && !prefix && result.status == KvStatus::Ok)
                this->revisions[key] = revisionIn(result.entries, key);
            done(result);
        });
    };
    return access;
}

void LateWriteGuard::send(const TxnCall &call, const KvTxn &txn, const TxnDone &done, int resends)
{
    KvTxn sent = txn;
    const auto compareKey = [this, &sent](const std::string &key) {
        if (comparesKey(sent, key))
            return;
        const auto known = this->revisions.find(key);
        sent.compares.push_back({key, known == this->revisions.end() ? 0 : known->second});
    };
    for (const KvPut &put : txn.puts)
        compareKey(put.key);
    for (const std::string &key : txn.deletes)
        compareKey(key);
    for (const KvCompare &compare : sent.compares) {
        if (std::find(sent.readsOnFailure.begin(), sent.readsOnFailure.end(), compare.key) == sent.readsOnFailure.end())
            sent.readsOnFailure.push_back(compare.key);
    }
    call(sent,
         [this, call, txn, sent, done, resends, alive = std::weak_ptr<bool>(this->alive)](const KvTxnResult &result) {
             if (alive.expired())
                 return;
             if (result.status == KvStatus::Ok && result.succeeded)
                 this->recordWritten(txn, result.revision);
             if (result.status != KvStatus::Ok || result.succeeded || !this->learnRevisions(txn, sent, result))
                 return done(result);
             logEvent(LogLevel::Info,
                      "write-condition",
                      {{"key", sent.compares.back().key},
                       {"revision", this->revisions[sent.compares.back().key]},
                       {"resends", resends}});
             if (resends < maxResends)
                 return this->send(call, txn, done, resends + 1);
             KvTxnResult failure;
             failure.status = KvStatus::NotApplied;
             failure.error = "the keys keep changing";
             failure.era = result.era;
             done(failure);
         });
}

bool LateWriteGuard::learnRevisions(const KvTxn &txn, const KvTxn &sent, const KvTxnResult &result)
{
    bool isOwnConditionHeld = true;
    bool isAddedConditionFailed = false;
    for (const KvCompare &compare : sent.compares) {
        const std::int64_t revision = revisionIn(result.entries, compare.key);
        if (comparesKey(txn, compare.key)) {
            isOwnConditionHeld = isOwnConditionHeld && revision == compare.modRevision;
            continue;
        }
        isAddedConditionFailed = isAddedConditionFailed || revision != compare.modRevision;
        this->revisions[compare.key] = revision;
    }
    return isOwnConditionHeld && isAddedConditionFailed;
}

void LateWriteGuard::recordWritten(const KvTxn &txn, std::int64_t revision)
{
    for (const KvPut &put : txn.puts) {
        if (!comparesKey(txn, put.key))
            this->revisions[put.key] = revision;
    }
    for (const std::string &key : txn.deletes)
        this->revisions.erase(key);
}

} // namespace hemlock
