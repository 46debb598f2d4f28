#include "slotowner.h"

#include "logger.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hemlock {

namespace {

using std::chrono::steady_clock;

// Mean time between reads of the record while an unreachable owner still holds its lease.
constexpr std::chrono::milliseconds recheckDelay{200};

template <class T>
struct DecodeResult
{
    std::optional<T> value;
    std::string problem;
};

template <class T>
DecodeResult<T> tryDecode(const std::function<Result<T>()> &decode)
{
    return boost::leaf::try_handle_all(
        [&decode]() -> Result<DecodeResult<T>> {
            BOOST_LEAF_AUTO(value, decode());
            return DecodeResult<T>{std::move(value), {}};
        },
        [](const RecordError &problem) {
            return DecodeResult<T>{std::nullopt, problem.text};
        },
        [] {
            return DecodeResult<T>{std::nullopt, "unknown problem"};
        });
}

const KvEntry *findEntry(const std::vector<KvEntry> &entries, const std::string &key)
{
    const auto found =
        std::find_if(entries.begin(), entries.end(), [&key](const KvEntry &entry) { return entry.key == key; });
    return found == entries.end() ? nullptr : &*found;
}

} // namespace

SlotOwner::SlotOwner(std::uint32_t slot,
                     const IntentLogSettings &settings,
                     IntentLogHooks hooks,
                     IntentLogStats &stats,
                     LeaseProvider leaseProvider)
    : slot(slot)
    , settings(settings)
    , hooks(std::move(hooks))
    , stats(stats)
    , leaseProvider(std::move(leaseProvider))
    , table(settings)
    , lastCommitStart(this->hooks.now() - settings.commitInterval)
{
}

SlotPhase SlotOwner::phase() const
{
    return this->currentPhase;
}

bool SlotOwner::isClosing() const
{
    return this->closing;
}

void SlotOwner::callAfter(steady_clock::duration delay, void (SlotOwner::*method)())
{
    this->hooks.after(delay, [weak = this->weak_from_this(), method] {
        if (const auto self = weak.lock())
            (self.get()->*method)();
    });
}

steady_clock::duration SlotOwner::nextRetryDelay()
{
    constexpr int maxDoublings = 10;
    const int doublings = std::min(this->consecutiveFailures++, maxDoublings);
    const auto maxDelay = std::min(this->settings.firstRetryDelay * (1 << doublings), this->settings.maxRetryDelay);
    // Jitter over the upper half of the delay keeps processes from retrying at the same time after a store outage.
    return std::chrono::duration_cast<steady_clock::duration>(maxDelay * (0.5 + this->hooks.random() / 2));
}

// --- Finding the owner and claiming the slot ---

void SlotOwner::resolveOwner()
{
    this->isRetryScheduled = false;
    if (this->isResolving || this->commit || this->currentPhase != SlotPhase::Unknown)
        return;
    const bool hasUndecidedCall = std::any_of(this->pendingCalls.begin(),
                                              this->pendingCalls.end(),
                                              [](const IntentWaiterPtr &waiter) { return !waiter->isDecided; });
    if (!hasUndecidedCall) {
        this->pendingCalls.clear();
        return;
    }
    this->isResolving = true;
    this->hooks.range(slotKey(this->slot), [weak = this->weak_from_this()](const KvRangeResult &result) {
        if (const auto self = weak.lock())
            self->onRecordRead(result);
    });
}

void SlotOwner::retryResolveOwner(steady_clock::duration delay)
{
    this->isResolving = false;
    if (this->isRetryScheduled)
        return;
    this->isRetryScheduled = true;
    this->callAfter(delay, &SlotOwner::resolveOwner);
}

