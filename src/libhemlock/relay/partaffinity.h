#pragma once

#include "router.h"

#include <list>
#include <unordered_map>

namespace hemlock {

/// What the policy "part-affinity" weighs. Times are the expected delay of the first token.
struct PartAffinitySettings
{
    double tokensPerMs = 50.0; ///< Prompt tokens that an upstream computes in a millisecond.
    double requestMs = 2.0; ///< Delay by each request in progress.
    double crossZoneMs = 15.0; ///< Round trips and the price of bytes to another availability zone.
    double failureMs = 3000.0; ///< Delay that a certain failure is worth.
    double homeCredit = 0.8; ///< Chance that the home upstream of a part holds it without our having seen so.
    std::size_t rememberedParts = 4096; ///< Of each upstream.
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
    void noteCached(const std::string &upstream, const std::vector<std::uint64_t> &parts) override;

private:
    struct Held
    {
        std::list<std::uint64_t> order; ///< Latest use first.
        std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> places;
    };

    double missingTokens(const RouteQuery &query, const std::string &upstream, bool isHome) const;

    PartAffinitySettings settings;
    std::unordered_map<std::string, Held> heldByUpstream;
};

} // namespace hemlock
