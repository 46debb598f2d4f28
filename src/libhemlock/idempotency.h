#pragma once

#include "verdict.h"

#include <chrono>
#include <functional>
#include <string>

namespace hemlock {

/// A call that may not be repeated, as identified by its caller.
struct IntentRequest
{
    std::string clientAccount;
    std::string key; ///< The Idempotency-Key field; scoped to the client account.
    std::string bodySha256; ///< Digest over method, path and body, which a repeated key must match.
    std::string requestId;
    std::chrono::steady_clock::time_point deadline;
};

/// The answer of an upstream as it is kept for a caller that sends its key again.
struct StoredAnswer
{
    int status = 0;
    std::string contentType;
    std::string body;
};

enum class IntentAction {
    Dispatch, ///< The intent is durable; send the call once and report its end with complete().
    Replay, ///< The call ran before; give the stored answer.
    Refuse, ///< Give the refusal; nothing is sent.
    Forward, ///< Another entry process owns the key; pass the call on to it.
};

struct IntentDecision
{
    IntentAction action = IntentAction::Refuse;
    StoredAnswer answer; ///< With Replay.
    RequestError refusal; ///< With Refuse.
    std::string ownerAddress; ///< With Forward: control address of the owner's entry process.
};

/// Decides on a call before it is sent; answers exactly once.
using SubmitIntent =
    std::function<void(const IntentRequest &request, std::function<void(const IntentDecision &)> decided)>;

/// Reports the end of a call that was dispatched. NotRun frees the key, Ran keeps the answer for replay.
using CompleteIntent = std::function<void(const IntentRequest &request, Verdict verdict, const StoredAnswer &answer)>;

} // namespace hemlock
