#include "intentlog.h"

#include "logger.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace hemlock {

/// Holds one lease for all slots of this process. A lapsed lease is replaced; it decides nothing by itself.
class IntentLog::LeaseKeeper : public std::enable_shared_from_this<LeaseKeeper>
{
public:
    LeaseKeeper(std::chrono::seconds ttl, IntentLogHooks hooks, std::function<void(std::int64_t)> changed)
        : ttl(ttl)
        , hooks(std::move(hooks))
        , changed(std::move(changed))
    {
    }

    void request(const std::function<void(std::int64_t)> &done)
    {
        if (this->lease != 0) {
            done(this->lease);
            return;
        }
        this->pending.push_back(done);
        if (this->pending.size() == 1)
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
            const auto answered = std::move(self->pending);
            self->pending.clear();
            if (self->lease != 0) {
                self->isKnown = true;
                self->changed(self->lease);
            }
            if (self->isKnown && !self->isTicking)
                self->tick();
            for (const auto &done : answered)
                done(self->lease);
        });
    }

    void tick()
    {
        this->isTicking = true;
        // Two keep-alives may be lost before the lease lapses; jitter spreads the fleet's calls.
        const auto third = std::chrono::duration_cast<std::chrono::steady_clock::duration>(this->ttl) / 3;
        const auto delay =
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(third * (0.8 + 0.2 * this->hooks.random()));
        this->hooks.after(delay, [weak = this->weak_from_this()] {
            const auto self = weak.lock();
            if (!self || self->isStopped)
                return;
            self->keepAlive();
            self->tick();
        });
    }

    void keepAlive()
    {
        if (this->lease == 0) {
            this->request([](std::int64_t) {});
            return;
        }
        this->hooks.keepLeaseAlive(this->lease, [weak = this->weak_from_this()](const KvLeaseResult &result) {
            const auto self = weak.lock();
            if (!self || self->isStopped || result.status != KvStatus::Ok || result.ttl.count() > 0)
                return;
            logEvent(LogLevel::Warning, "lease-lapsed", {{"lease", self->lease}});
            self->lease = 0;
            self->request([](std::int64_t) {});
        });
    }

    const std::chrono::seconds ttl;
    const IntentLogHooks hooks;
    const std::function<void(std::int64_t)> changed;
    std::int64_t lease = 0;
    bool isKnown = false;
    bool isTicking = false;
    bool isStopped = false;
    std::vector<std::function<void(std::int64_t)>> pending;
};

IntentLog::IntentLog(IntentLogSettings settings, IntentLogHooks hooks)
    : settings(std::move(settings))
    , hooks(std::move(hooks))
{
    if (this->settings.slotCount == 0)
        throw std::invalid_argument("the slot count is 0");
    if (this->settings.instance.empty() || this->settings.address.empty())
        throw std::invalid_argument("the intent log needs an instance identifier and a control address");
    if (this->settings.segmentBytes + encodedHeadBytes >= this->settings.maxRecordBytes)
        throw std::invalid_argument("the record limit leaves no room beside the completions");

    this->lease = std::make_shared<LeaseKeeper>(this->settings.leaseTtl, this->hooks, [this](std::int64_t granted) {
        for (const auto &slot : this->slots)
            slot->leaseChanged(granted);
    });
    const auto provideLease = [weak = std::weak_ptr(this->lease)](const std::function<void(std::int64_t)> &done) {
        if (const auto keeper = weak.lock())
            keeper->request(done);
    };
    for (std::uint32_t slot = 0; slot < this->settings.slotCount; ++slot)
        this->slots.push_back(
            std::make_shared<SlotOwner>(slot, this->settings, this->hooks, this->counters, provideLease));
}

IntentLog::~IntentLog() = default;

SlotOwner &IntentLog::slotOf(const IntentRequest &request, std::string &keyHash)
{
    keyHash = hashKey(request.clientAccount, request.key);
    return *this->slots[hemlock::slotOf(keyHash, this->settings.slotCount)];
}

void IntentLog::submit(const IntentRequest &request, std::function<void(const IntentDecision &)> decided)
{
    std::string keyHash;
    SlotOwner &slot = this->slotOf(request, keyHash);
    slot.submit(request, keyHash, std::move(decided));
}

void IntentLog::complete(const IntentRequest &request, Verdict verdict, const StoredAnswer &answer)
{
    std::string keyHash;
    SlotOwner &slot = this->slotOf(request, keyHash);
    slot.complete(request, keyHash, verdict, answer);
}

void IntentLog::ownerRefused(const IntentRequest &request, const std::string &address, OwnerRefusal refusal)
{
    std::string keyHash;
    this->slotOf(request, keyHash).ownerRefused(address, refusal);
}

void IntentLog::ownerAnswered(const IntentRequest &request, const std::string &address)
{
    std::string keyHash;
    this->slotOf(request, keyHash).ownerAnswered(address);
}

void IntentLog::verifyOwner(const IntentRequest &request,
                            const std::string &address,
                            std::function<void(bool holds)> done)
{
    std::string keyHash;
    this->slotOf(request, keyHash).verifyOwner(address, std::move(done));
}

void IntentLog::release(std::chrono::milliseconds limit, std::function<void()> done)
{
    this->closing = true;
    struct Progress
    {
        std::size_t left;
        std::function<void()> done;
    };
    const auto progress = std::make_shared<Progress>(Progress{this->slots.size(), std::move(done)});
    const auto finish = [progress, weak = std::weak_ptr(this->lease)] {
        if (!progress->done)
            return;
        if (const auto keeper = weak.lock())
            keeper->revoke();
        const auto hook = std::move(progress->done);
        progress->done = nullptr;
        hook();
    };
    this->hooks.after(limit, finish);
    for (const auto &slot : this->slots)
        slot->release([progress, finish] {
            if (--progress->left == 0)
                finish();
        });
}

bool IntentLog::isClosing() const
{
    return this->closing;
}

std::size_t IntentLog::ownedSlots() const
{
    return static_cast<std::size_t>(std::count_if(
        this->slots.begin(), this->slots.end(), [](const auto &slot) { return slot->phase() == SlotPhase::Owned; }));
}

const IntentLogStats &IntentLog::stats() const
{
    return this->counters;
}

} // namespace hemlock
