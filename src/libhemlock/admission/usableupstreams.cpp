#include "admission/usableupstreams.h"

#include <algorithm>

namespace hemlock {

namespace {

bool isFull(const UpstreamView &view, double promptTokens, const UpstreamLimits &limits)
{
    if (view.id == limits.reservedUpstream)
        return true;
    if (view.slots > 0 && view.load() >= view.slots * (limits.isModel ? 1.0 : limits.slotOvercommit))
        return true;
    if (limits.isTimely && view.pendingTokens > 0.0 && !limits.isTimely(view))
        return true;
    return limits.isModel && view.pendingTokens > 0.0 && view.pendingTokens + promptTokens > limits.maxPendingTokens;
}

} // namespace

std::optional<std::chrono::seconds> pauseLeftOf(const std::unordered_map<std::string, Upstream> &upstreams,
                                                const std::string &service,
                                                const std::set<std::string> &excluded,
                                                const PauseEndHook &pauseEnd,
                                                std::chrono::steady_clock::time_point now)
{
    auto first = std::chrono::steady_clock::time_point::max();
    bool isAnyPaused = false;
    for (const auto &[id, upstream] : upstreams) {
        const bool isUsable = upstream.state == UpstreamState::Serving || upstream.state == UpstreamState::Suspected;
        if (upstream.service != service || !isUsable)
            continue;
        const auto end = pauseEnd(id);
        if (!end && !excluded.contains(id))
            return std::nullopt;
        isAnyPaused = isAnyPaused || end;
        first = std::min(first, end.value_or(now));
    }
    if (!isAnyPaused)
        return std::nullopt;
    return std::max(std::chrono::seconds(1), std::chrono::ceil<std::chrono::seconds>(first - now));
}

std::set<std::string> fullUpstreams(const CandidateSet &candidates, double promptTokens, const UpstreamLimits &limits)
{
    std::set<std::string> full;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (isFull(candidates.at(i), promptTokens, limits))
            full.insert(candidates.at(i).id);
    }
    return full;
}

void excludeLoaded(const CandidateSet &candidates, std::set<std::string> &excluded)
{
    const UpstreamView *idlest = nullptr;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const UpstreamView &view = candidates.at(i);
        if (!excluded.contains(view.id) && (!idlest || view.load() < idlest->load()))
            idlest = &view;
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (&candidates.at(i) != idlest)
            excluded.insert(candidates.at(i).id);
    }
}

std::vector<UpstreamView> usableViews(const CandidateSet &candidates,
                                      const std::set<std::string> &excluded,
                                      const std::set<std::string> &unavailable)
{
    std::vector<UpstreamView> views;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const UpstreamView &view = candidates.at(i);
        if (!excluded.contains(view.id) && !unavailable.contains(view.id))
            views.push_back(view);
    }
    return views;
}

} // namespace hemlock
