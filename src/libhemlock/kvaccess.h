#pragma once

#include "kvclient.h"

#include <chrono>
#include <functional>
#include <string>

namespace hemlock {

/// One page of the keys with a prefix.
struct KvPage
{
    KvRangeResult range;
    bool hasMore = false; ///< More keys follow after this page.
};

/// Result of a long poll for changes.
struct KvChanges
{
    KvStatus status = KvStatus::Unknown;
    bool isCompacted = false; ///< The store has discarded the requested history; read all keys again.
    std::int64_t revision = 0; ///< Revision up to which the events are complete; pass it to the next poll.
    std::vector<KvEvent> events;
    std::string error;
    std::int64_t era = 0; ///< Era of the store, see StoreEra; 0 when unknown.
};

/// Calls to the key-value store as functions, so that tests can replace the store by one in memory.
struct KvAccess
{
    /// A long poll that has no response by this time after its wait fails.
    static constexpr std::chrono::milliseconds responseGracePeriod{300};

    /// The next four are the calls of the same name of KvClient.
    std::function<void(const std::string &key, bool prefix, std::function<void(const KvRangeResult &)> done)> range;
    std::function<void(const KvTxn &txn, std::function<void(const KvTxnResult &)> done)> txn;
    std::function<void(std::chrono::seconds ttl, std::function<void(const KvLeaseResult &)> done)> grantLease;
    std::function<void(std::int64_t lease, std::function<void(const KvLeaseResult &)> done)> keepLeaseAlive;
    /// Reads one page of the keys that begin with @p prefix and come after @p afterKey. Unset when the store does not
    /// support paging.
    std::function<void(
        const std::string &prefix, const std::string &afterKey, std::function<void(const KvPage &)> done)>
        readPage;
    /// Long poll: waits up to @p wait for changes after @p revision to keys that begin with @p prefix; no events means
    /// that nothing changed. The returned function cancels the poll. Unset when the store streams changes to watches.
    std::function<std::function<void()>(const std::string &prefix,
                                        std::int64_t revision,
                                        std::chrono::milliseconds wait,
                                        std::function<void(const KvChanges &)> done)>
        waitForChanges;
    /// Checks whether the store responds, by its cheapest call. Unset when no caller needs it.
    std::function<void(std::function<void(KvStatus status, const std::string &error)> done)> ping;
    /// Watches one key; the returned function cancels the watch.
    std::function<std::function<void()>(const std::string &key, KvClient::WatchHooks hooks)> watch;
};

/// Forwards the calls to @p client, which must outlive the result.
KvAccess makeKvAccess(KvClient &client);

} // namespace hemlock
