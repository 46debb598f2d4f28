#pragma once

#include "intentsettings.h"
#include "slotrecord.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace hemlock {

/// One caller that waits for the decision on its call.
struct IntentWaiter
{
    IntentRequest request;
    std::string keyHash;
    std::string bodyHash;
    std::function<void(const IntentDecision &)> onDecided;
    bool isDecided = false;

    /// Passes the decision to the caller; does nothing if the call is already decided.
    void decide(const IntentDecision &decision);
};

using IntentWaiterPtr = std::shared_ptr<IntentWaiter>;

/// Progress of the call with a key.
enum class KeyPhase {
    Waiting, ///< The intent is not yet durable and the call was not sent.
    Running, ///< The call was dispatched by this process.
    Ran, ///< The call has run.
    Unknown, ///< The call may have run; this phase is final.
};

/// State of one key in the memory of the owner of its slot.
struct KeyState
{
    KeyPhase phase = KeyPhase::Waiting;
    std::string bodyHash; ///< Empty with Unknown, because tombstones do not store it.
    WallTime startedOrFinishedAt; ///< When the call finished with Ran, otherwise when it was submitted.
    std::string runningRequestId; ///< With Running: request identifier of the dispatched call.
    bool hasAnswer = false; ///< With Ran: whether the answer was small enough to be kept.
    StoredAnswer answer; ///< With Ran; empty if it is stored in a segment.
    std::uint64_t segment = 0; ///< With Ran: number of the segment with the completion; 0 for none.
    std::uint64_t order = 0; ///< Position among the waiting and running keys.
    std::deque<IntentWaiterPtr> waiters; ///< With Waiting and Running: callers with this key that wait for a decision.

    bool hasUndecidedWaiter() const;
};

/// Content of one commit, and its effects on the key table once it is confirmed.
struct CommitPlan
{
    SlotRecord record;
    std::string value; ///< The encoded record.
    std::vector<std::string> newIntents; ///< Keys that may be dispatched once the commit is confirmed.
    std::vector<std::string> newCompletions; ///< Keys whose completions are written for the first time.
    std::vector<std::string> sealed; ///< Keys whose completions move to the new segment.
    std::optional<SegmentReference> newSegment;
    std::string segmentValue; ///< The encoded new segment.
    std::vector<std::uint64_t> droppedSegments; ///< Segments past the retention time, which the commit deletes.
    bool isRelease = false; ///< Whether the commit gives up the ownership of the slot.
};

/// All keys of one slot as known to its owner.
class KeyTable
{
public:
    explicit KeyTable(const IntentLogSettings &settings);

    /// Loads the record of the slot when it is claimed. The open intents of former owners become tombstones, because
    /// their calls may have run.
    void load(const SlotRecord &record);
    void loadSegment(std::uint64_t number, const std::vector<DurableCompletion> &completions);
    void clear();

    KeyState *find(const std::string &keyHash);
    const KeyState *find(const std::string &keyHash) const;

    /// Removes the key if its completion is past the retention time, so that the key can be used again.
    void forgetExpired(const std::string &keyHash, WallTime now);

    void addWaiting(const IntentWaiterPtr &waiter, WallTime now);
    void setRunning(KeyState &state, const IntentRequest &request);
    void setRan(const std::string &keyHash, const StoredAnswer &answer, WallTime now);
    void setUnknown(const std::string &keyHash);
    /// Removes the key of a call that is known not to have run; returns its waiters.
    std::deque<IntentWaiterPtr> setNotRun(const std::string &keyHash);

    /// Builds the next commit from the last confirmed record. With @p isReleasing, it gives up the slot if no intent is
    /// open.
    CommitPlan plan(const SlotRecord &base, WallTime now, bool isReleasing) const;
    /// Applies the effects of a confirmed commit.
    void confirm(const CommitPlan &plan);

    /// Whether a commit would change the record.
    bool hasChanges() const;
    bool hasWaiting() const;
    bool hasRunning() const;
    bool hasUnwrittenCompletions() const;
    /// Whether the record could exceed maxRecordBytes with one more open intent.
    bool isFull() const;
    std::size_t openIntents() const; ///< Intents that the next record would hold.

    /// Hashes of the waiting and running keys, oldest first.
    std::vector<std::string> activeKeys() const;

private:
    void planCompletions(const SlotRecord &base, WallTime now, CommitPlan &plan) const;
    void planIntents(CommitPlan &plan) const;
    DurableCompletion makeCompletion(const std::string &keyHash) const;

    IntentLogSettings settings;
    std::unordered_map<std::string, KeyState> keys;
    std::map<std::uint64_t, std::string> activeKeysByOrder; ///< Waiting and running keys by KeyState::order.
    std::uint64_t nextOrder = 0;
    std::unordered_set<std::string> tombstones; ///< Hashes of the keys with an unknown outcome.
    std::deque<std::string> unwrittenCompletions; ///< Keys that ran but are still intents in the record.
    std::deque<std::string> writtenCompletions; ///< Keys with a completion in the record, oldest first.
    std::unordered_set<std::string> recordIntents; ///< Intents of the last confirmed record.
    std::size_t recordTombstones = 0; ///< Number of tombstones in the last confirmed record.
    std::size_t segmentCount = 0; ///< Number of segments in the last confirmed record.
    std::unordered_map<std::uint64_t, std::vector<std::string>> segmentKeys; ///< Key hashes by segment number.
};

} // namespace hemlock
