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

/// One caller that waits for a decision about its call.
struct IntentWaiter
{
    IntentRequest request;
    std::string keyHash;
    std::string bodyHash;
    std::function<void(const IntentDecision &)> decided;
    bool isDecided = false;

    void decide(const IntentDecision &decision);
};

using IntentWaiterPtr = std::shared_ptr<IntentWaiter>;

enum class KeyPhase {
    Waiting, ///< Its intent is not yet durable; nothing was sent.
    Running, ///< The call was dispatched by this process.
    Ran, ///< The call ran.
    Unknown, ///< The call may have run, for ever.
};

struct KeyState
{
    KeyPhase phase = KeyPhase::Waiting;
    std::string bodyHash; ///< Empty with Unknown: tombstones do not keep it.
    WallTime startedOrFinishedAt; ///< Start of the call, or its end with Ran.
    std::string runningRequestId; ///< With Running: request identifier of the dispatched call.
    bool hasAnswer = false; ///< With Ran.
    StoredAnswer answer; ///< With Ran; empty when it is in a segment.
    std::uint64_t segment = 0; ///< With Ran: segment that holds the completion; 0 for none.
    std::uint64_t order = 0; ///< Position among the active keys.
    std::deque<IntentWaiterPtr> waiters; ///< With Waiting and Running.

    bool hasUndecidedWaiter() const;
};

/// What one commit changes, as needed once it is confirmed.
struct CommitPlan
{
    SlotRecord record;
    std::string value; ///< The encoded record.
    std::vector<std::string> newIntents; ///< Keys that may be dispatched once the commit is confirmed.
    std::vector<std::string> newCompletions;
    std::vector<std::string> sealed; ///< Keys whose completions move to the new segment.
    std::optional<SegmentReference> newSegment;
    std::string segmentValue;
    std::vector<std::uint64_t> droppedSegments;
    bool isRelease = false;
};

/// All keys of one slot as known to its owner.
class KeyTable
{
public:
    explicit KeyTable(const IntentLogSettings &settings);

    /// Starts from a record whose intents are those of former owners: they become tombstones.
    void load(const SlotRecord &record);
    void loadSegment(std::uint64_t number, const std::vector<DurableCompletion> &completions);
    void clear();

    KeyState *find(const std::string &keyHash);
    const KeyState *find(const std::string &keyHash) const;

    /// Forgets a completion that is past the retention time, so that its key counts as new.
    void forgetExpired(const std::string &keyHash, WallTime now);

    void addWaiting(const IntentWaiterPtr &waiter, WallTime now);
    void setRunning(KeyState &state, const IntentRequest &request);
    void setRan(const std::string &keyHash, const StoredAnswer &answer, WallTime now);
    void setUnknown(const std::string &keyHash);
    /// Frees the key of a call that was proven not to have run; returns its waiters.
    std::deque<IntentWaiterPtr> setNotRun(const std::string &keyHash);

    /// Builds the next commit on top of a record.
    CommitPlan plan(const SlotRecord &base, WallTime now, bool isReleasing) const;
    /// Takes over the effects of a confirmed commit.
    void confirm(const CommitPlan &plan);

    /// Whether a commit would change the record.
    bool hasChanges() const;
    bool hasWaiting() const;
    bool hasRunning() const;
    bool hasUnwrittenCompletions() const;
    /// Whether one more open intent would let the record exceed its limit.
    bool isFull() const;
    std::size_t openIntents() const; ///< Intents that the next record would hold.

    /// Keys that wait or run, with their state.
    std::vector<std::string> activeKeys() const;

private:
    void planCompletions(const SlotRecord &base, WallTime now, CommitPlan &plan) const;
    void planIntents(CommitPlan &plan) const;
    DurableCompletion makeCompletion(const std::string &keyHash) const;

    IntentLogSettings settings;
    std::unordered_map<std::string, KeyState> keys;
    std::map<std::uint64_t, std::string> activeKeysByOrder; ///< Waiting and Running, oldest first.
    std::uint64_t nextOrder = 0;
    std::unordered_set<std::string> tombstones;
    std::deque<std::string> unwrittenCompletions; ///< Ran, and still an intent in the record.
    std::deque<std::string> writtenCompletions; ///< Ran, and a completion in the record, oldest first.
    std::unordered_set<std::string> recordIntents; ///< Intents of the last confirmed record.
    std::size_t recordTombstones = 0;
    std::size_t segmentCount = 0;
    std::unordered_map<std::uint64_t, std::vector<std::string>> segmentKeys;
};

} // namespace hemlock
