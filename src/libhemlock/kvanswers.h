#pragma once

#include "kvaccess.h"

#include <utility>

namespace hemlock {

/// Returns the calls of @p kv with each callback for an answer replaced by what @p wrap makes of it. @p wrap is called
/// when the call is made, with a std::function for any type of result, and returns one of the same type.
template <class Wrap>
KvAccess withWrappedAnswers(const KvAccess &kv, Wrap wrap)
{
    KvAccess access = kv;
    access.range =
        [wrap, call = kv.range](const std::string &key, bool prefix, std::function<void(const KvRangeResult &)> done) {
            call(key, prefix, wrap(std::move(done)));
        };
    access.txn = [wrap, call = kv.txn](const KvTxn &txn, std::function<void(const KvTxnResult &)> done) {
        call(txn, wrap(std::move(done)));
    };
    access.grantLease = [wrap, call = kv.grantLease](std::chrono::seconds ttl,
                                                     std::function<void(const KvLeaseResult &)> done) {
        call(ttl, wrap(std::move(done)));
    };
    access.keepLeaseAlive = [wrap, call = kv.keepLeaseAlive](std::int64_t lease,
                                                             std::function<void(const KvLeaseResult &)> done) {
        call(lease, wrap(std::move(done)));
    };
    access.readPage = [wrap, call = kv.readPage](const std::string &prefix,
                                                 const std::string &after,
                                                 std::function<void(const KvPage &)> done) {
        call(prefix, after, wrap(std::move(done)));
    };
    access.waitForChanges = [wrap, call = kv.waitForChanges](const std::string &prefix,
                                                             std::int64_t revision,
                                                             std::chrono::milliseconds wait,
                                                             std::function<void(const KvChanges &)> done) {
        return call(prefix, revision, wait, wrap(std::move(done)));
    };
    return access;
}

} // namespace hemlock
