#pragma once

#include "verdict.h"

#include <chrono>
#include <functional>
#include <string>

namespace hemlock {

/// A call that must not be executed twice, identified by the idempotency key of its caller.
struct IntentRequest
{
    std::string clientAccount;
    std::string key; ///< Value of the header field Idempotency-Key; unique within the client account.
    std::string bodySha256; ///< Digest of method, path and body; a call that reuses the key must have the same.
    std::string requestId;
    std::chrono::steady_clock::time_point deadline;
};

/// Stored response of an upstream, replayed to a caller that sends the same key again.
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

/// What to do with a call that has an idempotency key.
enum class IntentAction {
    Dispatch, ///< The intent is stored durably; send the call once and report its end by CompleteIntent.
    Replay, ///< The call has run before; return the stored answer.
    Refuse, ///< Return the refusal; nothing is sent.
    Forward, ///< Another entry process owns the key; forward the call to it.
};

/// Decision on a call, with the data that its action needs.
struct IntentDecision
{
    IntentAction action = IntentAction::Refuse;
    StoredAnswer answer; ///< Set for Replay.
    RequestError refusal; ///< Set for Refuse.
    std::string ownerAddress; ///< Set for Forward: control address of the entry process that owns the key.
};

/// Decides on a call before it is sent; calls @p decided exactly once.
using SubmitIntent =
    std::function<void(const IntentRequest &request, std::function<void(const IntentDecision &)> decided)>;

/// Reports the end of a dispatched call. NotRun releases the key, Ran stores the answer for replay.
using CompleteIntent = std::function<void(const IntentRequest &request, Verdict verdict, const StoredAnswer &answer)>;

} // namespace hemlock
