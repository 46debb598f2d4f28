#include "relay/partaffinity.h"

#include "mixbits.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace hemlock {

namespace {

/// If the first preferred upstream of a part is busy, its prompts go to the second one, which then caches the part as
/// well.
constexpr std::size_t preferredUpstreamsPerPart = 2;

std::uint64_t rendezvousWeight(std::uint64_t part, const std::string &upstream)
{
    return mixBits(part ^ (std::hash<std::string>()(upstream) * 0x9e3779b97f4a7c15ULL));
}

/// Number of parts shared with other prompts. The last part is specific to the request; the one before it determines
/// the preferred upstreams.
std::size_t sharedPartCount(const RouteQuery &query)
{
    return query.parts.empty() ? 0 : query.parts.size() - 1;
}

/// Preferred upstreams of the last shared part in rendezvous order; empty for a prompt without shared parts.
std::vector<const UpstreamView *> preferredUpstreams(const RouteQuery &query, const CandidateSet &candidates)
{
    const std::size_t shared = sharedPartCount(query);
    if (shared == 0)
        return {};
    const std::uint64_t part = query.parts[shared - 1].id;
    using Ranked = std::pair<std::uint64_t, const UpstreamView *>;
    std::vector<Ranked> ranked;
    ranked.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i)
        ranked.emplace_back(rendezvousWeight(part, candidates.at(i).id), &candidates.at(i));
    const std::size_t count = std::min(preferredUpstreamsPerPart, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(),
                      [](const Ranked &a, const Ranked &b) { return a.first > b.first; });
    std::vector<const UpstreamView *> preferred;
    for (std::size_t i = 0; i < count; ++i)
        preferred.push_back(ranked[i].second);
    return preferred;
}

} // namespace

PartAffinityPolicy::PartAffinityPolicy(PartAffinitySettings settings)
    : settings(settings)
{
}

RouteDecision PartAffinityPolicy::choose(const RouteQuery &query, const CandidateSet &candidates, RandomEngine &random)
{
    const std::vector<const UpstreamView *> preferred = preferredUpstreams(query, candidates);
    const UpstreamView *firstPreferred = preferred.empty() ? nullptr : preferred.front();
    const bool isLargeFleet = candidates.size() > this->settings.maxFullScanUpstreams;
    // Random tie-breaking keeps entry VMs from all choosing the same one of several equal upstreams.
    constexpr double tieBreakMs = 0.5;
    std::uniform_real_distribution<double> tieBreak(0.0, tieBreakMs);
    const UpstreamView *best = &candidates.at(0);
    double leastCost = std::numeric_limits<double>::max();
    double missing = 0.0;
    double sharedTokens = 0.0;
    double totalTokens = 0.0;
    for (const PromptPart &part : query.parts)
        totalTokens += part.tokens;
    for (std::size_t i = 0; i < sharedPartCount(query); ++i)
        sharedTokens += query.parts[i].tokens;
    for (const UpstreamView *candidate : this->evaluatedCandidates(preferred, candidates, random)) {
        const UpstreamView &view = *candidate;
        const double tokens = this->missingTokens(query, view.id);
        const double credit = this->preferenceCredit(view, preferred, isLargeFleet);
        const double effectiveTokens = tokens - credit * std::min(tokens, sharedTokens);
        const double nonPreferredTokens = isLargeFleet && credit == 0.0
            ? (this->settings.nonPreferredCostFactor - 1.0) * std::min(tokens, sharedTokens)
            : 0.0;
        // Attention pairs each computed token with every earlier token, cached or not.
        const double millionPairs = effectiveTokens * (totalTokens - effectiveTokens / 2) / 1e6;
        const double cost = (view.pendingTokens + effectiveTokens + nonPreferredTokens) / this->settings.tokensPerMs
            + millionPairs * this->settings.msPerMillionPairs + view.load() * this->settings.msPerRequest
            + static_cast<double>(view.excessDelay.count()) + view.failureShare * this->settings.failurePenaltyMs
            + (view.zone == query.zone ? 0.0 : this->settings.crossZonePenaltyMs) + tieBreak(random);
        if (cost >= leastCost)
            continue;
        leastCost = cost;
        // In a large fleet, tokens that a preferred upstream is assumed to cache are not computed. In a small fleet,
        // the credit only makes entry VMs choose the same upstream for a new part.
        missing = isLargeFleet ? effectiveTokens : tokens;
        best = &view;
    }
    RouteDecision decision;
    decision.upstream = best->id;
    decision.tokensToCompute = missing;
    decision.reason = "least expected delay of the first token: " + std::to_string(static_cast<long>(leastCost))
        + " ms, " + std::to_string(static_cast<long>(missing)) + " prompt tokens to compute"
        + (best == firstPreferred ? ", preferred for the shared part" : "");
    return decision;
}

