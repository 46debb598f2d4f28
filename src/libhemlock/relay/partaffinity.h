#pragma once

#include "router.h"

#include <list>
#include <unordered_map>

namespace hemlock {

/// Cost model of the policy "part-affinity". All costs are milliseconds of expected delay of the first token.
struct PartAffinitySettings
{
    double tokensPerMs = 50.0; ///< Prompt tokens that an upstream computes per millisecond.
    /// Attention cost: time for one million pairs of a computed token and an earlier token.
    double msPerMillionPairs = 0.4;
    double msPerRequest = 2.0; ///< Delay caused by each request in progress.
    double crossZonePenaltyMs = 15.0; ///< Round trips and traffic price to another availability zone.
    double failurePenaltyMs = 3000.0; ///< Cost of an upstream that fails every request.
    /// Fraction of a shared part's tokens that is not charged to its first preferred upstream, so that entry VMs agree
    /// on an upstream for a new part.
    double smallFleetPreferenceCredit = 0.3;
    /// The same for large fleets, where preferred upstreams are likely to cache the part.
    double largeFleetPreferenceCredit = 0.9;
    /// In a large fleet, cost multiplier for uncached shared tokens at an upstream that is not preferred: computing
    /// them there also delays other requests and evicts their parts from the cache.
    double nonPreferredCostFactor = 2.0;
    /// With more upstreams than this, only the preferred ones of the shared part and a random sample are evaluated.
    /// Otherwise all entry VMs, which see the same outdated loads, would choose the one upstream that looks idle.
    std::size_t maxFullScanUpstreams = 24;
    std::size_t sampledUpstreams = 8; ///< Size of the random sample.
    /// Prompt tokens that an upstream's cache is assumed to hold: its memory minus what running requests need.
    double cacheCapacityTokens = 400000.0;
};

/// Prefix affinity for prompts whose callers state the parts that prompts share.
///
/// Rendezvous hashing assigns each shared part its preferred upstreams, so that entry VMs choose the same ones without
/// exchanging messages. The policy chooses the upstream with the least expected delay of the first token, computed from
/// its pending prompt tokens, the tokens of this prompt that its cache lacks, its load, its recent failures and the
/// distance to its availability zone.
class PartAffinityPolicy : public RoutePolicy
{
public:
    explicit PartAffinityPolicy(PartAffinitySettings settings = {});

    RouteDecision choose(const RouteQuery &query, const CandidateSet &candidates, RandomEngine &random) override;
    void removeUpstream(const std::string &upstream) override;
    void notePartsCached(const std::string &upstream, const std::vector<PromptPart> &parts) override;

private:
    /// Prompt parts that an upstream is assumed to cache.
    struct CacheContents
    {
        std::list<PromptPart> recency; ///< Most recently used first.
        std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> positions;
        double tokens = 0.0;
    };

    std::vector<const UpstreamView *> evaluatedCandidates(const std::vector<const UpstreamView *> &preferred,
                                                          const CandidateSet &candidates,
                                                          RandomEngine &random) const;
    double preferenceCredit(const UpstreamView &view,
                            const std::vector<const UpstreamView *> &preferred,
                            bool isLargeFleet) const;
    double missingTokens(const RouteQuery &query, const std::string &upstream) const;

    PartAffinitySettings settings;
    std::unordered_map<std::string, CacheContents> cacheByUpstream;
};

} // namespace hemlock
