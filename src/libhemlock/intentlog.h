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

/// Durable log of non-repeatable calls, which dispatches a call at most once per client account and idempotency key.
///
/// Keys are hashed to slots; each slot is owned by one entry process at a time. Not thread-safe.
class IntentLog
{
public:
    /// Throws std::invalid_argument if the settings are inconsistent or incomplete.
    IntentLog(IntentLogSettings settings, IntentLogHooks hooks);
    ~IntentLog();

    IntentLog(const IntentLog &) = delete;
    IntentLog &operator=(const IntentLog &) = delete;

    /// Implements SubmitIntent of idempotency.h.
    void submit(const IntentRequest &request, std::function<void(const IntentDecision &)> onDecided);
    /// Implements CompleteIntent of idempotency.h.
    void complete(const IntentRequest &request, Verdict verdict, const StoredAnswer &answer);

    /// Reports why forwarding a call to this address failed; the call may be submitted again for a new decision.
    void forwardingFailed(const IntentRequest &request, const std::string &address, ForwardingFailure failure);
    /// Reports that the process at this address took a forwarded call; cancels a planned takeover of its slot.
    void forwardingSucceeded(const IntentRequest &request, const std::string &address);

    /// Checks whether the process at this address still owns the slot of a forwarded call that takes long.
    /// Calls back with true if the store does not respond.
    void verifyOwner(const IntentRequest &request, const std::string &address, std::function<void(bool holds)> done);

    /// Shuts down gracefully: refuses new calls, waits for the running ones and releases all slots. Calls back once all
    /// slots are released, or after @p timeout; the next owner treats calls unfinished by then as may-have-run.
    void release(std::chrono::milliseconds timeout, std::function<void()> done);

    bool isClosing() const;
    std::size_t ownedSlotCount() const;
    const IntentLogStats &stats() const;

private:
    class LeaseKeeper;

    /// Returns the slot of a request and sets @p keyHash.
    SlotOwner &slotOfRequest(const IntentRequest &request, std::string &keyHash);

    IntentLogSettings settings;
    IntentLogHooks hooks;
    IntentLogStats counters;
    std::vector<std::shared_ptr<SlotOwner>> slots;
    std::shared_ptr<LeaseKeeper> lease;
    bool closing = false;
};

} // namespace hemlock