void SlotOwner::onRecordRead(const KvRangeResult &result)
{
    if (result.status != KvStatus::Ok) {
        this->retryResolveOwner(this->nextRetryDelay());
        return;
    }
    this->consecutiveFailures = 0;
    const KvEntry *entry = findEntry(result.entries, slotKey(this->slot));
    SlotRecord current;
    current.slot = this->slot;
    current.slotCount = this->settings.slotCount;
    if (entry) {
        auto decoded = tryDecode<SlotRecord>(
            [this, entry] { return decodeSlotRecord(entry->value, this->slot, this->settings.slotCount); });
        if (!decoded.value) {
            this->becomeUnreadable(decoded.problem);
            return;
        }
        current = std::move(*decoded.value);
    }
    this->problem.clear();
    const std::int64_t currentRevision = entry ? entry->modRevision : 0;
    if (current.owner.empty()) {
        this->claim(std::move(current), currentRevision, false);
        return;
    }
    // An owner with the address of this process is a former process at that address, which has ended.
    if (current.ownerAddress == this->settings.address || this->isTakeoverDue(current)) {
        this->claim(std::move(current), currentRevision, true);
        return;
    }
    this->hooks.range(slotHolderKey(this->slot),
                      [weak = this->weak_from_this(), current, currentRevision](const KvRangeResult &result) {
                          if (const auto self = weak.lock())
                              self->onHolderRead(current, currentRevision, result);
                      });
}

bool SlotOwner::isTakeoverDue(const SlotRecord &current) const
{
    return this->plannedTakeover && this->plannedTakeover->owner == current.owner
        && this->hooks.now() >= this->plannedTakeover->takeoverAt;
}

void SlotOwner::onHolderRead(const SlotRecord &current, std::int64_t currentRevision, const KvRangeResult &result)
{
    if (result.status != KvStatus::Ok) {
        this->retryResolveOwner(this->nextRetryDelay());
        return;
    }
    const KvEntry *holder = findEntry(result.entries, slotHolderKey(this->slot));
    if (!holder || holder->value != current.owner) {
        this->claim(current, currentRevision, true);
        return;
    }
    if (this->plannedTakeover && this->plannedTakeover->owner == current.owner) {
        this->retryResolveOwner(
            std::chrono::duration_cast<steady_clock::duration>(recheckDelay * (0.5 + this->hooks.random())));
        return;
    }
    this->isResolving = false;
    this->becomeRemote(current);
}

void SlotOwner::claim(SlotRecord current, std::int64_t currentRevision, bool isTakeover)
{
    this->leaseProvider([weak = this->weak_from_this(), current = std::move(current), currentRevision, isTakeover](
                            std::int64_t granted) mutable {
        const auto self = weak.lock();
        if (!self)
            return;
        if (granted == 0) {
            self->retryResolveOwner(self->nextRetryDelay());
            return;
        }
        self->isResolving = false;
        if (self->closing) {
            self->notifyIfReleased();
            return;
        }
        self->lease = granted;
        self->currentPhase = SlotPhase::Claiming;
        self->table.clear();
        self->table.load(current);
        ++current.epoch;
        current.owner = self->settings.instance;
        current.ownerAddress = self->settings.address;
        Commit commit;
        commit.plan = self->table.plan(current, std::chrono::floor<std::chrono::seconds>(self->hooks.wallNow()), false);
        commit.isClaim = true;
        commit.isTakeover = isTakeover;
        commit.baseRevision = currentRevision;
        self->commit = std::move(commit);
        self->sendCommit();
    });
}

void SlotOwner::loadNextSegment(std::size_t index)
{
    if (index == this->record.segments.size()) {
        this->becomeOwned();
        return;
    }
    const std::uint64_t number = this->record.segments[index].number;
    this->hooks.range(segmentKey(this->slot, number),
                      [weak = this->weak_from_this(), index, number](const KvRangeResult &result) {
                          const auto self = weak.lock();
                          if (!self || self->currentPhase != SlotPhase::Loading)
                              return;
                          if (result.status != KvStatus::Ok) {
                              self->hooks.after(self->nextRetryDelay(), [weak, index] {
                                  if (const auto self = weak.lock())
                                      self->loadNextSegment(index);
                              });
                              return;
                          }
                          self->consecutiveFailures = 0;
                          const KvEntry *entry = findEntry(result.entries, segmentKey(self->slot, number));
                          const auto decoded = tryDecode<std::vector<DurableCompletion>>([entry] {
                              return decodeSegment(entry ? std::string_view(entry->value) : std::string_view());
                          });
                          if (!decoded.value) {
                              // Without the segment, keys whose calls ran would be accepted as new ones.
                              self->becomeUnreadable("segment " + std::to_string(number) + ": " + decoded.problem);
                              return;
                          }
                          self->table.loadSegment(number, *decoded.value);
                          self->loadNextSegment(index + 1);
                      });
}

