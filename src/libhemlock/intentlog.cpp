#include "intentlog.h"

#include "logger.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace hemlock {

/// Keeps one lease alive for all slots of this process and replaces it when it expires. An expired lease does not by
/// itself end the ownership of a slot.
class IntentLog::LeaseKeeper : public std::enable_shared_from_this<LeaseKeeper>
{
public:
    LeaseKeeper(std::chrono::seconds ttl, IntentLogHooks hooks, std::function<void(std::int64_t)> onChanged)
        : ttl(ttl)
        , hooks(std::move(hooks))
        , onChanged(std::move(onChanged))
    {
    }

    /// Calls back with the current lease or a newly granted one, or with 0 if none could be granted.
    void acquire(const std::function<void(std::int64_t)> &done)
    {
        if (this->lease != 0) {
            done(this->lease);
            return;
        }
        this->pendingCallbacks.push_back(done);
        if (this->pendingCallbacks.size() == 1)
            this->grant();
    }

    void revoke()
    {
        this->isStopped = true;
        if (this->lease != 0)
            this->hooks.revokeLease(this->lease, [](const KvLeaseResult &) {});
        this->lease = 0;
    }

private:
    void grant()
    {
        this->hooks.grantLease(this->ttl, [weak = this->weak_from_this()](const KvLeaseResult &result) {
            const auto self = weak.lock();
            if (!self)
                return;
            self->lease = result.status == KvStatus::Ok ? result.lease : 0;
            const auto callbacks = std::move(self->pendingCallbacks);
            self->pendingCallbacks.clear();
            if (self->lease != 0) {
                self->wasGranted = true;
                self->onChanged(self->lease);
            }
            if (self->wasGranted && !self->isKeepAliveScheduled)
                self->scheduleKeepAlive();
            for (const auto &done : callbacks)
                done(self->lease);
        });
    }

    void scheduleKeepAlive()
    {
        this->isKeepAliveScheduled = true;
        // With an interval below a third of the TTL, two keep-alives may be lost before the lease expires; jitter
        // spreads the requests of all processes.
        const auto maxInterval = std::chrono::duration_cast<std::chrono::steady_clock::duration>(this->ttl) / 3;
        const auto delay = std::chrono::duration_cast<std::chrono::steady_clock::duration>(
            maxInterval * (0.8 + 0.2 * this->hooks.random()));
        this->hooks.after(delay, [weak = this->weak_from_this()] {
            const auto self = weak.lock();
            if (!self || self->isStopped)
                return;
            self->keepAlive();
            self->scheduleKeepAlive();
        });
    }

    void keepAlive()
    {
        if (this->lease == 0) {
            this->acquire([](std::int64_t) {});
            return;
        }
        this->hooks.keepLeaseAlive(this->lease, [weak = this->weak_from_this()](const KvLeaseResult &result) {
            const auto self = weak.lock();
            if (!self || self->isStopped || result.status != KvStatus::Ok || result.ttl.count() > 0)
                return;
            logEvent(LogLevel::Warning, "lease-lapsed", {{"lease", self->lease}});
            self->lease = 0;
            self->acquire([](std::int64_t) {});
        });
    }

    const std::chrono::seconds ttl;
    const IntentLogHooks hooks;
    const std::function<void(std::int64_t)> onChanged;
    std::int64_t lease = 0;
    bool wasGranted = false;
    bool isKeepAliveScheduled = false;
    bool isStopped = false;
    std::vector<std::function<void(std::int64_t)>> pendingCallbacks;
};

IntentLog::IntentLog(IntentLogSettings settings, IntentLogHooks hooks)
    : settings(std::move(settings))
    , hooks(std::move(hooks))
{
    if (this->settings.slotCount == 0)
        throw std::invalid_argument("the slot count must be at least 1");
    if (this->settings.instance.empty() || this->settings.address.empty())
        throw std::invalid_argument("the intent log needs an instance identifier and a control address");
    if (this->settings.segmentBytes + encodedHeaderBytes >= this->settings.maxRecordBytes)
        throw std::invalid_argument("maxRecordBytes must exceed segmentBytes plus the size of the record header");

    this->lease = std::make_shared<LeaseKeeper>(this->settings.leaseTtl, this->hooks, [this](std::int64_t granted) {
        for (const auto &slot : this->slots)
            slot->leaseChanged(granted);
    });
    const auto provideLease = [weak = std::weak_ptr(this->lease)](const std::function<void(std::int64_t)> &done) {
        if (const auto leaseKeeper = weak.lock())
            leaseKeeper->acquire(done);
    };
    for (std::uint32_t slot = 0; slot < this->settings.slotCount; ++slot)
        this->slots.push_back(
            std::make_shared<SlotOwner>(slot, this->settings, this->hooks, this->counters, provideLease));
}

IntentLog::~IntentLog() = default;

SlotOwner &IntentLog::slotOfRequest(const IntentRequest &request, std::string &keyHash)
{
    keyHash = hashKey(request.clientAccount, request.key);
    return *this->slots[hemlock::slotOfKeyHash(keyHash, this->settings.slotCount)];
}

void IntentLog::submit(const IntentRequest &request, std::function<void(const IntentDecision &)> onDecided)
{
    std::string keyHash;
    SlotOwner &slot = this->slotOfRequest(request, keyHash);
    slot.submit(request, keyHash, std::move(onDecided));
}

void IntentLog::complete(const IntentRequest &request, Verdict verdict, const StoredAnswer &answer)
{
    std::string keyHash;
    SlotOwner &slot = this->slotOfRequest(request, keyHash);
    slot.complete(request, keyHash, verdict, answer);
}

void IntentLog::forwardingFailed(const IntentRequest &request, const std::string &address, ForwardingFailure failure)
{
    std::string keyHash;
    this->slotOfRequest(request, keyHash).forwardingFailed(address, failure);
}

void IntentLog::forwardingSucceeded(const IntentRequest &request, const std::string &address)
{
    std::string keyHash;
    this->slotOfRequest(request, keyHash).forwardingSucceeded(address);
}

void IntentLog::verifyOwner(const IntentRequest &request,
                            const std::string &address,
                            std::function<void(bool holds)> done)
{
    std::string keyHash;
    this->slotOfRequest(request, keyHash).verifyOwner(address, std::move(done));
}

void IntentLog::release(std::chrono::milliseconds timeout, std::function<void()> done)
{
    this->closing = true;
    struct Progress
    {
        std::size_t remainingSlots;
        std::function<void()> done;
    };
    const auto progress = std::make_shared<Progress>(Progress{this->slots.size(), std::move(done)});
    const auto finish = [progress, weak = std::weak_ptr(this->lease)] {
        if (!progress->done)
            return;
        if (const auto leaseKeeper = weak.lock())
            leaseKeeper->revoke();
        const auto callback = std::move(progress->done);
        progress->done = nullptr;
        callback();
    };
    this->hooks.after(timeout, finish);
    for (const auto &slot : this->slots)
        slot->release([progress, finish] {
            if (--progress->remainingSlots == 0)
                finish();
        });
}

bool IntentLog::isClosing() const
{
    return this->closing;
}

std::size_t IntentLog::ownedSlotCount() const
{
    return static_cast<std::size_t>(std::count_if(
        this->slots.begin(), this->slots.end(), [](const auto &slot) { return slot->phase() == SlotPhase::Owned; }));
}

const IntentLogStats &IntentLog::stats() const
{
    return this->counters;
}

} // namespace hemlock
