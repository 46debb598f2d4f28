#include "rollout/rolloutjudge.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hemlock {

namespace {

/// Number of bad responses: failures and those in @p slowBucket and above.
double badResponses(const VersionCounts &counts, std::size_t slowBucket)
{
    return counts.failed + counts.slowerThan(slowBucket);
}

} // namespace

RolloutJudge::RolloutJudge(RolloutJudgeSettings settings)
    : settings(settings)
{
}

RolloutEvidence RolloutJudge::weigh(const RolloutCounts &counts) const
{
    const auto slowBucket = [this](const RouteCounts &route) {
        // Without a success of the version in use, no delay is known to be slow.
        const bool isKnown = route.inUse.slowerThan(0) > 0.0;
        return isKnown ? route.inUse.medianBucket() + this->settings.slowBuckets : VersionCounts::bucketCount;
    };
    double answeredInUse = 0.0;
    double badInUse = 0.0;
    for (const auto &[name, route] : counts) {
        answeredInUse += route.inUse.answered();
        badInUse += badResponses(route.inUse, slowBucket(route));
    }
    const double meanShare = answeredInUse > 0.0 ? badInUse / answeredInUse : 0.0;
    RolloutEvidence evidence;
    evidence.worstRoute = std::numeric_limits<double>::lowest();
    evidence.thinnestRoute = std::numeric_limits<double>::max();
    for (const auto &[name, route] : counts) {
        const double prior = this->settings.priorWeight;
        const double bad = badResponses(route.target, slowBucket(route));
        const double answered = route.target.answered();
        const double share =
            (badResponses(route.inUse, slowBucket(route)) + prior * meanShare) / (route.inUse.answered() + prior);
        const double usualShare = std::clamp(share, this->settings.minBadShare, 1.0 - this->settings.minBadShare);
        const double worseShare = usualShare + this->settings.badShare * (1.0 - usualShare);
        const double ratio = bad * std::log(worseShare / usualShare)
            + (answered - bad) * std::log((1.0 - worseShare) / (1.0 - usualShare));
        evidence.overall += ratio;
        evidence.worstRoute = std::max(evidence.worstRoute, ratio);
        evidence.answered += answered;
        evidence.bad += bad;
        if (route.inUse.answered() >= this->settings.servedRoute)
            evidence.thinnestRoute = std::min(evidence.thinnestRoute, answered);
    }
    return evidence;
}

} // namespace hemlock