void SlotOwner::becomeOwned()
{
    this->currentPhase = SlotPhase::Owned;
    this->plannedTakeover.reset();
    const std::vector<IntentWaiterPtr> waiting = std::move(this->pendingCalls);
    this->pendingCalls.clear();
    for (const IntentWaiterPtr &waiter : waiting) {
        if (!waiter->isDecided)
            this->admit(waiter);
    }
    if (this->closing)
        this->scheduleCommit({});
}

void SlotOwner::becomeRemote(const SlotRecord &current)
{
    this->currentPhase = SlotPhase::Remote;
    if (this->plannedTakeover && this->plannedTakeover->owner != current.owner)
        this->plannedTakeover.reset();
    this->remoteOwner = current.owner;
    this->remoteAddress = current.ownerAddress;
    IntentDecision decision;
    decision.action = IntentAction::Forward;
    decision.ownerAddress = current.ownerAddress;
    const std::vector<IntentWaiterPtr> waiting = std::move(this->pendingCalls);
    this->pendingCalls.clear();
    for (const IntentWaiterPtr &waiter : waiting) {
        this->stats.forwarded += waiter->isDecided ? 0 : 1;
        waiter->decide(decision);
    }
    this->notifyIfReleased();
}

void SlotOwner::becomeUnreadable(const std::string &problem)
{
    if (this->problem != problem)
        logEvent(LogLevel::Error, "slot-unreadable", {{"slot", this->slot}, {"problem", problem}});
    this->problem = problem;
    this->currentPhase = SlotPhase::Unknown;
    this->isResolving = false;
    const std::vector<IntentWaiterPtr> waiting = std::move(this->pendingCalls);
    this->pendingCalls.clear();
    for (const IntentWaiterPtr &waiter : waiting)
        this->refuse(waiter, Verdict::NotRun, 503, "slot-unreadable", "the record of idempotency keys: " + problem);
    this->notifyIfReleased();
}

void SlotOwner::forwardingFailed(const std::string &address, ForwardingFailure failure)
{
    if (this->currentPhase != SlotPhase::Remote || this->remoteAddress != address)
        return;
    this->currentPhase = SlotPhase::Unknown;
    auto takeoverAt = this->hooks.now();
    switch (failure) {
    case ForwardingFailure::Unreachable:
        takeoverAt += this->settings.unreachableGrace;
        break;
    case ForwardingFailure::NotOwner:
        break;
    case ForwardingFailure::Closing:
        takeoverAt += this->settings.closingGrace;
        break;
    }
    if (this->plannedTakeover && this->plannedTakeover->owner == this->remoteOwner)
        takeoverAt = std::min(takeoverAt, this->plannedTakeover->takeoverAt);
    this->plannedTakeover = PlannedTakeover{this->remoteOwner, takeoverAt};
}

void SlotOwner::forwardingSucceeded(const std::string &address)
{
    if (this->remoteAddress == address)
        this->plannedTakeover.reset();
}

void SlotOwner::verifyOwner(const std::string &address, std::function<void(bool holds)> done)
{
    if (this->currentPhase != SlotPhase::Remote || this->remoteAddress != address) {
        done(false);
        return;
    }
    this->hooks.range(slotHolderKey(this->slot),
                      [weak = this->weak_from_this(), address, done = std::move(done)](const KvRangeResult &result) {
                          const auto self = weak.lock();
                          if (!self || result.status != KvStatus::Ok) {
                              done(true);
                              return;
                          }
                          const KvEntry *holder = findEntry(result.entries, slotHolderKey(self->slot));
                          const bool holds = self->currentPhase == SlotPhase::Remote && self->remoteAddress == address
                              && holder && holder->value == self->remoteOwner;
                          if (!holds && self->currentPhase == SlotPhase::Remote && self->remoteAddress == address)
                              self->currentPhase = SlotPhase::Unknown;
                          done(holds);
                      });
}

void SlotOwner::leaseChanged(std::int64_t lease)
{
    this->lease = lease;
    if (this->currentPhase == SlotPhase::Owned && this->holderLease != lease)
        this->scheduleCommit(this->settings.completionDelay);
}

// --- Commits ---

void SlotOwner::scheduleCommit(steady_clock::duration delay)
{
    const auto now = this->hooks.now();
    const auto time =
        std::max({now + delay, this->lastCommitStart + this->settings.commitInterval, this->noCommitBefore});
    if (this->scheduledCommitTime && *this->scheduledCommitTime <= time)
        return;
    this->scheduledCommitTime = time;
    this->hooks.after(time - now, [weak = this->weak_from_this(), time] {
        const auto self = weak.lock();
        if (!self || self->scheduledCommitTime != time)
            return;
        self->scheduledCommitTime.reset();
        self->startCommit();
    });
}

