#pragma once

#include "prefixindex.h"
#include "router.h"

namespace hemlock {

/// What the policy "prefix-affinity" weighs; everything is expressed in recomputed tokens.
struct PrefixAffinitySettings
{
    double bytesPerToken = 4.0;
    /// Recomputed tokens that one more request in progress is worth at the mean priority.
    double tokensPerRequest = 60.0;
    double crossZoneTokens = 40.0; ///< Price of the link to another zone.
    /// No upstream gets more than this multiple of the mean load, plus boundSlack requests.
    double loadBound = 1.5;
    double boundSlack = 5.0;
    /// Part of the requests that this process has sent since the last report that each other entry VM is assumed to
    /// have sent as well: a popular beginning comes in everywhere at once.
    double assumedAlike = 1.0;
    /// Chance that the upstream at a prompt's place on the ring holds its beginning although the index does not say so.
    double homeCredit = 0.6;
    std::size_t homeBlocks = 4; ///< Blocks of the prompt that decide its place on the hash ring.
    std::size_t maxBlocks = 100'000; ///< Size of the prefix index.
};

/// Prefix affinity with bounded load.
///
/// Weighs a handful of upstreams, whatever their number: two random ones of the holders of the prompt's beginning,
/// those at its place on the hash ring (so that entry VMs agree on a place without telling each other), two random ones
/// of the own zone and two of all. The one with the lowest sum of recomputed tokens, load and link price wins. Urgent
/// requests give load more weight.
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
