#pragma once

#include "httpclient.h"

#include <chrono>

namespace hemlock {

/// How an attempt ended, as far as it tells whether its request crashed the upstream.
struct AttemptEnd
{
    HttpFailure failure = HttpFailure::None;
    int status = 0; ///< HTTP status of the answer; 0 if none began.
    int eventWrites = 0; ///< Writes of complete events that the answer led to.
    bool isSuccess = false; ///< A complete answer with success arrived.
    bool isStream = false; ///< The answer is an event stream.
    bool endsWithConnection = false; ///< The answer has no length, so that it also looks complete after a crash.
    bool isAborted = false; ///< This process broke off the answer.
    bool isUpstreamLeaving = false; ///< The upstream had announced its shutdown.
};

enum class CrashEvidence {
    None, ///< Tells nothing: another request, the network or this process may have ended the attempt.
    BrokeBeforeAnswer, ///< The request may have crashed the upstream; so may any other that had no answer there yet.
    BrokeInAnswer, ///< Any request at the upstream may have crashed it, less likely this one.
    BrokeAtAnswerStart, ///< The upstream crashed as it began to answer, so the request or a part of it is the likely
                        ///< cause.
    Answered, ///< The request does not crash upstreams.
};

/// An answer that breaks off before its second write of events was probably broken off by the request itself; later
/// ones rather by another request, or by a failure of the upstream.
constexpr int provenEventWrites = 2;

/// An answer that goes on for so long has not crashed its upstream as it began. A request may also crash its upstream
/// after some events, so that events alone show nothing.
constexpr std::chrono::milliseconds provenAnswerTime{1000};

CrashEvidence crashEvidence(const AttemptEnd &end);

/// Name for logs.
const char *crashEvidenceName(CrashEvidence evidence);

} // namespace hemlock