void SlotOwner::startCommit()
{
    // The next commit is scheduled when the one in flight has ended.
    if (this->currentPhase != SlotPhase::Owned || this->commit)
        return;
    if (!this->closing && !this->table.hasChanges() && this->lease == this->holderLease)
        return;
    if (this->closing && this->table.hasRunning() && !this->table.hasChanges())
        return;
    Commit commit;
    commit.plan =
        this->table.plan(this->record, std::chrono::floor<std::chrono::seconds>(this->hooks.wallNow()), this->closing);
    commit.baseRevision = this->revision;
    this->commit = std::move(commit);
    this->sendCommit();
}

void SlotOwner::sendCommit()
{
    Commit &current = *this->commit;
    if (!current.mayBeApplied) {
        CommitPlan &plan = current.plan;
        plan.record.commitId = this->hooks.uniqueId();
        plan.value = encodeSlotRecord(plan.record);
        current.txn = {};
        current.txn.compares.push_back({slotKey(this->slot), current.baseRevision});
        current.txn.puts.push_back({slotKey(this->slot), plan.value, 0});
        if (plan.newSegment)
            current.txn.puts.push_back({segmentKey(this->slot, plan.newSegment->number), plan.segmentValue, 0});
        for (const std::uint64_t number : plan.droppedSegments)
            current.txn.deletes.push_back(segmentKey(this->slot, number));
        if (plan.isRelease)
            current.txn.deletes.push_back(slotHolderKey(this->slot));
        else if (current.isClaim || this->holderLease != this->lease)
            current.txn.puts.push_back({slotHolderKey(this->slot), this->settings.instance, this->lease});
        current.txn.readsOnFailure.push_back(slotKey(this->slot));
    }
    this->lastCommitStart = this->hooks.now();
    ++this->stats.commitsSent;
    this->hooks.txn(current.txn, [weak = this->weak_from_this()](const KvTxnResult &result) {
        if (const auto self = weak.lock())
            self->onCommitResult(result);
    });
}

void SlotOwner::onCommitResult(const KvTxnResult &result)
{
    if (result.status == KvStatus::Ok && result.succeeded) {
        this->confirm(result.revision);
        return;
    }
    if (result.status == KvStatus::Ok) {
        this->settleCommit(findEntry(result.entries, slotKey(this->slot)));
        return;
    }
    if (this->consecutiveFailures == 0)
        logEvent(LogLevel::Warning, "commit-failed", {{"slot", this->slot}, {"error", result.error}});
    if (result.status == KvStatus::Unknown)
        this->commit->mayBeApplied = true;
    if (this->commit->mayBeApplied) {
        this->callAfter(this->nextRetryDelay(), &SlotOwner::readBack);
        return;
    }
    // The store did not apply the commit, so the next one may contain calls that were submitted since.
    const bool wasClaim = this->commit->isClaim;
    this->commit.reset();
    if (wasClaim) {
        this->currentPhase = SlotPhase::Unknown;
        this->retryResolveOwner(this->nextRetryDelay());
        return;
    }
    this->noCommitBefore = this->hooks.now() + this->nextRetryDelay();
    this->scheduledCommitTime.reset();
    this->scheduleCommit({});
}

void SlotOwner::readBack()
{
    if (!this->commit)
        return;
    this->hooks.range(slotKey(this->slot), [weak = this->weak_from_this()](const KvRangeResult &result) {
        const auto self = weak.lock();
        if (!self || !self->commit)
            return;
        if (result.status != KvStatus::Ok) {
            self->callAfter(self->nextRetryDelay(), &SlotOwner::readBack);
            return;
        }
        self->settleCommit(findEntry(result.entries, slotKey(self->slot)));
    });
}

