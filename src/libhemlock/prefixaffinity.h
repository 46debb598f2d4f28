#pragma once

#include "prefixindex.h"
#include "router.h"

namespace hemlock {

/// Weights of the policy "prefix-affinity". All costs are expressed in recomputed tokens.
struct PrefixAffinitySettings
{
    double bytesPerToken = 4.0;
    /// Cost of one more request in progress at the mean priority, in recomputed tokens.
    double tokensPerRequest = 60.0;
    double crossZoneTokens = 40.0; ///< Cost of sending a request to another zone.
    /// Load bound of an upstream: this multiple of the mean load, plus boundSlack requests. An upstream above the bound
    /// is chosen only when all candidates are.
    double loadBound = 1.5;
    double boundSlack = 5.0;
    /// Assumed requests of each other entry VM since the last load report, relative to those that this process has
    /// sent: a popular prefix arrives at all entry VMs at once.
    double assumedAlike = 1.0;
    /// Probability that the preferred upstream, the first one at the prompt's position on the hash ring, has the prefix
    /// cached although the index does not list it. Halved for each further one.
    double homeCredit = 0.6;
    std::size_t ringPositionBlocks = 4; ///< Leading blocks of the prompt that determine its position on the hash ring.
    std::size_t maxBlocks = 100'000; ///< Capacity of the prefix index.
};

/// Prefix-affinity routing with bounded load.
///
/// Compares a small shortlist, whatever the number of upstreams: two random holders of the prompt's prefix, its
/// preferred upstreams (those at its position on the hash ring, so that entry VMs agree without communication), two
/// random upstreams of the local zone and two of all. Chooses the one with the lowest sum of recomputed tokens, load
/// and cross-zone cost. Urgent requests give load more weight.
class PrefixAffinityPolicy : public RoutePolicy
{
public:
    explicit PrefixAffinityPolicy(PrefixAffinitySettings settings = {});

    RouteDecision choose(const RouteQuery &query, const CandidateSet &candidates, RandomEngine &random) override;
    void removeUpstream(const std::string &upstream) override;
    void noteCached(const std::string &upstream, const std::vector<std::uint64_t> &blocks) override;
    void noteEvicted(const std::string &upstream, std::uint64_t block) override;

private:
    PrefixAffinitySettings settings;
    PrefixIndex index;
};

} // namespace hemlock
