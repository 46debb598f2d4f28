#include "rollout/rolloutplan.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

namespace {

double shareOf(RolloutPlan::WallTime::duration time, std::chrono::milliseconds duration)
{
    if (duration.count() <= 0)
        return 1.0;
    return std::chrono::duration<double, std::milli>(time).count() / static_cast<double>(duration.count());
}

/// Target upstreams with fewer than this share of the slots of the version in use cannot carry its load.
constexpr double neededSlots = 0.5;

/// The first requests of a roll-out are a few of the whole fleet.
constexpr double firstShare = 0.02;

/// Share of the requests until there are enough responses to judge; the exposure of each VM limits it further.
constexpr double samplingShare = 0.3;

/// Responses of the target from which the trial saves exposure.
constexpr double enoughResponses = 50.0;

/// Part of the exposure that the trial uses from then on; the rest is for the probe.
constexpr double trialPart = 0.3;

/// The same while the evidence is doubtful.
constexpr double doubtfulPart = 0.6;

/// While there are too few responses, the share doubles in this part of the duration: at 350 VMs with few requests
/// each, only some may send a request to the target at all.
constexpr double doublingTime = 0.04;

} // namespace

RolloutPlan::RolloutPlan(RolloutPlanSettings settings)
    : settings(settings)
{
}

RolloutStep RolloutPlan::next(const RolloutView &view, WallTime now) const
{
    const RolloutRecord &record = view.record;
    if (!isExposed(record.phase))
        return {record.phase, 0.0, {}};
    const double elapsed = shareOf(now - record.firstSeen, record.order.duration);
    const double inPhase = shareOf(now - record.phaseBegan, record.order.duration);
    if (record.order.target == record.versionInUse && view.targetServing > 0)
        return {RolloutPhase::Completed, 1.0, "the target is in use already"};
    const RolloutEvidence evidence = this->judge.weigh(view.counts);
    // A fault that shows late or under load only must not be outweighed by earlier good responses.
    const RolloutEvidence recent = this->judge.weigh(countsSince(view.counts, view.countsAtPhase));
    for (const RolloutEvidence &found : {evidence, recent}) {
        if (found.bad >= this->settings.minBad
            && std::max(found.overall, found.worstRoute) >= this->settings.certainlyBad)
            return {RolloutPhase::RolledBack, 0.0, "bad responses"};
    }
    if (record.phase == RolloutPhase::Promoted) {
        if (recent.bad > this->settings.minBad && recent.overall >= this->settings.promotedBad)
            return {RolloutPhase::RolledBack, 0.0, "bad responses under load"};
        if (view.targetServing == 0 && view.inUseServing > 0)
            return {RolloutPhase::RolledBack, 0.0, "no upstream of the target is left"};
        // A decider that took over late has less time left for the promotion.
        if (inPhase >= this->settings.promotion || elapsed >= this->settings.latestVerdict)
            return {RolloutPhase::Completed, 1.0, "good responses"};
        return {RolloutPhase::Promoted, 1.0, {}};
    }
    if (elapsed >= this->settings.decisionEnd)
        return {RolloutPhase::RolledBack, 0.0, "not judged good in time"};
    if (record.phase == RolloutPhase::Trial)
        return this->nextOfTrial(view, evidence, elapsed);
    if (inPhase < this->settings.probe)
        return {RolloutPhase::Probe, 1.0, {}};
    const bool isRecentBad = recent.bad >= this->settings.minBad
        && (recent.overall >= this->settings.recentBad || recent.worstRoute >= this->settings.recentRouteBad);
    if (isRecentBad || this->isProbablyBad(evidence))
        return {RolloutPhase::RolledBack, 0.0, "bad responses under load"};
    if (view.targetSlots < neededSlots * view.inUseSlots)
        return {RolloutPhase::Probe, this->trialShare(evidence, elapsed), "too few upstreams of the target"};
    return {RolloutPhase::Promoted, 1.0, "good responses"};
}

RolloutStep RolloutPlan::nextOfTrial(const RolloutView &view, const RolloutEvidence &evidence, double elapsed) const
{
    const bool isCovered = evidence.thinnestRoute >= this->settings.minRouteAnswered;
    const bool isClear = evidence.overall <= this->settings.clearlyGood && evidence.worstRoute < 0.0;
    const bool isDoubtful = std::max(evidence.overall, evidence.worstRoute) >= this->settings.doubtful;
    const bool isDecided = elapsed >= (isDoubtful ? this->settings.lastTrial : this->settings.maxTrial)
        && evidence.answered >= this->settings.minAnswered;
    if (isDecided && this->isProbablyBad(evidence))
        return {RolloutPhase::RolledBack, 0.0, "bad responses"};
    if (isDecided || (elapsed >= this->settings.minTrial && isCovered && isClear))
        return {RolloutPhase::Probe, 1.0, "good responses"};
    return {RolloutPhase::Trial, view.targetServing > 0 ? this->trialShare(evidence, elapsed) : 0.0, {}};
}

bool RolloutPlan::isProbablyBad(const RolloutEvidence &evidence) const
{
    return evidence.bad >= this->settings.minBad
        && (evidence.overall >= this->settings.probablyBad || evidence.worstRoute >= this->settings.routeBad);
}

double RolloutPlan::trialShare(const RolloutEvidence &evidence, double elapsed) const
{
    const double growth = std::exp2(elapsed / doublingTime);
    if (evidence.answered - evidence.bad < this->settings.firstResponses)
        return std::min(1.0, firstShare * growth);
    const bool isDoubtful = std::max(evidence.overall, evidence.worstRoute) >= this->settings.doubtful;
    if (evidence.answered < enoughResponses)
        return std::min(1.0, std::max(samplingShare, firstShare * growth));
    return this->settings.exposeShare * (isDoubtful ? doubtfulPart : trialPart);
}

} // namespace hemlock
