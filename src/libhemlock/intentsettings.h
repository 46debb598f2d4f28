#pragma once

#include "kvclient.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace hemlock {

/// Size limits and timing of the intent log.
struct IntentLogSettings
{
    std::string instance; ///< Unique per process start, so that a restart is not mistaken for its predecessor.
    std::string address; ///< Control address of this entry process, "IP:PORT", to which peers forward calls.
    std::uint32_t slotCount = 8; ///< Must be the same in all entry processes; a record with another count is refused.
    std::chrono::seconds retention = std::chrono::hours(24); ///< How long completions and their answers are kept.
    std::chrono::seconds leaseTtl{5}; ///< Time to live of the lease that all slots of the process share.

    /// Minimum time between two commits of one slot. 8 slots at 50 commits/s use 400 of the store's 500 writes/s.
    std::chrono::milliseconds commitInterval{20};
    /// How long a completion may wait, so that it shares a commit with others. If the process is killed before that
    /// commit, the next owner treats the call as may-have-run.
    std::chrono::milliseconds completionDelay{100};
    /// Commits one intent or completion at a time instead of all pending ones; the baseline of scripts/measure.
    bool commitsSingly = false;

    /// If the completions in the record exceed this size, the oldest ones move to a sealed segment.
    std::size_t segmentBytes = std::size_t{256} * 1024;
    std::size_t maxRecordBytes = std::size_t{768} * 1024; ///< The store refuses values above 1 MiB.
    std::size_t maxPendingCalls = 5000; ///< Per slot: calls that wait until the owner of the slot is known.

    /// How long an owner that holds its lease must be unreachable before its slot is taken over. A takeover marks
    /// the owner's running calls as may-have-run, so a single broken connection must not cause one.
    std::chrono::milliseconds unreachableGrace{1000};
    /// How long an owner that is shutting down may take to finish its running calls and release the slot.
    std::chrono::milliseconds closingGrace{30000};
    std::chrono::milliseconds firstRetryDelay{20}; ///< After a failed store request; doubles per failure, with jitter.
    std::chrono::milliseconds maxRetryDelay{1000}; ///< Upper limit of the retry delay.
};

/// Clocks, timers, random numbers and store access of the intent log; replaced by simulations in tests.
struct IntentLogHooks
{
    std::function<void(const std::string &key, std::function<void(const KvRangeResult &)> done)> range;
    std::function<void(const KvTxn &txn, std::function<void(const KvTxnResult &)> done)> txn;
    std::function<void(std::chrono::seconds ttl, std::function<void(const KvLeaseResult &)> done)> grantLease;
    std::function<void(std::int64_t lease, std::function<void(const KvLeaseResult &)> done)> keepLeaseAlive;
    std::function<void(std::int64_t lease, std::function<void(const KvLeaseResult &)> done)> revokeLease;

    std::function<std::chrono::steady_clock::time_point()> now;
    std::function<std::chrono::system_clock::time_point()> wallNow;
    std::function<void(std::chrono::steady_clock::duration delay, std::function<void()> expired)> after;
    std::function<double()> random; ///< Uniform in [0, 1).
    std::function<std::string()> uniqueId; ///< Returns another identifier with each call.
};

/// Counters of the intent log since the start of the process.
struct IntentLogStats
{
    std::uint64_t commits = 0; ///< Commits that are known to have taken effect.
    std::uint64_t commitsSent = 0; ///< Transactions sent, including retries.
    std::uint64_t committedBytes = 0; ///< Bytes of the records and segments in these commits.
    std::uint64_t committedIntents = 0; ///< Intents that became durable.
    std::uint64_t lostAnswers = 0; ///< Commits without a response that were found applied by reading the record back.
    std::uint64_t claims = 0; ///< Slots claimed, including takeovers.
    std::uint64_t takeovers = 0; ///< Claims of a slot that another process had not released.
    std::uint64_t lostSlots = 0; ///< Owned slots that turned out to be taken over by another process.
    std::uint64_t dispatched = 0; ///< Calls with the decision Dispatch.
    std::uint64_t replayed = 0; ///< Calls with the decision Replay.
    std::uint64_t refused = 0; ///< Calls with the decision Refuse.
    std::uint64_t forwarded = 0; ///< Calls with the decision Forward.
};

} // namespace hemlock
