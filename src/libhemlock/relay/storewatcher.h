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
    std::string prefix; ///< Keys with this prefix are watched.
    /// How long the store may hold a long poll open. Without an answer by then plus KvAccess::responseGracePeriod, the
    /// poll fails.
    std::chrono::milliseconds pollTimeout{1000};
    /// Delay before the next poll after changes arrived, so that changes in quick succession are read in one call.
    std::chrono::milliseconds batchDelay{0};
    std::chrono::milliseconds firstPollDelay{0}; ///< Delay between the first full read and the first poll.
    std::chrono::milliseconds initialRetryDelay{150}; ///< Doubled after each failed read.
    std::chrono::milliseconds maxRetryDelay{1000};
};

/// Returns the longest poll timeout with which a change is applied within @p bound after the store accepted it, even if
/// the answer to one poll is lost and the next read has to fetch the change.
std::chrono::milliseconds longPollTimeout(std::chrono::milliseconds bound, std::chrono::milliseconds batchDelay);

struct StoreWatcherHooks
{
    /// Called with all keys and their values after a full read.
    std::function<void(const std::map<std::string, std::string> &values)> snapshotLoaded;
    std::function<void(const std::vector<KvEvent> &events)> keysChanged;
    /// Called with false when two reads in a row failed, and with true before the first answer after that is passed on.
    /// A single failure does not count, since a broken connection alone does not mean that the store is unreachable.
    std::function<void(bool reachable, const std::string &error)> reachabilityChanged;
};

/// When the latest successful read was sent and when its answer arrived, as by bootTimeNow().
struct StoreReadTimes
{
    std::chrono::steady_clock::time_point requested;
    std::chrono::steady_clock::time_point answered;
};

/// Watches all keys with one prefix: a full read first, then long polls for changes.
///
/// The revision never decreases until reload() is called: a full read that returns an older state than was already
/// passed on is repeated.
class StoreWatcher
{
public:
    StoreWatcher(asio::io_context &loop, KvAccess kv, StoreWatcherSettings settings, StoreWatcherHooks hooks);
    ~StoreWatcher();

    StoreWatcher(const StoreWatcher &) = delete;
    StoreWatcher &operator=(const StoreWatcher &) = delete;

    void start();

    /// Cancels the poll in progress and handles it as failed with @p error, which leads to a retry. Called when the
    /// store does not answer other calls, since the poll would not be answered either.
    void failPoll(const std::string &error);

    /// Cancels the poll in progress and starts a new one at once. Called when the store answers other calls again,
    /// since a poll that was started during the outage may never be answered.
    void restartPoll();

    /// Cancels what is in progress and reads all keys at once, whatever their revision. Called when the store was
    /// restored from an older copy, so that its revisions start anew.
    void reload();

    /// Latest store revision that was passed on; 0 before the first full read.
    std::int64_t revision() const;

    const StoreReadTimes &lastRead() const;

private:
    class Private;
    std::shared_ptr<Private> d;
};

} // namespace hemlock
