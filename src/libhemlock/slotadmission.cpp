#include "slotowner.h"

#include "logger.h"

#include <nlohmann/json.hpp>

#include <algorithm>

// The part of SlotOwner that decides on calls; slotowner.cpp contains ownership and commits.
namespace hemlock {

namespace {

// Retry-After in seconds: the random spread keeps callers from retrying all at once.
constexpr double shortestRetryAfter = 1;
constexpr double retryAfterSpread = 4;

// Hex digits of the SHA-256 digest that are stored per key, which is 128 bits.
constexpr std::size_t bodyHashDigits = 32;

} // namespace

void SlotOwner::submit(const IntentRequest &request, const std::string &keyHash, DecisionCallback onDecided)
{
    const auto waiter = std::make_shared<IntentWaiter>();
    waiter->request = request;
    waiter->keyHash = keyHash;
    waiter->bodyHash = request.bodySha256.substr(0, bodyHashDigits);
    waiter->onDecided = std::move(onDecided);

    const auto orphan = this->orphanedCalls.find(keyHash);
    if (orphan != this->orphanedCalls.end()) {
        this->startDeadlineTimer(waiter);
        this->admitKnownKey(waiter, orphan->second);
        return;
    }
    if (this->closing) {
        this->refuse(waiter, Verdict::NotRun, 503, "shutting-down", "this entry process is shutting down");
        return;
    }
    if (request.deadline <= this->hooks.now()) {
        this->refuse(waiter, Verdict::NotRun, 504, "deadline-exceeded", "the deadline passed before the call was sent");
        return;
    }
    switch (this->currentPhase) {
    case SlotPhase::Owned:
        this->startDeadlineTimer(waiter);
        this->admit(waiter);
        return;
    case SlotPhase::Remote: {
        IntentDecision decision;
        decision.action = IntentAction::Forward;
        decision.ownerAddress = this->remoteAddress;
        ++this->stats.forwarded;
        waiter->decide(decision);
        return;
    }
    case SlotPhase::Released:
    case SlotPhase::Unknown:
    case SlotPhase::Claiming:
    case SlotPhase::Loading:
        break;
    }
    if (this->pendingCalls.size() >= this->settings.maxPendingCalls) {
        std::erase_if(this->pendingCalls, [](const IntentWaiterPtr &other) { return other->isDecided; });
        if (this->pendingCalls.size() >= this->settings.maxPendingCalls) {
            this->refuse(waiter, Verdict::NotRun, 503, "store-unavailable", "too many calls wait for the store");
            return;
        }
    }
    this->startDeadlineTimer(waiter);
    this->pendingCalls.push_back(waiter);
    if (!this->isRetryScheduled)
        this->resolveOwner();
}

void SlotOwner::admit(const IntentWaiterPtr &waiter)
{
    const auto now = std::chrono::floor<std::chrono::seconds>(this->hooks.wallNow());
    this->table.forgetExpired(waiter->keyHash, now);
    if (KeyState *state = this->table.find(waiter->keyHash)) {
        this->admitKnownKey(waiter, *state);
        return;
    }
    if (this->table.isFull()) {
        this->refuse(waiter, Verdict::NotRun, 503, "slot-full", "the record of idempotency keys is full");
        return;
    }
    this->table.addWaiting(waiter, now);
    this->scheduleCommit({});
}

void SlotOwner::admitKnownKey(const IntentWaiterPtr &waiter, KeyState &state)
{
    if (state.phase != KeyPhase::Unknown && state.bodyHash != waiter->bodyHash) {
        this->refuse(waiter,
                     Verdict::NotRun,
                     422,
                     "idempotency-key-reused",
                     "the idempotency key was used with another method, path or body");
        return;
    }
    switch (state.phase) {
    case KeyPhase::Waiting:
        state.waiters.push_back(waiter);
        this->scheduleCommit({});
        return;
    case KeyPhase::Running:
        state.waiters.push_back(waiter);
        return;
    case KeyPhase::Ran:
        this->replayAnswer(waiter, state);
        return;
    case KeyPhase::Unknown:
        this->refuse(waiter,
                     Verdict::MayHaveRun,
                     409,
                     "outcome-unknown",
                     "an earlier attempt with this key may have run; it is not run again");
        return;
    }
}

void SlotOwner::replayAnswer(const IntentWaiterPtr &waiter, const KeyState &state)
{
    if (!state.hasAnswer) {
        this->refuse(waiter, Verdict::Ran, 409, "answer-not-held", "the call ran, its answer is no longer held");
        return;
    }
    if (state.segment != 0) {
        this->replayFromSegment(waiter, state.segment);
        return;
    }
    IntentDecision decision;
    decision.action = IntentAction::Replay;
    decision.answer = state.answer;
    ++this->stats.replayed;
    waiter->decide(decision);
}

void SlotOwner::replayFromSegment(const IntentWaiterPtr &waiter, std::uint64_t segment)
{
    const std::string key = segmentKey(this->slot, segment);
    this->hooks.range(key, [weak = this->weak_from_this(), waiter, key](const KvRangeResult &result) {
        const auto self = weak.lock();
        if (!self)
            return;
        std::vector<DurableCompletion> completions;
        if (result.status == KvStatus::Ok && !result.entries.empty()) {
            completions = boost::leaf::try_handle_all([&result] { return decodeSegment(result.entries.front().value); },
                                                      [] { return std::vector<DurableCompletion>(); });
        }
        const auto found = std::find_if(completions.begin(), completions.end(), [&](const DurableCompletion &other) {
            return other.keyHash == waiter->keyHash;
        });
        if (found == completions.end()) {
            self->refuse(
                waiter, Verdict::Ran, 503, "answer-unavailable", "the call ran, its answer cannot be read now");
            return;
        }
        IntentDecision decision;
        decision.action = IntentAction::Replay;
        decision.answer = found->answer;
        ++self->stats.replayed;
        waiter->decide(decision);
    });
}

void SlotOwner::startDeadlineTimer(const IntentWaiterPtr &waiter)
{
    const auto remaining = waiter->request.deadline - this->hooks.now();
    this->hooks.after(remaining, [weak = this->weak_from_this(), weakWaiter = std::weak_ptr(waiter)] {
        const auto self = weak.lock();
        const auto waiter = weakWaiter.lock();
        if (self && waiter && !waiter->isDecided)
            self->onDeadline(waiter);
    });
}

bool SlotOwner::hasOtherAttempt(const IntentWaiter &waiter) const
{
    const auto isInProgress = [&waiter](const KeyState &state) {
        if (state.phase == KeyPhase::Running)
            return true;
        // Another attempt with the same key is waiting and may be dispatched later.
        return std::any_of(state.waiters.begin(), state.waiters.end(), [&waiter](const IntentWaiterPtr &other) {
            return other.get() != &waiter && !other->isDecided;
        });
    };
    if (const auto orphan = this->orphanedCalls.find(waiter.keyHash); orphan != this->orphanedCalls.end())
        return isInProgress(orphan->second);
    const KeyState *state = this->table.find(waiter.keyHash);
    return state && isInProgress(*state);
}

void SlotOwner::onDeadline(const IntentWaiterPtr &waiter)
{
    if (this->hasOtherAttempt(*waiter)) {
        this->refuse(waiter,
                     Verdict::MayHaveRun,
                     504,
                     "attempt-in-progress",
                     "another attempt with this key was in progress until the deadline");
        return;
    }
    const bool isOutage = this->consecutiveFailures > 0;
    this->refuse(waiter,
                 Verdict::NotRun,
                 isOutage ? 503 : 504,
                 isOutage ? "store-unavailable" : "deadline-exceeded",
                 "the call could not be recorded before its deadline");
}

void SlotOwner::refuse(
    const IntentWaiterPtr &waiter, Verdict verdict, int status, std::string code, std::string message)
{
    if (waiter->isDecided)
        return;
    IntentDecision decision;
    decision.action = IntentAction::Refuse;
    decision.refusal.verdict = verdict;
    decision.refusal.status = status;
    decision.refusal.code = std::move(code);
    decision.refusal.message = std::move(message);
    if (status == 503)
        decision.refusal.retryAfter =
            std::chrono::seconds(static_cast<int>(shortestRetryAfter + this->hooks.random() * retryAfterSpread));
    ++this->stats.refused;
    waiter->decide(decision);
}

void SlotOwner::dispatch(const std::vector<std::string> &keyHashes)
{
    for (const std::string &keyHash : keyHashes) {
        // The decision callback may call complete(), which changes the table, so each key is looked up again.
        KeyState *state = this->table.find(keyHash);
        if (!state || state->phase != KeyPhase::Waiting)
            continue;
        IntentWaiterPtr chosen;
        while (state && !state->waiters.empty() && !chosen) {
            const IntentWaiterPtr waiter = state->waiters.front();
            state->waiters.pop_front();
            if (waiter->isDecided)
                continue;
            if (waiter->request.deadline > this->hooks.now())
                chosen = waiter;
            else
                this->onDeadline(waiter);
            state = this->table.find(keyHash);
        }
        if (!chosen)
            continue;
        this->table.setRunning(*state, chosen->request);
        ++this->stats.dispatched;
        IntentDecision decision;
        decision.action = IntentAction::Dispatch;
        chosen->decide(decision);
    }
}

void SlotOwner::complete(const IntentRequest &request,
                         const std::string &keyHash,
                         Verdict verdict,
                         const StoredAnswer &answer)
{
    if (const auto orphan = this->orphanedCalls.find(keyHash);
        orphan != this->orphanedCalls.end() && orphan->second.runningRequestId == request.requestId) {
        this->completeOrphanedCall(keyHash, verdict, answer);
        return;
    }
    KeyState *state = this->table.find(keyHash);
    if (!state || state->phase != KeyPhase::Running || state->runningRequestId != request.requestId) {
        logEvent(LogLevel::Error, "completion-without-intent", {{"slot", this->slot}, {"request", request.requestId}});
        return;
    }
    std::deque<IntentWaiterPtr> waiters;
    switch (verdict) {
    case Verdict::NotRun:
        waiters = this->table.setNotRun(keyHash);
        break;
    case Verdict::Ran:
        waiters = std::move(state->waiters);
        this->table.setRan(keyHash, answer, std::chrono::floor<std::chrono::seconds>(this->hooks.wallNow()));
        break;
    case Verdict::MayHaveRun:
        waiters = std::move(state->waiters);
        this->table.setUnknown(keyHash);
        break;
    }
    this->scheduleCommit(this->closing ? std::chrono::steady_clock::duration{} : this->settings.completionDelay);
    this->answerWaiters(std::move(waiters), verdict, answer);
}

void SlotOwner::completeOrphanedCall(const std::string &keyHash, Verdict verdict, const StoredAnswer &answer)
{
    std::deque<IntentWaiterPtr> waiters = std::move(this->orphanedCalls[keyHash].waiters);
    this->orphanedCalls.erase(keyHash);
    this->answerWaiters(std::move(waiters), verdict, answer);
}

/// Answers the callers that waited for the outcome of another attempt with the same key.
void SlotOwner::answerWaiters(std::deque<IntentWaiterPtr> waiters, Verdict verdict, const StoredAnswer &answer)
{
    for (const IntentWaiterPtr &waiter : waiters) {
        if (waiter->isDecided)
            continue;
        if (verdict == Verdict::NotRun) {
            const auto onDecided = [waiter](const IntentDecision &decision) { waiter->decide(decision); };
            this->submit(waiter->request, waiter->keyHash, onDecided);
            continue;
        }
        if (verdict == Verdict::MayHaveRun) {
            this->refuse(waiter,
                         Verdict::MayHaveRun,
                         409,
                         "outcome-unknown",
                         "an earlier attempt with this key may have run; it is not run again");
            continue;
        }
        KeyState state;
        state.hasAnswer = answer.body.size() + answer.contentType.size() <= maxStoredAnswerBytes;
        state.answer = answer;
        this->replayAnswer(waiter, state);
    }
}

} // namespace hemlock
