#pragma once

#include "keytable.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlock {

/// Ownership of a slot as known to this process.
enum class SlotPhase {
    Unknown, ///< The record has not been read, or its owner may no longer own the slot.
    Claiming, ///< A commit that makes this process the owner is in flight.
    Loading, ///< This process owns the slot and is reading its segments.
    Owned,
    Remote, ///< Another process owns the slot.
    Released, ///< This process released the slot in a graceful shutdown.
};

/// Why a call could not be forwarded to the owner of its slot.
enum class ForwardingFailure {
    Unreachable,
    NotOwner, ///< The process responded that it does not own the slot.
    Closing, ///< The owner is shutting down and about to release the slot.
};

/// Manages one slot of idempotency keys: finds its owner, claims the slot, commits intents and completions, and gives
/// the slot up when another process has taken it over.
///
/// Only the compare-and-swap of the slot's record guarantees exclusive ownership. Leases and broken connections merely
/// indicate when to try a takeover.
class SlotOwner : public std::enable_shared_from_this<SlotOwner>
{
public:
    using DecisionCallback = std::function<void(const IntentDecision &)>;
    /// Calls back with the lease of this process, or 0 if none could be granted.
    using LeaseProvider = std::function<void(std::function<void(std::int64_t lease)>)>;

    SlotOwner(std::uint32_t slot,
              const IntentLogSettings &settings,
              IntentLogHooks hooks,
              IntentLogStats &stats,
              LeaseProvider leaseProvider);

    void submit(const IntentRequest &request, const std::string &keyHash, DecisionCallback onDecided);
    void
    complete(const IntentRequest &request, const std::string &keyHash, Verdict verdict, const StoredAnswer &answer);

    /// Reports why a forwarded call failed; the next call reads the record again.
    void forwardingFailed(const std::string &address, ForwardingFailure failure);
    /// Reports that the owner at this address took a forwarded call; cancels a planned takeover.
    void forwardingSucceeded(const std::string &address);

    /// Checks in the store whether the owner at this address still holds its lease. Calls back with true if the store
    /// does not respond, because a store outage does not prove that the owner is gone.
    void verifyOwner(const std::string &address, std::function<void(bool holds)> done);

    /// Attaches the holder key to a new lease with the next commit.
    void leaseChanged(std::int64_t lease);

    /// Refuses new calls, waits for the running ones and releases the slot, then calls back.
    void release(std::function<void()> done);

    SlotPhase phase() const;
    bool isClosing() const;

private:
    /// The commit in flight.
    struct Commit
    {
        CommitPlan plan;
        KvTxn txn;
        std::int64_t baseRevision = 0;
        bool isClaim = false;
        bool isTakeover = false;
        bool mayBeApplied = false; ///< A transaction got no response, so a retry must have the same content.
    };

    /// Takeover of the slot from an owner that could not be reached or did not accept calls.
    struct PlannedTakeover
    {
        std::string owner;
        std::chrono::steady_clock::time_point takeoverAt;
    };

    void resolveOwner();
    void onRecordRead(const KvRangeResult &result);
    void onHolderRead(const SlotRecord &current, std::int64_t revision, const KvRangeResult &result);
    void retryResolveOwner(std::chrono::steady_clock::duration delay);
    void claim(SlotRecord current, std::int64_t revision, bool isTakeover);
    void loadNextSegment(std::size_t index);
    void becomeRemote(const SlotRecord &record);
    void becomeUnreadable(const std::string &problem);
    void becomeOwned();
    bool isTakeoverDue(const SlotRecord &current) const;

    void admit(const IntentWaiterPtr &waiter);
    void admitKnownKey(const IntentWaiterPtr &waiter, KeyState &state);
    void replayAnswer(const IntentWaiterPtr &waiter, const KeyState &state);
    void replayFromSegment(const IntentWaiterPtr &waiter, std::uint64_t segment);
    void startDeadlineTimer(const IntentWaiterPtr &waiter);
    void onDeadline(const IntentWaiterPtr &waiter);
    /// Whether another attempt with the same key is running or may still be dispatched.
    bool hasOtherAttempt(const IntentWaiter &waiter) const;
    void completeOrphanedCall(const std::string &keyHash, Verdict verdict, const StoredAnswer &answer);
    void answerWaiters(std::deque<IntentWaiterPtr> waiters, Verdict verdict, const StoredAnswer &answer);
    void refuse(const IntentWaiterPtr &waiter, Verdict verdict, int status, std::string code, std::string message);

    void scheduleCommit(std::chrono::steady_clock::duration delay);
    void startCommit();
    void sendCommit();
    void onCommitResult(const KvTxnResult &result);
    void readBack();
    void settleCommit(const KvEntry *entry);
    void confirm(std::int64_t revision);
    void dispatch(const std::vector<std::string> &keyHashes);
    void loseOwnership();
    void notifyIfReleased();
    std::chrono::steady_clock::duration nextRetryDelay();
    void callAfter(std::chrono::steady_clock::duration delay, void (SlotOwner::*method)());

    const std::uint32_t slot;
    const IntentLogSettings settings;
    const IntentLogHooks hooks;
    IntentLogStats &stats;
    const LeaseProvider leaseProvider;

    SlotPhase currentPhase = SlotPhase::Unknown;
    SlotRecord record; ///< Last confirmed record; valid while this process owns the slot.
    std::int64_t revision = 0; ///< Modification revision of the record in the store.
    KeyTable table;
    std::vector<IntentWaiterPtr> pendingCalls; ///< Calls that wait until the owner of the slot is known.
    /// Running calls that this process dispatched before another process took the slot over, by key hash.
    std::unordered_map<std::string, KeyState> orphanedCalls;

    std::string remoteOwner;
    std::string remoteAddress;
    std::optional<PlannedTakeover> plannedTakeover;
    bool isResolving = false;
    bool isRetryScheduled = false;
    std::string problem; ///< Why the record cannot be used; empty if it is usable.

    std::optional<Commit> commit;
    std::optional<std::chrono::steady_clock::time_point> scheduledCommitTime;
    std::chrono::steady_clock::time_point lastCommitStart;
    std::chrono::steady_clock::time_point noCommitBefore;
    int consecutiveFailures = 0; ///< Store requests that failed since the last success.
    std::int64_t lease = 0; ///< Current lease of this process; 0 for none.
    std::int64_t holderLease = 0; ///< Lease to which the holder key is attached; 0 for none.

    bool closing = false;
    std::function<void()> onReleased;
};

} // namespace hemlock
