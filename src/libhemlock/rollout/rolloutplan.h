#pragma once

#include "rollout/rolloutjudge.h"
#include "rollout/rolloutrecord.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace hemlock {

struct RolloutPlanSettings
{
    double exposeShare = 0.1; ///< Share of the requests that a version which is not judged good may get.
    /// Evidence at which a target is rolled back at once: likelihood ratio of about 5,000. It is looked at all the time
    /// and for each route, and 400 rolled back one good version in fifty.
    double certainlyBad = 8.5;
    /// Evidence at which a target is rolled back at the end of a phase.
    double probablyBad = 1.0;
    /// The same for a single route; higher, as the worst of several routes is looked at.
    double routeBad = 4.0;
    /// Evidence between this and certainlyBad is doubtful: the trial takes more responses while there is time.
    double doubtful = 1.0;
    // Evidence of the probe alone, which has fewer responses than the trial.
    double recentBad = 2.5;
    double recentRouteBad = 6.0;
    /// Evidence of the promotion alone. A wrong verdict of the trial costs the whole traffic by now.
    double promotedBad = 5.5;
    /// Fewer bad responses than this are no reason to roll back.
    double minBad = 3.0;
    /// Evidence from which a phase ends early: likelihood ratio of about 1/50.
    double clearlyGood = -4.0;
    /// Responses of the target without which it is never judged good.
    double minAnswered = 10.0;
    /// Responses of the target on each served route that end the trial early.
    double minRouteAnswered = 5.0;
    /// Good responses after which the target gets its full share of a trial.
    double firstResponses = 4.0;
    // Times as shares of the order's duration. A fault that comes later than the start of the promotion meets the whole
    // traffic, so the promotion starts as late as the rest of the phases allows.
    double minTrial = 0.4; ///< Least time until the trial ends.
    double maxTrial = 0.5; ///< Time at which the trial is decided if the evidence is clear.
    double lastTrial = 0.62; ///< Time at which the trial is decided in any case.
    double probe = 0.12; ///< Length of the probe.
    double promotion = 0.12; ///< Length of the promotion, in which the traffic leaves the version in use.
    double latestVerdict = 0.95; ///< Time at which a promotion ends in any case, before the deadline.
    double decisionEnd = 0.85; ///< What is not promoted by then is rolled back, while its write can still be repeated.
};

/// What the decider knows of a running roll-out.
struct RolloutView
{
    RolloutRecord record;
    RolloutCounts counts; ///< Of all VMs, since the order was first seen.
    RolloutCounts countsAtPhase; ///< Value of counts when the phase began.
    std::size_t targetServing = 0; ///< Serving upstreams of the target.
    std::size_t inUseServing = 0; ///< Serving upstreams of the version in use.
    double targetSlots = 0.0; ///< Sum of their slots.
    double inUseSlots = 0.0;
};

/// What the VMs are to do.
struct RolloutStep
{
    RolloutPhase phase = RolloutPhase::None; ///< The present or the next one.
    double share = 0.0; ///< Share of the requests for the target, within its exposure.
    std::string reason; ///< For the log, if the phase changes.
};

/// Decides the phases of a roll-out. Has no state of its own, so that any VM continues where another one ended.
class RolloutPlan
{
public:
    using WallTime = std::chrono::system_clock::time_point;

    explicit RolloutPlan(RolloutPlanSettings settings = {});

    RolloutStep next(const RolloutView &view, WallTime now) const;

private:
    RolloutStep nextOfTrial(const RolloutView &view, const RolloutEvidence &evidence, double elapsed) const;
    bool isProbablyBad(const RolloutEvidence &evidence) const;
    double trialShare(const RolloutEvidence &evidence, double elapsed) const;

    RolloutPlanSettings settings;
    RolloutJudge judge;
};

} // namespace hemlock
