#pragma once

#include "quarantine.h"
#include "relay/crashevidence.h"
#include "router.h"

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hemlock {

/// Subjects of the quarantine in one request: the request as a whole, by its fingerprint, and the parts of its prompt
/// that other prompts may share.
class RequestSuspects
{
public:
    using Time = Quarantine::Time;

    struct Refusal
    {
        bool isPart = false; ///< Whether the subject is a part of the prompt.
        std::chrono::seconds wait{1}; ///< Time after which the next trial is due; at least one second.
    };

    /// Settings of a quarantine for the requests and prompt parts of an entry VM.
    static QuarantineSettings quarantineSettings(const std::string &node);

    explicit RequestSuspects(Quarantine &quarantine);

    /// Sets the parts of the prompt for a service, and the fingerprint of the request as by requestFingerprint(). The
    /// last part belongs to its request alone and is never a suspect.
    void setRequest(const std::string &service, const std::vector<PromptPart> &parts, const std::string &fingerprint);

    /// The first subject that is refused, unless this request is a granted trial.
    std::optional<Refusal> refusal(Time now) const;

    /// The subject whose trial is due and may be made with this request.
    std::optional<std::string> dueTrial(Time now) const;

    /// The request may be sent as the trial of a subject until a time.
    void grantTrial(const std::string &subject, Time validUntil);

    /// The subject that the request is the trial of, unless that ended or was not granted.
    std::optional<std::string> grantedTrial(Time now) const;

    /// Ends the trial, which covers one attempt.
    void endTrial();

    /// Records what an attempt at an upstream showed. @p answerStart is when the answer began, if it did.
    void record(CrashEvidence evidence, const Upstream &upstream, Time answerStart, Time now);

    /// Records that the upstream goes on to answer, from the time @p answerStart on. After provenAnswerTime, this shows
    /// that no part of the prompt crashes upstreams as they begin to answer.
    void recordProgress(Time answerStart, Time now);

private:
    bool isRefused(const std::string &subject, Time now) const;
    /// The subjects without the request as a whole.
    std::span<const std::string> partSubjects() const;

    Quarantine &quarantine;
    std::vector<std::string> subjects; ///< The parts of the prompt, then the request; empty until they are known.
    std::string trialSubject; ///< Empty if no trial was granted.
    Time trialValidUntil{};
    Time recordedAnswerStart{}; ///< Of the latest answer whose progress was recorded.
};

} // namespace hemlock
