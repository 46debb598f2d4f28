#pragma once

#include "idempotency.h"
#include "intentsettings.h"
#include "slotowner.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hemlock {

/// Durable record of calls that may not be repeated: a call is dispatched at most once per client account and key.
///
/// Keys hash to slots; each slot is owned by one entry process at a time. Used on one thread.
class IntentLog
{
public:
    /// Throws std::invalid_argument for settings that cannot work.
    IntentLog(IntentLogSettings settings, IntentLogHooks hooks);
    ~IntentLog();

    IntentLog(const IntentLog &) = delete;
    IntentLog &operator=(const IntentLog &) = delete;

    /// As SubmitIntent of idempotency.h.
    void submit(const IntentRequest &request, std::function<void(const IntentDecision &)> decided);
    /// As CompleteIntent of idempotency.h.
    void complete(const IntentRequest &request, Verdict verdict, const StoredAnswer &answer);

    /// Reports how a call that was forwarded to this address failed; submit() decides anew on the same call.
    void forwardingFailed(const IntentRequest &request, const std::string &address, ForwardingFailure failure);
    void forwardingSucceeded(const IntentRequest &request, const std::string &address);

    /// Checks a forwarded call that takes long: whether its owner still holds the slot.
    void verifyOwner(const IntentRequest &request, const std::string &address, std::function<void(bool holds)> done);

    /// Graceful shutdown: refuses new calls, lets running ones finish and gives up all slots. Calls back once all
    /// slots are released, or after @p limit, when unfinished calls stay may-have-run for the next owner.
    void release(std::chrono::milliseconds timeout, std::function<void()> done);

    bool isClosing() const;
    std::size_t ownedSlotCount() const;
    const IntentLogStats &stats() const;

private:
    class LeaseKeeper;

    SlotOwner &slotOfRequest(const IntentRequest &request, std::string &keyHash);

    IntentLogSettings settings;
    IntentLogHooks hooks;
    IntentLogStats counters;
    std::vector<std::shared_ptr<SlotOwner>> slots;
    std::shared_ptr<LeaseKeeper> lease;
    bool closing = false;
};

} // namespace hemlock
