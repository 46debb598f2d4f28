#include "relay/crashevidence.h"

namespace hemlock {

CrashEvidence crashEvidence(const AttemptEnd &end)
{
    if (end.isSuccess && (!end.endsWithConnection || end.eventWrites >= provenEventWrites))
        return CrashEvidence::Answered;
    if (end.isSuccess && end.isStream && end.eventWrites == 0 && !end.isUpstreamLeaving)
        return CrashEvidence::BrokeAtAnswerStart;
    if (end.failure != HttpFailure::Broken || end.isAborted || end.isUpstreamLeaving)
        return CrashEvidence::None;
    if (end.status == 0)
        return CrashEvidence::BrokeBeforeAnswer;
    const bool hasBegun = end.status >= 200 && end.status < 300;
    if (!hasBegun)
        return CrashEvidence::None;
    return end.eventWrites < provenEventWrites ? CrashEvidence::BrokeAtAnswerStart : CrashEvidence::BrokeInAnswer;
}

const char *crashEvidenceName(CrashEvidence evidence)
{
    switch (evidence) {
    case CrashEvidence::None:
        return "none";
    case CrashEvidence::BrokeBeforeAnswer:
        return "broke-before-answer";
    case CrashEvidence::BrokeInAnswer:
        return "broke-in-answer";
    case CrashEvidence::BrokeAtAnswerStart:
        return "broke-at-answer-start";
    case CrashEvidence::Answered:
        return "answered";
    }
    return "unknown";
}

} // namespace hemlock
