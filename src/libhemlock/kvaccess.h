#pragma once

#include "kvclient.h"

#include <chrono>
#include <functional>
#include <string>

namespace hemlock {

/// One page of a range read.
struct KvPage
{
    KvRangeResult range;
    bool hasMore = false;
};

/// What a waiting read of changes returned.
struct KvChanges
{
    KvStatus status = KvStatus::Unknown;
    bool isCompacted = false; ///< The history is gone; read everything again.
    std::int64_t revision = 0;
    std::vector<KvEvent> events;
    std::string error;
};

/// The calls to the key-value store that decision code makes, so that tests can pass an in-memory store.
struct KvAccess
{
    /// A waiting read ends at most this long after its wait, with a failure if the store said nothing.
    static constexpr std::chrono::milliseconds responseGracePeriod{300};

    std::function<void(const std::string &key, bool prefix, std::function<void(const KvRangeResult &)> done)> range;
    std::function<void(const KvTxn &txn, std::function<void(const KvTxnResult &)> done)> txn;
    std::function<void(std::chrono::seconds ttl, std::function<void(const KvLeaseResult &)> done)> grantLease;
    std::function<void(std::int64_t lease, std::function<void(const KvLeaseResult &)> done)> keepLeaseAlive;
    /// Reads one page of the keys that begin with @p prefix and come after @p afterKey. Unset where the store has no
    /// pages.
    std::function<void(
        const std::string &prefix, const std::string &afterKey, std::function<void(const KvPage &)> done)>
        readPage;
    /// Waits up to @p wait for changes after @p revision to keys that begin with @p prefix; an empty list means none.
    /// The result of the call ends the wait. Unset where the store streams its changes.
    std::function<std::function<void()>(const std::string &prefix,
                                        std::int64_t revision,
                                        std::chrono::milliseconds wait,
                                        std::function<void(const KvChanges &)> done)>
        waitForChanges;
    /// Whether the store answers at all, as cheaply as the store allows. Unset where nothing needs it.
    std::function<void(std::function<void(KvStatus status, const std::string &error)> done)> ping;
    /// Watches one key; the result ends the watch.
    std::function<std::function<void()>(const std::string &key, KvClient::WatchHooks hooks)> watch;
};

/// Passes the calls on to @p client, which must live longer than the result.
KvAccess makeKvAccess(KvClient &client);

} // namespace hemlock
