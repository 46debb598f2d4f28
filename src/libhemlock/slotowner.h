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

enum class SlotPhase {
    Unknown, ///< The record was not read yet, or the owner that it names is in doubt.
    Claiming, ///< A commit that makes this process the owner is in flight.
    Loading, ///< This process owns the slot and reads its segments.
    Owned,
    Remote, ///< Another process owns the slot.
    Released, ///< Given up in a graceful shutdown.
};

/// Why an owner did not take a forwarded call.
enum class ForwardingFailure {
    Unreachable,
    NotOwner, ///< It says that it does not own the slot.
    Closing, ///< It is about to release the slot.
};

/// One slot of idempotency keys: claims it, commits intents, and gives it up when another process took it over.
///
/// Ownership rests on the compare-and-swap of the slot's record alone. Leases and broken connections only say when
/// a takeover is worth trying.
class SlotOwner : public std::enable_shared_from_this<SlotOwner>
{
public:
    using DecisionCallback = std::function<void(const IntentDecision &)>;
    /// Calls back with a lease of this process, or 0 when none could be granted.
    using LeaseProvider = std::function<void(std::function<void(std::int64_t lease)>)>;

    SlotOwner(std::uint32_t slot,
              const IntentLogSettings &settings,
              IntentLogHooks hooks,
              IntentLogStats &stats,
              LeaseProvider leaseProvider);

    void submit(const IntentRequest &request, const std::string &keyHash, DecisionCallback decided);
    void
    complete(const IntentRequest &request, const std::string &keyHash, Verdict verdict, const StoredAnswer &answer);

    /// Reports how a forwarded call failed; the next call reads the record again.
    void forwardingFailed(const std::string &address, ForwardingFailure failure);
    void forwardingSucceeded(const std::string &address);

    /// Reads whether the owner at this address still holds its lease; true when the store does not answer.
    void verifyOwner(const std::string &address, std::function<void(bool holds)> done);

    /// Puts the holder key under a new lease with the next commit.
    void leaseChanged(std::int64_t lease);

    /// Refuses new calls, waits for the running ones and gives up the slot.
    void release(std::function<void()> done);

    SlotPhase phase() const;
    bool isClosing() const;

private:
    struct Commit
    {
        CommitPlan plan;
        KvTxn txn;
        std::int64_t baseRevision = 0;
        bool isClaim = false;
        bool isTakeover = false;
        bool mayBeApplied = false; ///< An earlier sending got no answer, so the content must not change.
    };

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
    bool mayTakeOver(const SlotRecord &current) const;

    void admit(const IntentWaiterPtr &waiter);
    void admitKnownKey(const IntentWaiterPtr &waiter, KeyState &state);
    void replayAnswer(const IntentWaiterPtr &waiter, const KeyState &state);
    void replayFromSegment(const IntentWaiterPtr &waiter, std::uint64_t segment);
    void startDeadlineTimer(const IntentWaiterPtr &waiter);
    void onDeadline(const IntentWaiterPtr &waiter);
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
    SlotRecord record; ///< As last confirmed; valid while this process owns the slot.
    std::int64_t revision = 0; ///< Mod revision of the record.
    KeyTable table;
    std::vector<IntentWaiterPtr> pendingCalls; ///< Calls that wait until the owner of the slot is known.
    /// Calls that still run here after another process took the slot over.
    std::unordered_map<std::string, KeyState> orphanedCalls;

    std::string remoteOwner;
    std::string remoteAddress;
    std::optional<PlannedTakeover> plannedTakeover;
    bool isResolving = false;
    bool isRetryScheduled = false;
    std::string problem; ///< Why the record cannot be used; empty when it can.

    std::optional<Commit> commit;
    std::optional<std::chrono::steady_clock::time_point> scheduledCommitTime;
    std::chrono::steady_clock::time_point lastCommitStart;
    std::chrono::steady_clock::time_point noCommitBefore;
    int consecutiveFailures = 0; ///< Calls to the store that failed since the last success.
    std::int64_t lease = 0; ///< Current lease of this process.
    std::int64_t holderLease = 0; ///< Lease that the holder key was last put under.

    bool closing = false;
    std::function<void()> onReleased;
};

} // namespace hemlock
