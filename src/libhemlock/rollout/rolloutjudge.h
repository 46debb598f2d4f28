#pragma once

#include "rollout/rolloutcounts.h"

namespace hemlock {

/// Evidence that the target of a roll-out is bad, as logarithms of likelihood ratios: positive for a bad version.
struct RolloutEvidence
{
    double overall = 0.0; ///< Of all routes together.
    double worstRoute = 0.0; ///< The highest one of a single route.
    double answered = 0.0; ///< Responses of the target.
    double bad = 0.0; ///< Responses of the target that failed or were several times slower.
    double thinnestRoute = 0.0; ///< Least number of the target's responses on a route that the version in use serves.
};

struct RolloutJudgeSettings
{
    /// A bad version is taken to spoil this share of the responses that would have been good. At half of it the
    /// evidence is still positive where the version in use fails rarely; 0.2 rolled back one good version in fifteen.
    double badShare = 0.3;
    /// Least assumed share of bad responses; a single failure of a target must not be proof.
    double minBadShare = 0.02;
    /// Responses at the mean of all routes that are added to those of a route with few of its own.
    double priorWeight = 10.0;
    /// Responses that take about three times the median of the version in use are bad. At two to three times, one in
    /// sixteen of its own responses were, and too many good versions were rolled back.
    std::size_t slowBuckets = 7;
    /// Responses of the version in use from which a route counts as served.
    double servedRoute = 20.0;
};

/// Compares, route by route, the responses of a roll-out's target with those of the version in use at the same time.
class RolloutJudge
{
public:
    explicit RolloutJudge(RolloutJudgeSettings settings = {});

    RolloutEvidence weigh(const RolloutCounts &counts) const;

private:
    RolloutJudgeSettings settings;
};

} // namespace hemlock
