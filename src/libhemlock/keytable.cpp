#include "keytable.h"

#include <algorithm>

namespace hemlock {

void IntentWaiter::decide(const IntentDecision &decision)
{
    if (this->isDecided)
        return;
    this->isDecided = true;
    const auto callback = std::move(this->onDecided);
    callback(decision);
}

bool KeyState::hasUndecidedWaiter() const
{
    return std::any_of(
        this->waiters.begin(), this->waiters.end(), [](const IntentWaiterPtr &waiter) { return !waiter->isDecided; });
}

KeyTable::KeyTable(const IntentLogSettings &settings)
    : settings(settings)
{
}

void KeyTable::clear()
{
    this->keys.clear();
    this->activeKeysByOrder.clear();
    this->tombstones.clear();
    this->unwrittenCompletions.clear();
    this->writtenCompletions.clear();
    this->recordIntents.clear();
    this->segmentKeys.clear();
    this->recordTombstones = 0;
    this->segmentCount = 0;
}

void KeyTable::load(const SlotRecord &record)
{
    this->segmentCount = record.segments.size();
    this->recordTombstones = record.tombstones.size();
    for (const DurableCompletion &completion : record.completions) {
        KeyState state;
        state.phase = KeyPhase::Ran;
        state.bodyHash = completion.bodyHash;
        state.startedOrFinishedAt = completion.finishedAt;
        state.hasAnswer = completion.hasAnswer;
        state.answer = completion.answer;
        this->keys[completion.keyHash] = std::move(state);
        this->writtenCompletions.push_back(completion.keyHash);
    }
    const auto addTombstone = [this](const std::string &keyHash, WallTime startedAt) {
        KeyState state;
        state.phase = KeyPhase::Unknown;
        state.startedOrFinishedAt = startedAt;
        this->keys[keyHash] = std::move(state);
        this->tombstones.insert(keyHash);
    };
    for (const Tombstone &tombstone : record.tombstones)
        addTombstone(tombstone.keyHash, tombstone.startedAt);
    for (const DurableIntent &intent : record.intents)
        addTombstone(intent.keyHash, intent.startedAt);
}

void KeyTable::loadSegment(std::uint64_t number, const std::vector<DurableCompletion> &completions)
{
    std::vector<std::string> &keyHashes = this->segmentKeys[number];
    for (const DurableCompletion &completion : completions) {
        keyHashes.push_back(completion.keyHash);
        // If a key was used again after its retention time, the record or a later segment has its more recent state.
        const auto known = this->keys.find(completion.keyHash);
        if (known != this->keys.end() && (known->second.segment == 0 || known->second.segment > number))
            continue;
        KeyState state;
        state.phase = KeyPhase::Ran;
        state.bodyHash = completion.bodyHash;
        state.startedOrFinishedAt = completion.finishedAt;
        state.hasAnswer = completion.hasAnswer;
        state.segment = number;
        this->keys[completion.keyHash] = std::move(state);
    }
}

KeyState *KeyTable::find(const std::string &keyHash)
{
    const auto found = this->keys.find(keyHash);
    return found == this->keys.end() ? nullptr : &found->second;
}

const KeyState *KeyTable::find(const std::string &keyHash) const
{
    const auto found = this->keys.find(keyHash);
    return found == this->keys.end() ? nullptr : &found->second;
}

void KeyTable::forgetExpired(const std::string &keyHash, WallTime now)
{
    const auto found = this->keys.find(keyHash);
    if (found == this->keys.end() || found->second.phase != KeyPhase::Ran)
        return;
    if (now - found->second.startedOrFinishedAt <= this->settings.retention)
        return;
    std::erase(this->writtenCompletions, keyHash);
    std::erase(this->unwrittenCompletions, keyHash);
    this->keys.erase(found);
}

void KeyTable::addWaiting(const IntentWaiterPtr &waiter, WallTime now)
{
    KeyState &state = this->keys[waiter->keyHash];
    state.phase = KeyPhase::Waiting;
    state.bodyHash = waiter->bodyHash;
    state.startedOrFinishedAt = now;
    state.waiters.push_back(waiter);
    state.order = this->nextOrder++;
    this->activeKeysByOrder[state.order] = waiter->keyHash;
}

void KeyTable::setRunning(KeyState &state, const IntentRequest &request)
{
    state.phase = KeyPhase::Running;
    state.runningRequestId = request.requestId;
}

void KeyTable::setRan(const std::string &keyHash, const StoredAnswer &answer, WallTime now)
{
    KeyState &state = this->keys[keyHash];
    this->activeKeysByOrder.erase(state.order);
    state.phase = KeyPhase::Ran;
    state.startedOrFinishedAt = now;
    state.segment = 0;
    state.waiters.clear();
    state.hasAnswer = answer.body.size() + answer.contentType.size() <= maxStoredAnswerBytes;
    state.answer = state.hasAnswer ? answer : StoredAnswer{};
    this->unwrittenCompletions.push_back(keyHash);
}

void KeyTable::setUnknown(const std::string &keyHash)
{
    KeyState &state = this->keys[keyHash];
    state.phase = KeyPhase::Unknown;
    state.bodyHash.clear();
    state.waiters.clear();
    this->activeKeysByOrder.erase(state.order);
    this->tombstones.insert(keyHash);
}

std::deque<IntentWaiterPtr> KeyTable::setNotRun(const std::string &keyHash)
{
    std::deque<IntentWaiterPtr> waiters;
    const auto found = this->keys.find(keyHash);
    if (found == this->keys.end())
        return waiters;
    waiters = std::move(found->second.waiters);
    this->activeKeysByOrder.erase(found->second.order);
    this->keys.erase(found);
    return waiters;
}

DurableCompletion KeyTable::makeCompletion(const std::string &keyHash) const
{
    const KeyState &state = this->keys.at(keyHash);
    return {keyHash, state.bodyHash, state.startedOrFinishedAt, state.hasAnswer, state.answer};
}

void KeyTable::planCompletions(const SlotRecord &base, WallTime now, CommitPlan &plan) const
{
    SlotRecord &record = plan.record;
    record.segments.clear();
    for (const SegmentReference &segment : base.segments) {
        if (now - segment.newestFinishedAt > this->settings.retention)
            plan.droppedSegments.push_back(segment.number);
        else
            record.segments.push_back(segment);
    }

    record.completions.clear();
    std::size_t bytes = 0;
    for (const std::string &keyHash : this->writtenCompletions) {
        if (now - this->keys.at(keyHash).startedOrFinishedAt > this->settings.retention)
            continue;
        record.completions.push_back(this->makeCompletion(keyHash));
        bytes += encodedSize(record.completions.back());
    }
    // Completions that exceed the segment size remain intents in the record until a later commit.
    std::size_t newBytes = 0;
    for (const std::string &keyHash : this->unwrittenCompletions) {
        DurableCompletion completion = this->makeCompletion(keyHash);
        newBytes += encodedSize(completion);
        if (newBytes > this->settings.segmentBytes && !plan.newCompletions.empty())
            break;
        plan.newCompletions.push_back(keyHash);
        bytes += encodedSize(completion);
        record.completions.push_back(std::move(completion));
        if (this->settings.commitsSingly)
            break;
    }
    if (bytes <= this->settings.segmentBytes)
        return;

    std::vector<DurableCompletion> sealed;
    std::size_t sealedBytes = 0;
    WallTime newestFinishedAt;
    for (const DurableCompletion &completion : record.completions) {
        sealedBytes += encodedSize(completion);
        if (sealedBytes > this->settings.segmentBytes && !sealed.empty())
            break;
        newestFinishedAt = std::max(newestFinishedAt, completion.finishedAt);
        plan.sealed.push_back(completion.keyHash);
        sealed.push_back(completion);
    }
    record.completions.erase(record.completions.begin(),
                             record.completions.begin() + static_cast<std::ptrdiff_t>(sealed.size()));
    plan.newSegment = SegmentReference{record.nextSegment++, newestFinishedAt};
    plan.segmentValue = encodeSegment(sealed);
    record.segments.push_back(*plan.newSegment);
}

void KeyTable::planIntents(CommitPlan &plan) const
{
    SlotRecord &record = plan.record;
    record.intents.clear();
    const auto add = [&record, this](const std::string &keyHash) {
        const KeyState &state = this->keys.at(keyHash);
        record.intents.push_back({keyHash, state.bodyHash, state.startedOrFinishedAt});
    };
    const std::unordered_set<std::string> completed(plan.newCompletions.begin(), plan.newCompletions.end());
    for (const std::string &keyHash : this->unwrittenCompletions) {
        if (!completed.contains(keyHash))
            add(keyHash);
    }
    const bool isSingleChange = this->settings.commitsSingly;
    for (const auto &[order, keyHash] : this->activeKeysByOrder) {
        const KeyState &state = this->keys.at(keyHash);
        if (state.phase == KeyPhase::Running) {
            add(keyHash);
            continue;
        }
        if (!state.hasUndecidedWaiter()
            || (isSingleChange && (!plan.newIntents.empty() || !plan.newCompletions.empty())))
            continue;
        plan.newIntents.push_back(keyHash);
        add(keyHash);
    }
}

CommitPlan KeyTable::plan(const SlotRecord &base, WallTime now, bool isReleasing) const
{
    CommitPlan plan;
    plan.record = base;
    this->planCompletions(base, now, plan);
    this->planIntents(plan);
    plan.record.tombstones.clear();
    for (const std::string &keyHash : this->tombstones)
        plan.record.tombstones.push_back({keyHash, this->keys.at(keyHash).startedOrFinishedAt});
    if (isReleasing && plan.record.intents.empty()) {
        plan.isRelease = true;
        plan.record.owner.clear();
        plan.record.ownerAddress.clear();
    }
    return plan;
}

void KeyTable::confirm(const CommitPlan &plan)
{
    const std::unordered_set<std::string> completed(plan.newCompletions.begin(), plan.newCompletions.end());
    std::erase_if(this->unwrittenCompletions,
                  [&completed](const std::string &keyHash) { return completed.contains(keyHash); });

    const std::unordered_set<std::string> sealed(plan.sealed.begin(), plan.sealed.end());
    // Removes expired keys, which are neither in the record nor in a segment.
    const std::deque<std::string> previouslyWritten = std::move(this->writtenCompletions);
    this->writtenCompletions.clear();
    for (const DurableCompletion &completion : plan.record.completions)
        this->writtenCompletions.push_back(completion.keyHash);
    const std::unordered_set<std::string> kept(this->writtenCompletions.begin(), this->writtenCompletions.end());
    for (const std::string &keyHash : previouslyWritten) {
        const auto found = this->keys.find(keyHash);
        if (found != this->keys.end() && found->second.phase == KeyPhase::Ran && !kept.contains(keyHash)
            && !sealed.contains(keyHash))
            this->keys.erase(found);
    }
    // A key may have expired and been used again while the commit was in flight.
    std::erase_if(this->writtenCompletions, [this](const std::string &keyHash) {
        const auto found = this->keys.find(keyHash);
        return found == this->keys.end() || found->second.phase != KeyPhase::Ran;
    });

    if (plan.newSegment) {
        this->segmentKeys[plan.newSegment->number] = plan.sealed;
        for (const std::string &keyHash : plan.sealed) {
            KeyState *state = this->find(keyHash);
            if (!state || state->phase != KeyPhase::Ran)
                continue;
            state->segment = plan.newSegment->number;
            state->answer = {};
        }
    }
    for (const std::uint64_t number : plan.droppedSegments) {
        for (const std::string &keyHash : this->segmentKeys[number]) {
            const auto found = this->keys.find(keyHash);
            if (found != this->keys.end() && found->second.segment == number)
                this->keys.erase(found);
        }
        this->segmentKeys.erase(number);
    }

    this->recordIntents.clear();
    for (const DurableIntent &intent : plan.record.intents)
        this->recordIntents.insert(intent.keyHash);
    this->recordTombstones = plan.record.tombstones.size();
    this->segmentCount = plan.record.segments.size();

    // A waiting key without an undecided caller is not dispatched; the next commit removes its intent.
    std::erase_if(this->activeKeysByOrder, [this](const auto &item) {
        const auto found = this->keys.find(item.second);
        if (found->second.phase != KeyPhase::Waiting || found->second.hasUndecidedWaiter())
            return false;
        this->keys.erase(found);
        return true;
    });
}

bool KeyTable::hasChanges() const
{
    if (this->hasWaiting() || !this->unwrittenCompletions.empty() || this->tombstones.size() != this->recordTombstones)
        return true;
    return std::any_of(this->recordIntents.begin(), this->recordIntents.end(), [this](const std::string &keyHash) {
        const KeyState *state = this->find(keyHash);
        return !state || (state->phase != KeyPhase::Waiting && state->phase != KeyPhase::Running);
    });
}

bool KeyTable::hasWaiting() const
{
    return std::any_of(this->activeKeysByOrder.begin(), this->activeKeysByOrder.end(), [this](const auto &item) {
        const KeyState &state = this->keys.at(item.second);
        return state.phase == KeyPhase::Waiting && state.hasUndecidedWaiter();
    });
}

bool KeyTable::hasRunning() const
{
    return std::any_of(this->activeKeysByOrder.begin(), this->activeKeysByOrder.end(), [this](const auto &item) {
        return this->keys.at(item.second).phase == KeyPhase::Running;
    });
}

bool KeyTable::hasUnwrittenCompletions() const
{
    return !this->unwrittenCompletions.empty();
}

bool KeyTable::isFull() const
{
    const std::size_t bytes = encodedHeaderBytes + this->settings.segmentBytes
        + (this->activeKeysByOrder.size() + this->unwrittenCompletions.size() + 1) * encodedIntentBytes
        + this->tombstones.size() * encodedTombstoneBytes + (this->segmentCount + 1) * encodedSegmentReferenceBytes;
    return bytes > this->settings.maxRecordBytes;
}

std::size_t KeyTable::openIntents() const
{
    return this->activeKeysByOrder.size() + this->unwrittenCompletions.size();
}

std::vector<std::string> KeyTable::activeKeys() const
{
    std::vector<std::string> keyHashes;
    for (const auto &[order, keyHash] : this->activeKeysByOrder)
        keyHashes.push_back(keyHash);
    return keyHashes;
}

} // namespace hemlock