std::vector<const UpstreamView *> PartAffinityPolicy::evaluatedCandidates(
    const std::vector<const UpstreamView *> &preferred, const CandidateSet &candidates, RandomEngine &random) const
{
    std::vector<const UpstreamView *> selected;
    if (candidates.size() <= this->settings.maxFullScanUpstreams) {
        for (std::size_t i = 0; i < candidates.size(); ++i)
            selected.push_back(&candidates.at(i));
        return selected;
    }
    selected = preferred;
    for (std::size_t i = 0; i < this->settings.sampledUpstreams; ++i)
        selected.push_back(&candidates.randomChoice(random));
    return selected;
}

double PartAffinityPolicy::preferenceCredit(const UpstreamView &view,
                                            const std::vector<const UpstreamView *> &preferred,
                                            bool isLargeFleet) const
{
    const auto found = std::find(preferred.begin(), preferred.end(), &view);
    if (found == preferred.end())
        return 0.0;
    // In a large fleet, peers do not report which parts they sent where, so a preferred upstream is assumed to cache
    // the part.
    const double credit =
        isLargeFleet ? this->settings.largeFleetPreferenceCredit : this->settings.smallFleetPreferenceCredit;
    if (found == preferred.begin())
        return credit;
    return isLargeFleet ? credit / 2 : 0.0;
}

double PartAffinityPolicy::missingTokens(const RouteQuery &query, const std::string &upstream) const
{
    const auto cache = this->cacheByUpstream.find(upstream);
    double missing = 0.0;
    bool isPrefixCached = cache != this->cacheByUpstream.end();
    for (const PromptPart &part : query.parts) {
        isPrefixCached = isPrefixCached && cache->second.positions.contains(part.id);
        if (!isPrefixCached)
            missing += part.tokens;
    }
    return missing;
}

void PartAffinityPolicy::removeUpstream(const std::string &upstream)
{
    this->cacheByUpstream.erase(upstream);
}

void PartAffinityPolicy::notePartsCached(const std::string &upstream, const std::vector<PromptPart> &parts)
{
    CacheContents &cache = this->cacheByUpstream[upstream];
    // The first part is marked as used last, so that a prefix is evicted after the parts that follow it.
    const std::vector<PromptPart> lastFirst(parts.rbegin(), parts.rend());
    for (const PromptPart &part : lastFirst) {
        if (const auto known = cache.positions.find(part.id); known != cache.positions.end()) {
            cache.tokens -= known->second->tokens;
            cache.recency.erase(known->second);
        }
        cache.recency.push_front(part);
        cache.positions[part.id] = cache.recency.begin();
        cache.tokens += part.tokens;
    }
    while (cache.tokens > this->settings.cacheCapacityTokens && cache.recency.size() > 1) {
        cache.tokens -= cache.recency.back().tokens;
        cache.positions.erase(cache.recency.back().id);
        cache.recency.pop_back();
    }
}

} // namespace hemlock
