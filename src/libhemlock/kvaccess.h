#pragma once

#include "kvclient.h"

#include <chrono>
#include <functional>
#include <string>

namespace hemlock {

/// The calls to the key-value store that decision code makes, so that tests can pass an in-memory store.
struct KvAccess
{
    std::function<void(const std::string &key, bool prefix, std::function<void(const KvRangeResult &)> done)> range;
    std::function<void(const KvTxn &txn, std::function<void(const KvTxnResult &)> done)> txn;
    std::function<void(std::chrono::seconds ttl, std::function<void(const KvLeaseResult &)> done)> grantLease;
    std::function<void(std::int64_t lease, std::function<void(const KvLeaseResult &)> done)> keepLeaseAlive;
    /// Watches one key; the result ends the watch.
    std::function<std::function<void()>(const std::string &key, KvClient::WatchHooks hooks)> watch;
};

/// Passes the calls on to @p client, which must live longer than the result.
KvAccess kvAccess(KvClient &client);

} // namespace hemlock
