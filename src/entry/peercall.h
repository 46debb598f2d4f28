#pragma once

#include "httpserver.h"
#include "verdict.h"

#include <chrono>
#include <functional>
#include <string>

namespace hemlock {

/// Path on the control address at which an entry process takes calls that its peers forward.
inline constexpr std::string_view peerCallPath = "/peer/call";

/// Status of the answer of a process that does not own the key's slot.
inline constexpr int notOwnerStatus = 421;

/// A caller's call on its way to the entry process that owns its idempotency key. The sender has checked the
/// caller's API key and rules.
struct PeerCall
{
    std::string clientAccount;
    std::string requestId;
    std::chrono::milliseconds timeLeft{0};
    HttpRequest request;
};

/// As the JSON body of a message, all of which is signed. The API key stays with the sender.
std::string encodePeerCall(const PeerCall &call);

/// Fails with RequestError for a malformed message.
Result<PeerCall> decodePeerCall(const std::string &body);

/// How the forwarding of a call ended.
struct ForwardOutcome
{
    bool isAnswered = false; ///< Whether the owner answered; otherwise the intent log decides anew on the call.
    Verdict verdict = Verdict::NotRun; ///< Without an answer: whether the owner may have run the call.
    int status = 0;
    HttpHeaders headers;
    std::string body;
};

/// Runs a call that a peer has forwarded.
using RunPeerCall = std::function<void(PeerCall call, const HttpResponderPtr &responder)>;

} // namespace hemlock
