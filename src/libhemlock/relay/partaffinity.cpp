#include "relay/partaffinity.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace hemlock {

namespace {

/// A part whose home is busy goes to the next one, which then holds it too.
constexpr std::size_t homesOfPart = 2;

std::uint64_t rendezvousWeight(std::uint64_t part, const std::string &upstream)
{
    std::uint64_t value = part ^ (std::hash<std::string>()(upstream) * 0x9e3779b97f4a7c15ULL);
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/// The last part belongs to the request alone; the one before decides the home.
std::size_t sharedParts(const RouteQuery &query)
{
    return query.parts.empty() ? 0 : query.parts.size() - 1;
}

/// Homes of the last shared part, the first one first; none for a prompt without shared parts.
std::vector<const UpstreamView *> homesOf(const RouteQuery &query, const CandidateSet &candidates)
{
    const std::size_t shared = sharedParts(query);
    if (shared == 0)
        return {};
    const std::uint64_t part = query.parts[shared - 1].id;
    using Ranked = std::pair<std::uint64_t, const UpstreamView *>;
    std::vector<Ranked> ranked;
    ranked.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i)
        ranked.emplace_back(rendezvousWeight(part, candidates.at(i).id), &candidates.at(i));
    const std::size_t count = std::min(homesOfPart, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(count),
                      ranked.end(),
                      [](const Ranked &a, const Ranked &b) { return a.first > b.first; });
    std::vector<const UpstreamView *> homes;
    for (std::size_t i = 0; i < count; ++i)
        homes.push_back(ranked[i].second);
    return homes;
}

} // namespace

PartAffinityPolicy::PartAffinityPolicy(PartAffinitySettings settings)
    : settings(settings)
{
}

RouteDecision PartAffinityPolicy::choose(const RouteQuery &query, const CandidateSet &candidates, RandomEngine &random)
{
    const std::vector<const UpstreamView *> homes = homesOf(query, candidates);
    const UpstreamView *home = homes.empty() ? nullptr : homes.front();
    const bool isLarge = candidates.size() > this->settings.weighedUpstreams;
    // Equal upstreams are told apart at random, so that entry VMs do not all choose the same one.
    constexpr double tieMs = 0.5;
    std::uniform_real_distribution<double> tie(0.0, tieMs);
    const UpstreamView *best = &candidates.at(0);
    double least = std::numeric_limits<double>::max();
    double missing = 0.0;
    double shared = 0.0;
    double total = 0.0;
    for (const PromptPart &part : query.parts)
        total += part.tokens;
    for (std::size_t i = 0; i < sharedParts(query); ++i)
        shared += query.parts[i].tokens;
    for (const UpstreamView *candidate : this->weighed(homes, candidates, random)) {
        const UpstreamView &view = *candidate;
        const double tokens = this->missingTokens(query, view.id);
        const double credit = this->homeCredit(view, homes, isLarge);
        const double weighed = tokens - credit * std::min(tokens, shared);
        const double away =
            isLarge && credit == 0.0 ? (this->settings.awayFactor - 1.0) * std::min(tokens, shared) : 0.0;
        // A computed token is compared with all before it, cached or not.
        const double pairs = weighed * (total - weighed / 2) / 1e6;
        const double cost = (view.pendingTokens + weighed + away) / this->settings.tokensPerMs
            + pairs * this->settings.pairsMs + view.load() * this->settings.requestMs
            + static_cast<double>(view.excessDelay.count()) + view.failureShare * this->settings.failureMs
            + (view.zone == query.zone ? 0.0 : this->settings.crossZoneMs) + tie(random);
        if (cost >= least)
            continue;
        least = cost;
        // What a home is trusted to hold is not computed; in a small fleet the credit only settles where a part goes.
        missing = isLarge ? weighed : tokens;
        best = &view;
    }
    RouteDecision decision;
    decision.upstream = best->id;
    decision.tokensToCompute = missing;
    decision.reason = "least expected delay of the first token: " + std::to_string(static_cast<long>(least)) + " ms, "
        + std::to_string(static_cast<long>(missing)) + " prompt tokens to compute"
        + (best == home ? ", home of the shared part" : "");
    return decision;
}

std::vector<const UpstreamView *> PartAffinityPolicy::weighed(const std::vector<const UpstreamView *> &homes,
                                                              const CandidateSet &candidates,
                                                              RandomEngine &random) const
{
    std::vector<const UpstreamView *> weighed;
    if (candidates.size() <= this->settings.weighedUpstreams) {
        for (std::size_t i = 0; i < candidates.size(); ++i)
            weighed.push_back(&candidates.at(i));
        return weighed;
    }
    weighed = homes;
    for (std::size_t i = 0; i < this->settings.sampledUpstreams; ++i)
        weighed.push_back(&candidates.randomChoice(random));
    return weighed;
}

double PartAffinityPolicy::homeCredit(const UpstreamView &view,
                                      const std::vector<const UpstreamView *> &homes,
                                      bool isLarge) const
{
    const auto found = std::find(homes.begin(), homes.end(), &view);
    if (found == homes.end())
        return 0.0;
    // In a large fleet peers do not tell which parts they sent where, so that the home stands for the cache.
    const double credit = isLarge ? this->settings.largeFleetHomeCredit : this->settings.homeCredit;
    if (found == homes.begin())
        return credit;
    return isLarge ? credit / 2 : 0.0;
}

double PartAffinityPolicy::missingTokens(const RouteQuery &query, const std::string &upstream) const
{
    const auto held = this->heldByUpstream.find(upstream);
    double missing = 0.0;
    bool isPrefixHeld = held != this->heldByUpstream.end();
    for (const PromptPart &part : query.parts) {
        isPrefixHeld = isPrefixHeld && held->second.places.contains(part.id);
        if (!isPrefixHeld)
            missing += part.tokens;
    }
    return missing;
}

void PartAffinityPolicy::removeUpstream(const std::string &upstream)
{
    this->heldByUpstream.erase(upstream);
}

void PartAffinityPolicy::notePartsCached(const std::string &upstream, const std::vector<PromptPart> &parts)
{
    Held &held = this->heldByUpstream[upstream];
    // The first part is noted last, so that a prefix outlives what follows it.
    const std::vector<PromptPart> lastFirst(parts.rbegin(), parts.rend());
    for (const PromptPart &part : lastFirst) {
        if (const auto known = held.places.find(part.id); known != held.places.end()) {
            held.tokens -= known->second->tokens;
            held.order.erase(known->second);
        }
        held.order.push_front(part);
        held.places[part.id] = held.order.begin();
        held.tokens += part.tokens;
    }
    while (held.tokens > this->settings.rememberedTokens && held.order.size() > 1) {
        held.tokens -= held.order.back().tokens;
        held.places.erase(held.order.back().id);
        held.order.pop_back();
    }
}

} // namespace hemlock
