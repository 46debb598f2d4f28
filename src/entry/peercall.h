#pragma once

#include "httpserver.h"
#include "verdict.h"

#include <chrono>
#include <functional>
#include <string>

namespace hemlock {

/// Path on the control address for calls that peers forward.
inline constexpr std::string_view peerCallPath = "/peer/call";

/// HTTP status with which a process that does not own the key's slot answers.
inline constexpr int notOwnerStatus = 421;

/// A call that is forwarded to the entry process that owns its idempotency key. The sender has checked the caller's
/// API key and access rules.
struct PeerCall
{
    std::string clientAccount;
    std::string requestId;
    std::chrono::milliseconds timeLeft{0}; ///< Time until the call's deadline.
    HttpRequest request;
};

/// Encodes the call as a JSON body, which is signed as a whole. The API key is left out.
std::string encodePeerCall(const PeerCall &call);

/// Fails with RequestError (400, "malformed-peer-call") for a malformed message.
Result<PeerCall> decodePeerCall(const std::string &body);

/// Outcome of forwarding a call.
struct ForwardOutcome
{
    bool isAnswered = false; ///< The owner answered; otherwise the call is submitted to the intent log again.
    Verdict verdict = Verdict::NotRun; ///< Without an answer: whether the owner may have run the call.
    int status = 0; ///< HTTP status of the owner's answer; 0 without an answer.
    HttpHeaders headers;
    std::string body;
};

/// Runs a call that a peer has forwarded.
using RunPeerCall = std::function<void(PeerCall call, const HttpResponderPtr &responder)>;

} // namespace hemlock
