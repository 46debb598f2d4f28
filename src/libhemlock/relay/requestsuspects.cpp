#include "relay/requestsuspects.h"

#include <fmt/format.h>

#include <algorithm>

namespace hemlock {

namespace {

/// A crashed upstream takes longer than this until it answers again; entry VMs notice the same crash within it.
constexpr std::chrono::milliseconds minUpstreamRestartTime{2000};

/// Long enough for crashes that were under way to be noticed, and for several requests of the fleet to arrive.
constexpr std::chrono::seconds trialDelay{8};

/// Short, since sound requests are refused until it is known which of two subjects crashes upstreams.
constexpr std::chrono::milliseconds distinguishingTrialDelay{2000};

/// How long a trial waits for a request without a second suspect.
constexpr std::chrono::seconds maxTrialWait{4};

/// Connections that are reset together break within a few milliseconds of each other at one entry VM, and are seen some
/// tens of milliseconds later at a busy one.
constexpr std::chrono::milliseconds incidentWindow{100};

/// The check of a refused subject compares its crashes with those of all others.
constexpr std::size_t maxSuspects = 2000;

/// Parts that are answered less often than this are hardly shared by requests that are in progress.
constexpr std::chrono::seconds partProvenDuration{30};

/// A prompt part that was present at four incidents, and in no complete answer between them, is refused before the
/// fifth crash, after which all VMs must refuse it.
constexpr std::size_t presenceLimit = 4;

/// More than presenceLimit, so that a subject can have had all crashes of another suspect and one more.
constexpr std::size_t maxCrashesPerSuspect = 8;

} // namespace

QuarantineSettings RequestSuspects::quarantineSettings(const std::string &node)
{
    QuarantineSettings settings;
    // Shared parts stand beside the one that crashes upstreams, and their next answer may come after the second crash.
    settings.provenCrashLimit = settings.crashLimit + 1;
    settings.provenDuration = partProvenDuration;
    settings.presenceLimit = presenceLimit;
    settings.incidentWindow = incidentWindow;
    settings.maxCrashesPerEntry = maxCrashesPerSuspect;
    settings.minRestartTime = minUpstreamRestartTime;
    settings.trialDelay = trialDelay;
    settings.distinguishingTrialDelay = distinguishingTrialDelay;
    settings.trialSeed = node;
    settings.maxEntries = maxSuspects;
    return settings;
}

RequestSuspects::RequestSuspects(Quarantine &quarantine)
    : quarantine(quarantine)
{
}

void RequestSuspects::setRequest(const std::string &service,
                                 const std::vector<PromptPart> &parts,
                                 const std::string &fingerprint)
{
    this->subjects.clear();
    // A part need not crash the upstreams of another service.
    for (std::size_t i = 0; i + 1 < parts.size(); ++i)
        this->subjects.push_back(fmt::format("{}/{:x}", service, parts[i].id));
    this->subjects.push_back(fingerprint);
}

bool RequestSuspects::isRefused(const std::string &subject, Time now) const
{
    const Quarantine::Permission permission = this->quarantine.permissionFor(subject, now);
    return permission == Quarantine::Permission::Refused || permission == Quarantine::Permission::Trial;
}

std::span<const std::string> RequestSuspects::partSubjects() const
{
    return std::span(this->subjects).first(this->subjects.empty() ? 0 : this->subjects.size() - 1);
}

std::optional<RequestSuspects::Refusal> RequestSuspects::refusal(Time now) const
{
    if (this->grantedTrial(now))
        return std::nullopt;
    for (const std::string &subject : this->subjects) {
        if (!this->isRefused(subject, now))
            continue;
        const auto wait = std::chrono::ceil<std::chrono::seconds>(this->quarantine.trialWait(subject, now));
        return Refusal{&subject != &this->subjects.back(), std::max(std::chrono::seconds(1), wait)};
    }
    return std::nullopt;
}

std::optional<std::string> RequestSuspects::dueTrial(Time now) const
{
    std::optional<std::string> due;
    int suspects = 0;
    for (const std::string &subject : this->subjects) {
        const Quarantine::Permission permission = this->quarantine.permissionFor(subject, now);
        if (permission != Quarantine::Permission::Allowed)
            ++suspects;
        if (permission == Quarantine::Permission::Trial)
            due = subject;
    }
    // A trial with a second suspect would not tell which of them crashes upstreams. It is better than none if no other
    // request comes, since a success clears all of them.
    const bool isOverdue = due && this->quarantine.trialOverdue(*due, now) >= maxTrialWait;
    return suspects == 1 || isOverdue ? due : std::nullopt;
}

void RequestSuspects::grantTrial(const std::string &subject, Time validUntil)
{
    this->trialSubject = subject;
    this->trialValidUntil = validUntil;
}

std::optional<std::string> RequestSuspects::grantedTrial(Time now) const
{
    if (this->trialSubject.empty() || now >= this->trialValidUntil)
        return std::nullopt;
    return this->trialSubject;
}

void RequestSuspects::endTrial()
{
    this->trialSubject.clear();
}

void RequestSuspects::record(CrashEvidence evidence, const Upstream &upstream, Time answerStart, Time now)
{
    switch (evidence) {
    case CrashEvidence::None:
        return;
    case CrashEvidence::Answered:
        this->quarantine.clearSuspicion(this->subjects.back(), now, now);
        for (const std::string &part : this->partSubjects())
            this->quarantine.recordSuccess(part, answerStart, now);
        return;
    case CrashEvidence::BrokeAtAnswerStart:
        for (const std::string &subject : this->subjects)
            this->quarantine.recordCrash(subject, upstream, now);
        return;
    case CrashEvidence::BrokeBeforeAnswer:
        // Parts are shared by requests that waited beside the one that crashed the upstream.
        for (const std::string &part : this->partSubjects())
            this->quarantine.recordPresence(part, upstream, now);
        this->quarantine.recordCrash(this->subjects.back(), upstream, now);
        return;
    case CrashEvidence::BrokeInAnswer:
        for (const std::string &subject : this->subjects)
            this->quarantine.recordPresence(subject, upstream, now);
        return;
    }
}

void RequestSuspects::recordProgress(Time answerStart, Time now)
{
    if (now - answerStart < provenAnswerTime || answerStart == this->recordedAnswerStart)
        return;
    this->recordedAnswerStart = answerStart;
    for (const std::string &part : this->partSubjects())
        this->quarantine.recordProgress(part, answerStart, now);
}

} // namespace hemlock
