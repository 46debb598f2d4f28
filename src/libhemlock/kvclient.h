#pragma once

#include "httpclient.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hemlock {

/// One key of the store with its value and metadata, as etcd defines it.
struct KvEntry
{
    std::string key;
    std::string value;
    std::int64_t createRevision = 0; ///< Store revision at which the key was created.
    std::int64_t modRevision = 0; ///< Store revision of the last change.
    std::int64_t version = 0; ///< Number of changes since the key was created.
    std::int64_t lease = 0; ///< Lease that the key is attached to; 0 for none.
};

/// What is known about the effect of a call to the store.
enum class KvStatus {
    Ok,
    NotApplied, ///< Rejected or never sent; a write had no effect.
    Unknown, ///< Sent, but no response arrived; a write may have taken effect.
};

/// Condition of a transaction: the key was last changed at this revision; 0 means that the key is absent.
struct KvCompare
{
    std::string key;
    std::int64_t modRevision = 0;
};

/// Write of one key within a transaction.
struct KvPut
{
    std::string key;
    std::string value;
    std::int64_t lease = 0; ///< 0 for no lease.
};

/// Transaction: when all compares hold, the puts and deletes are applied at once, otherwise nothing is.
struct KvTxn
{
    std::vector<KvCompare> compares;
    std::vector<KvPut> puts;
    std::vector<std::string> deletes;
    std::vector<std::string> readsOnFailure; ///< Keys returned when a compare fails.
    /// Newer writes lose nothing if the store executes this one after them; see LateWriteGuard.
    bool isOrderIndependent = false;
};

struct KvRangeResult
{
    KvStatus status = KvStatus::Unknown;
    std::int64_t revision = 0; ///< Revision of the store.
    std::vector<KvEntry> entries;
    std::string error;
    std::int64_t era = 0; ///< Era of the store, see StoreEra; 0 when unknown.
};

struct KvTxnResult
{
    KvStatus status = KvStatus::Unknown;
    bool succeeded = false; ///< Whether the compares held; valid with Ok.
    std::int64_t revision = 0; ///< Revision after the transaction: the mod revision of each key that it put.
    std::vector<KvEntry> entries; ///< The keys in readsOnFailure, when the compares failed.
    std::string error;
    std::int64_t era = 0; ///< Era of the store; 0 when unknown.
};

struct KvLeaseResult
{
    KvStatus status = KvStatus::Unknown;
    std::int64_t lease = 0;
    std::chrono::seconds ttl{0}; ///< 0 after keepLeaseAlive() when the lease has expired or was revoked.
    std::string error;
    std::int64_t era = 0; ///< Era of the store; 0 when unknown.
};

/// Change of one key.
struct KvEvent
{
    bool isDelete = false;
    KvEntry entry;
};

/// Client of a key-value store with the JSON gateway of the etcd v3 API.
class KvClient
{
public:
    using WatchId = HttpClient::CallId;

    struct WatchHooks
    {
        std::function<void(const std::vector<KvEvent> &events, std::int64_t revision)> changed;
        std::function<void(const std::string &error)> ended; ///< The watch has ended; start a new one.
    };

    /// @p endpoint is "http://ADDRESS:PORT" or "ADDRESS:PORT"; @p timeout limits each call except watches.
    KvClient(HttpClient &http, const std::string &endpoint, std::chrono::milliseconds timeout);

    /// Reads one key, or with @p prefix all keys that begin with it.
    void range(const std::string &key, bool prefix, std::function<void(const KvRangeResult &)> done);

    /// Runs a transaction.
    void txn(const KvTxn &txn, std::function<void(const KvTxnResult &)> done);

    /// Keys that are attached to a lease are deleted @p ttl after its last keep-alive, or when it is revoked.
    void grantLease(std::chrono::seconds ttl, std::function<void(const KvLeaseResult &)> done);
    void keepLeaseAlive(std::int64_t lease, std::function<void(const KvLeaseResult &)> done);
    void revokeLease(std::int64_t lease, std::function<void(const KvLeaseResult &)> done);

    /// Reports the changes of a key, or with @p prefix of all keys that begin with it, from @p startRevision on; 0 for
    /// changes from now on.
    WatchId watch(const std::string &key, bool prefix, std::int64_t startRevision, WatchHooks hooks);
    void cancelWatch(WatchId id);

private:
    struct Response;

    void post(const std::string &path, const nlohmann::json &body, std::function<void(const Response &)> done);
    void
    postLease(const std::string &path, const nlohmann::json &body, std::function<void(const KvLeaseResult &)> done);

    HttpClient &http;
    std::string endpoint;
    std::chrono::milliseconds timeout;
};

} // namespace hemlock
