#pragma once

#include "kvaccess.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace hemlock {

struct StoreWatcherSettings
{
    std::string prefix;
    /// A waiting read that hangs without a word is given up after this time and KvAccess::answerSlack.
    std::chrono::milliseconds pollTimeout{1000};
    /// After changes, so that those that come in quick succession are read by one call.
    std::chrono::milliseconds batchDelay{0};
    std::chrono::milliseconds initialRetryDelay{150};
    std::chrono::milliseconds maxRetryDelay{1000};
};

/// How long a read may wait for news that are to be in use by @p bound after the store took them, even if its answer is
/// lost and the next read has to bring them.
std::chrono::milliseconds longPollTimeout(std::chrono::milliseconds bound, std::chrono::milliseconds batchDelay);

struct StoreWatcherHooks
{
    /// All keys, after a full read.
    std::function<void(const std::map<std::string, std::string> &values)> snapshotLoaded;
    std::function<void(const std::vector<KvEvent> &events)> keysChanged;
    /// The store answers again, before the first answer is passed on, or did not answer two reads in a row. A single
    /// one may have been cut, which says nothing about the store.
    std::function<void(bool reachable, const std::string &error)> reachabilityChanged;
};

/// When the latest read that the store answered was asked and answered.
struct StoreReadTimes
{
    std::chrono::steady_clock::time_point requested;
    std::chrono::steady_clock::time_point answered;
};

/// Keeps up with the keys below one prefix: a full read, then waiting reads of what changed.
///
/// The revision only grows: a full read that is older than what was passed on is read again.
class StoreWatcher
{
public:
    StoreWatcher(asio::io_context &loop, KvAccess kv, StoreWatcherSettings settings, StoreWatcherHooks hooks);
    ~StoreWatcher();

    StoreWatcher(const StoreWatcher &) = delete;
    StoreWatcher &operator=(const StoreWatcher &) = delete;

    void start();

    /// The store does not answer other calls: a waiting read would wait in vain and is begun anew.
    void failPoll(const std::string &error);

    /// The store answers other calls again: a waiting read that was begun meanwhile may never be answered and is begun
    /// anew.
    void restartPoll();

    std::int64_t revision() const;

    const StoreReadTimes &lastRead() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace hemlock
