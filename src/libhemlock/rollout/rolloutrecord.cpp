#include "rollout/rolloutrecord.h"

namespace hemlock {

bool isSameOrder(const RolloutOrder &first, const RolloutOrder &second)
{
    return first.text == second.text && (first.era != second.era || first.revision == second.revision);
}

bool isVerdict(RolloutPhase phase)
{
    return phase == RolloutPhase::Completed || phase == RolloutPhase::RolledBack;
}

bool isExposed(RolloutPhase phase)
{
    return phase == RolloutPhase::Trial || phase == RolloutPhase::Probe || phase == RolloutPhase::Promoted;
}

const char *rolloutPhaseName(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::None:
        return "none";
    case RolloutPhase::Trial:
        return "trial";
    case RolloutPhase::Probe:
        return "probe";
    case RolloutPhase::Promoted:
        return "promoted";
    case RolloutPhase::Completed:
        return "completed";
    case RolloutPhase::RolledBack:
        return "rolled-back";
    }
    return "none";
}

} // namespace hemlock
