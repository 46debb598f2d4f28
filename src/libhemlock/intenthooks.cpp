#include "intenthooks.h"

#include "encoding.h"

#include <asio.hpp>

#include <memory>
#include <random>

namespace hemlock {

IntentLogHooks makeIntentLogHooks(asio::io_context &loop, KvClient &store)
{
    IntentLogHooks hooks;
    hooks.range = [&store](const std::string &key, const std::function<void(const KvRangeResult &)> &done) {
        store.range(key, false, done);
    };
    hooks.txn = [&store](const KvTxn &txn, const std::function<void(const KvTxnResult &)> &done) {
        store.txn(txn, done);
    };
    hooks.grantLease = [&store](std::chrono::seconds ttl, const std::function<void(const KvLeaseResult &)> &done) {
        store.grantLease(ttl, done);
    };
    hooks.keepLeaseAlive = [&store](std::int64_t lease, const std::function<void(const KvLeaseResult &)> &done) {
        store.keepLeaseAlive(lease, done);
    };
    hooks.revokeLease = [&store](std::int64_t lease, const std::function<void(const KvLeaseResult &)> &done) {
        store.revokeLease(lease, done);
    };
    hooks.now = [] { return std::chrono::steady_clock::now(); };
    hooks.wallNow = [] { return std::chrono::system_clock::now(); };
    hooks.after = [&loop](std::chrono::steady_clock::duration delay, std::function<void()> expired) {
        const auto timer = std::make_shared<asio::steady_timer>(loop, delay);
        timer->async_wait([timer, expired = std::move(expired)](const asio::error_code &error) {
            if (!error)
                expired();
        });
    };
    hooks.random = [generator = std::make_shared<std::mt19937>(std::random_device()())] {
        return std::uniform_real_distribution<>(0, 1)(*generator);
    };
    hooks.uniqueId = makeUniqueId;
    return hooks;
}

} // namespace hemlock
