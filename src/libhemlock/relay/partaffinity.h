#pragma once

#include "router.h"

#include <list>
#include <unordered_map>

namespace hemlock {

/// What the policy "part-affinity" weighs. Times are the expected delay of the first token.
struct PartAffinitySettings
{
    double tokensPerMs = 50.0; ///< Prompt tokens that an upstream computes in a millisecond.
    /// Milliseconds for each million pairs of a computed token and one before it.
    double msPerMillionPairs = 0.4;
    double msPerRequest = 2.0; ///< Delay by each request in progress.
    double crossZonePenaltyMs = 15.0; ///< Round trips and the price of bytes to another availability zone.
    double failurePenaltyMs = 3000.0; ///< Delay that a certain failure is worth.
    /// Part of a shared part's cost that its home is let off, so that entry VMs agree on a place for a new one.
    double smallFleetHomeCredit = 0.3;
    double largeFleetHomeCredit = 0.9; ///< The same where the home is likely to hold the part.
    /// In a large fleet, what a shared part counts away from its homes: computing it there again takes the time of
    /// other requests as well and pushes their parts out of the cache.
    double awayCostFactor = 2.0;
    /// Among more upstreams than this, only the homes of the shared part and some random ones are weighed: entry VMs
    /// that read the same old loads would all choose the one upstream that looks idle.
    std::size_t maxFullScanUpstreams = 24;
    std::size_t sampledUpstreams = 8;
    /// Shared tokens that an upstream is taken to hold; its memory less what running requests need.
    double cacheCapacityTokens = 400000.0;
};

/// Prefix affinity for prompts whose shared parts the caller names.
///
/// Each shared part has a home upstream by rendezvous hashing, so that entry VMs agree on a place without messages.
/// The upstream with the least expected delay of the first token wins: prompt tokens that wait there, those of this
/// prompt that it does not hold, its load, its recent failures and the link to its availability zone.
class PartAffinityPolicy : public RoutePolicy
{
public:
    explicit PartAffinityPolicy(PartAffinitySettings settings = {});

    RouteDecision choose(const RouteQuery &query, const CandidateSet &candidates, RandomEngine &random) override;
    void removeUpstream(const std::string &upstream) override;
    void notePartsCached(const std::string &upstream, const std::vector<PromptPart> &parts) override;

private:
    struct CacheContents
    {
        std::list<PromptPart> recency; ///< Latest use first.
        std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> positions;
        double tokens = 0.0;
    };

    std::vector<const UpstreamView *> evaluatedCandidates(const std::vector<const UpstreamView *> &homes,
                                                          const CandidateSet &candidates,
                                                          RandomEngine &random) const;
    double homeCredit(const UpstreamView &view, const std::vector<const UpstreamView *> &homes, bool isLarge) const;
    double missingTokens(const RouteQuery &query, const std::string &upstream) const;

    PartAffinitySettings settings;
    std::unordered_map<std::string, CacheContents> cacheByUpstream;
};

} // namespace hemlock
