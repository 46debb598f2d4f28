#include "relay/storeera.h"

#include "logger.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace hemlock {

namespace {

template <class Result>
std::int64_t eraOf(const Result &result)
{
    return result.era;
}

std::int64_t eraOf(const KvPage &page)
{
    return page.range.era;
}

void setFailed(KvPage &page, const std::string &error)
{
    page.range.error = error;
}

template <class Result>
void setFailed(Result &result, const std::string &error)
{
    result.error = error;
}

} // namespace

void StoreEra::setRestoredHook(RestoredHook hook)
{
    this->restored = std::move(hook);
}

std::int64_t StoreEra::current() const
{
    return this->currentEra;
}

bool StoreEra::observe(std::int64_t era)
{
    // Failed calls tell no era.
    if (era == 0 || era == this->currentEra)
        return true;
    if (era < this->currentEra)
        return false;
    const std::int64_t before = std::exchange(this->currentEra, era);
    logEvent(before == 0 ? LogLevel::Info : LogLevel::Warning, "store-era", {{"era", era}, {"before", before}});
    if (before != 0 && this->restored)
        this->restored(before, era);
    return true;
}

template <class Result>
std::function<void(const Result &)> StoreEra::observing(std::function<void(const Result &)> done)
{
    return [this, done = std::move(done), alive = std::weak_ptr<bool>(this->alive)](const Result &result) {
        if (alive.expired())
            return;
        if (this->observe(eraOf(result)))
            return done(result);
        // The status of a new result is unknown.
        Result outdated;
        setFailed(outdated, "the answer is of an earlier era of the store");
        done(outdated);
    };
}

KvAccess StoreEra::observed(KvAccess kv)
{
    KvAccess access = kv;
    access.range =
        [this, call = kv.range](const std::string &key, bool prefix, std::function<void(const KvRangeResult &)> done) {
            call(key, prefix, this->observing(std::move(done)));
        };
    access.txn = [this, call = kv.txn](const KvTxn &txn, std::function<void(const KvTxnResult &)> done) {
        call(txn, this->observing(std::move(done)));
    };
    access.grantLease = [this, call = kv.grantLease](std::chrono::seconds ttl,
                                                     std::function<void(const KvLeaseResult &)> done) {
        call(ttl, this->observing(std::move(done)));
    };
    access.keepLeaseAlive = [this, call = kv.keepLeaseAlive](std::int64_t lease,
                                                             std::function<void(const KvLeaseResult &)> done) {
        call(lease, this->observing(std::move(done)));
    };
    access.readPage = [this, call = kv.readPage](const std::string &prefix,
                                                 const std::string &after,
                                                 std::function<void(const KvPage &)> done) {
        call(prefix, after, this->observing(std::move(done)));
    };
    access.waitForChanges = [this, call = kv.waitForChanges](const std::string &prefix,
                                                             std::int64_t revision,
                                                             std::chrono::milliseconds wait,
                                                             std::function<void(const KvChanges &)> done) {
        return call(
            prefix,
            revision,
            wait,
            this->observing<KvChanges>([done = std::move(done), begun = this->currentEra](const KvChanges &changes) {
                if (begun == 0 || changes.era == 0 || changes.era == begun)
                    return done(changes);
                KvChanges failure;
                failure.error = "the store was restored";
                done(failure);
            }));
    };
    return access;
}

} // namespace hemlock
