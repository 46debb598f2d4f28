#include "admission/backfillscan.h"

#include <algorithm>

namespace hemlock {

namespace {

// Each try iterates over all upstreams of the service; this bounds the cost of a pass over a long queue.
constexpr std::size_t maxBlockedRequests = 32;

bool hasFreeSlot(const UpstreamView &view)
{
    return view.slots <= 0 || view.load() < view.slots;
}

} // namespace

BackfillScan::BackfillScan(bool isEnabled)
    : isEnabled(isEnabled)
{
}

bool BackfillScan::mayFit(const Need &need) const
{
    return std::none_of(this->blocked.begin(), this->blocked.end(), [&need](const Need &other) {
        return !other.isTrial && other.promptTokens <= need.promptTokens
            && std::includes(need.excluded.begin(), need.excluded.end(), other.excluded.begin(), other.excluded.end());
    });
}

void BackfillScan::addBlocked(const Need &need,
                              const CandidateSet &candidates,
                              const std::set<std::string> &unavailable)
{
    const UpstreamView *idlest = nullptr;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const UpstreamView &view = candidates.at(i);
        if (!hasFreeSlot(view) || need.excluded.contains(view.id) || unavailable.contains(view.id))
            continue;
        if (!idlest || view.pendingTokens < idlest->pendingTokens)
            idlest = &view;
    }
    Need entry = need;
    // Without a free slot, smaller prompts do not fit either.
    if (!idlest)
        entry.promptTokens = 0.0;
    else if (this->blocked.empty() && need.promptTokens > 0.0)
        this->reserved = idlest->id;
    this->isAllBlocked = this->isAllBlocked || (entry.promptTokens <= 0.0 && entry.excluded.empty() && !entry.isTrial);
    this->blocked.push_back(std::move(entry));
}

bool BackfillScan::isFinished() const
{
    return this->isAllBlocked || this->blocked.size() >= maxBlockedRequests
        || (!this->isEnabled && !this->blocked.empty());
}

const std::string &BackfillScan::reservedUpstream() const
{
    return this->reserved;
}

} // namespace hemlock
