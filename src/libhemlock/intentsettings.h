#pragma once

#include "kvclient.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace hemlock {

/// Limits and times of the intent log.
struct IntentLogSettings
{
    std::string instance; ///< Unique per start of a process, so that a restart does not pass for its predecessor.
    std::string address; ///< Control address of this entry process, "IP:PORT", for forwarded calls.
    std::uint32_t slotCount = 8;
    std::chrono::seconds retention = std::chrono::hours(24);
    std::chrono::seconds leaseTtl{5};

    /// Shortest time between two commits of one slot. 8 slots at 50 commits/s use 400 of the store's 500 writes/s.
    std::chrono::milliseconds commitInterval{20};
    /// How long a completion may wait for a commit that takes it along. A process killed within it leaves the
    /// call as may-have-run.
    std::chrono::milliseconds completionDelay{100};
    /// One intent or completion per commit instead of all that wait; the baseline of scripts/measure.
    bool commitsSingly = false;

    std::size_t segmentBytes = std::size_t{256} * 1024; ///< Completions beyond it are sealed.
    std::size_t maxRecordBytes = std::size_t{768} * 1024; ///< The store refuses values above 1 MiB.
    std::size_t maxPendingCalls = 5000; ///< Calls that wait until the owner of their slot is known.

    /// How long an owner that holds its lease must be unreachable before its slot is taken over. A takeover makes
    /// the owner's calls in progress may-have-run, so one broken connection is not enough.
    std::chrono::milliseconds unreachableGrace{1000};
    /// How long an owner that releases its slot may take; it is the notice within which its calls finish.
    std::chrono::milliseconds closingGrace{30000};
    std::chrono::milliseconds firstRetryDelay{20}; ///< After a failed call to the store; doubles, with jitter.
    std::chrono::milliseconds maxRetryDelay{1000};
};

/// Time, randomness and I/O of the intent log.
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
    std::function<std::string()> uniqueId;
};

/// Counters of the intent log since the start of the process.
struct IntentLogStats
{
    std::uint64_t commits = 0; ///< Confirmed commits.
    std::uint64_t commitsSent = 0; ///< Transactions sent, with repetitions.
    std::uint64_t committedBytes = 0; ///< Of confirmed records and segments.
    std::uint64_t committedIntents = 0; ///< Calls that became durable.
    std::uint64_t lostAnswers = 0; ///< Commits whose answer was lost and that were settled by reading back.
    std::uint64_t claims = 0;
    std::uint64_t takeovers = 0; ///< Claims of a slot that another process had not released.
    std::uint64_t lostSlots = 0; ///< Slots found to be taken over by another process.
    std::uint64_t dispatched = 0;
    std::uint64_t replayed = 0;
    std::uint64_t refused = 0;
    std::uint64_t forwarded = 0;
};

} // namespace hemlock
