#include "kvaccess.h"

#include <utility>

namespace hemlock {

KvAccess makeKvAccess(KvClient &client)
{
    KvAccess access;
    access.range = [&client](const std::string &key, bool prefix, std::function<void(const KvRangeResult &)> done) {
        client.range(key, prefix, std::move(done));
    };
    access.txn = [&client](const KvTxn &txn, std::function<void(const KvTxnResult &)> done) {
        client.txn(txn, std::move(done));
    };
    access.grantLease = [&client](std::chrono::seconds ttl, std::function<void(const KvLeaseResult &)> done) {
        client.grantLease(ttl, std::move(done));
    };
    access.keepLeaseAlive = [&client](std::int64_t lease, std::function<void(const KvLeaseResult &)> done) {
        client.keepLeaseAlive(lease, std::move(done));
    };
    access.watch = [&client](const std::string &key, KvClient::WatchHooks hooks) {
        const KvClient::WatchId id = client.watch(key, false, 0, std::move(hooks));
        return [&client, id] { client.cancelWatch(id); };
    };
    return access;
}

} // namespace hemlock