void SlotOwner::settleCommit(const KvEntry *entry)
{
    Commit &current = *this->commit;
    const std::int64_t entryRevision = entry ? entry->modRevision : 0;
    if (entryRevision == current.baseRevision) {
        // The commit has not been applied, but a delayed transaction may still be, so the same content is sent again.
        this->sendCommit();
        return;
    }
    if (!entry) {
        logEvent(LogLevel::Error, "slot-record-missing", {{"slot", this->slot}});
        this->commit.reset();
        this->loseOwnership();
        return;
    }
    auto decoded = tryDecode<SlotRecord>(
        [this, entry] { return decodeSlotRecord(entry->value, this->slot, this->settings.slotCount); });
    if (!decoded.value) {
        this->commit.reset();
        this->loseOwnership();
        this->becomeUnreadable(decoded.problem);
        return;
    }
    if (decoded.value->commitId == current.plan.record.commitId) {
        ++this->stats.lostAnswers;
        this->confirm(entryRevision);
        return;
    }
    const bool wasClaim = current.isClaim;
    this->commit.reset();
    if (!wasClaim) {
        ++this->stats.lostSlots;
        logEvent(LogLevel::Warning,
                 "slot-lost",
                 {{"slot", this->slot}, {"epoch", decoded.value->epoch}, {"owner", decoded.value->owner}});
    }
    this->loseOwnership();
    if (!decoded.value->owner.empty() && decoded.value->owner != this->settings.instance)
        this->becomeRemote(*decoded.value);
}

void SlotOwner::confirm(std::int64_t newRevision)
{
    const Commit done = std::move(*this->commit);
    this->commit.reset();
    this->consecutiveFailures = 0;
    this->revision = newRevision;
    this->record = done.plan.record;
    ++this->stats.commits;
    this->stats.committedBytes += done.plan.value.size() + done.plan.segmentValue.size();
    this->stats.committedIntents += done.plan.newIntents.size();
    for (const KvPut &put : done.txn.puts) {
        if (put.key == slotHolderKey(this->slot))
            this->holderLease = put.lease;
    }
    this->table.confirm(done.plan);
    if (done.isClaim) {
        ++this->stats.claims;
        this->stats.takeovers += done.isTakeover ? 1 : 0;
        logEvent(LogLevel::Info,
                 "slot-claimed",
                 {{"slot", this->slot},
                  {"epoch", this->record.epoch},
                  {"takeover", done.isTakeover},
                  {"tombstones", this->record.tombstones.size()}});
        this->currentPhase = SlotPhase::Loading;
        this->loadNextSegment(0);
        return;
    }
    if (done.plan.isRelease) {
        this->currentPhase = SlotPhase::Released;
        logEvent(LogLevel::Info, "slot-released", {{"slot", this->slot}, {"epoch", this->record.epoch}});
        this->notifyIfReleased();
        return;
    }
    this->dispatch(done.plan.newIntents);
    if (this->table.hasWaiting() || this->closing)
        this->scheduleCommit({});
    else if (this->table.hasChanges() || this->lease != this->holderLease)
        this->scheduleCommit(this->settings.completionDelay);
}

void SlotOwner::loseOwnership()
{
    this->currentPhase = SlotPhase::Unknown;
    this->holderLease = 0;
    for (const std::string &keyHash : this->table.activeKeys()) {
        KeyState &state = *this->table.find(keyHash);
        if (state.phase == KeyPhase::Running) {
            this->orphanedCalls[keyHash] = std::move(state);
            continue;
        }
        for (const IntentWaiterPtr &waiter : state.waiters) {
            if (!waiter->isDecided)
                this->pendingCalls.push_back(waiter);
        }
    }
    this->table.clear();
    this->retryResolveOwner({});
    this->notifyIfReleased();
}

void SlotOwner::release(std::function<void()> done)
{
    this->closing = true;
    this->onReleased = std::move(done);
    const std::vector<IntentWaiterPtr> waiting = std::move(this->pendingCalls);
    this->pendingCalls.clear();
    for (const IntentWaiterPtr &waiter : waiting)
        this->refuse(waiter, Verdict::NotRun, 503, "shutting-down", "this entry process is shutting down");
    if (this->currentPhase == SlotPhase::Owned)
        this->scheduleCommit({});
    else
        this->notifyIfReleased();
}

void SlotOwner::notifyIfReleased()
{
    if (!this->closing || !this->onReleased || this->commit)
        return;
    if (this->currentPhase == SlotPhase::Owned || this->currentPhase == SlotPhase::Loading)
        return;
    const auto done = std::move(this->onReleased);
    this->onReleased = nullptr;
    done();
}

} // namespace hemlock
