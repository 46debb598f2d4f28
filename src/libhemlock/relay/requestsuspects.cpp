#include "relay/requestsuspects.h"

#include <fmt/format.h>

#include <algorithm>

namespace hemlock {

RequestSuspects::RequestSuspects(Quarantine &quarantine)
    : quarantine(quarantine)
{
}

void RequestSuspects::setFingerprint(const std::string &requestFingerprint)
{
    this->fingerprint = requestFingerprint;
}

void RequestSuspects::setParts(const std::string &service, const std::vector<PromptPart> &promptParts)
{
    this->parts.clear();
    // A part need not crash the upstreams of another service.
    for (std::size_t i = 0; i + 1 < promptParts.size(); ++i)
        this->parts.push_back(fmt::format("{}/{:x}", service, promptParts[i].id));
}

std::vector<std::string> RequestSuspects::subjects() const
{
    std::vector<std::string> all = this->parts;
    if (!this->fingerprint.empty())
        all.push_back(this->fingerprint);
    return all;
}

bool RequestSuspects::isRefused(const std::string &subject, Time now) const
{
    const Quarantine::Permission permission = this->quarantine.permissionFor(subject, now);
    return permission == Quarantine::Permission::Refused || permission == Quarantine::Permission::Trial;
}

std::optional<RequestSuspects::Refusal> RequestSuspects::refusal(Time now) const
{
    const auto granted = this->grantedTrial(now);
    for (const std::string &subject : this->subjects()) {
        if (subject == granted || !this->isRefused(subject, now))
            continue;
        const auto wait = std::chrono::ceil<std::chrono::seconds>(this->quarantine.trialWait(subject, now));
        return Refusal{subject, subject != this->fingerprint, std::max(std::chrono::seconds(1), wait)};
    }
    return std::nullopt;
}

std::optional<std::string> RequestSuspects::dueTrial(Time now) const
{
    std::optional<std::string> due;
    int suspects = 0;
    for (const std::string &subject : this->subjects()) {
        const Quarantine::Permission permission = this->quarantine.permissionFor(subject, now);
        if (permission != Quarantine::Permission::Allowed)
            ++suspects;
        if (permission == Quarantine::Permission::Trial)
            due = subject;
    }
    // A trial with a second suspect would not tell which of them crashes upstreams.
    return suspects == 1 ? due : std::nullopt;
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
        this->quarantine.clearSuspicion(this->fingerprint, now, now);
        return this->recordProgress(answerStart, now);
    case CrashEvidence::BrokeAtAnswerStart:
        for (const std::string &part : this->parts)
            this->quarantine.recordCrash(part, upstream, now);
        [[fallthrough]];
    case CrashEvidence::BrokeBeforeAnswer:
        // Parts are shared by requests that waited beside the one that crashed the upstream.
        if (!this->fingerprint.empty())
            this->quarantine.recordCrash(this->fingerprint, upstream, now);
        return;
    }
}

void RequestSuspects::recordProgress(Time answerStart, Time now)
{
    for (const std::string &part : this->parts)
        this->quarantine.recordSuccess(part, answerStart, now);
}

} // namespace hemlock
