#pragma once

#include "candidateset.h"
#include "upstream.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hemlock {

/// A part of a prompt that requests share.
struct PromptPart
{
    std::uint64_t id = 0;
    double tokens = 0.0;
};

/// One request as the router sees it.
struct RouteQuery
{
    std::string requestId;
    std::string service;
    std::string prompt; ///< Empty for a transactional service.
    AvailabilityZone zone; ///< Zone of this process.
    int priority = 5;
    std::vector<PromptPart> parts; ///< Of the prompt, when the caller names them; the last one is its own.
    int entryVms = 1; ///< Entry processes that choose among the same upstreams, this one included.
};

/// The choice of an upstream, with what the log line shows.
struct RouteDecision
{
    std::string upstream; ///< Empty when there is none to choose from.
    std::string reason;
    double tokensToCompute = 0.0; ///< Of the prompt, when the policy can tell.
    std::vector<std::string> alternatives; ///< Identifiers of the other upstreams that were weighed.
};

/// Chooses one of several upstreams and learns from what happens to them.
class RoutePolicy
{
public:
    virtual ~RoutePolicy() = default;

    /// The candidates are never empty.
    virtual RouteDecision choose(const RouteQuery &query, const CandidateSet &candidates, RandomEngine &random) = 0;
    /// An upstream left or lost its cache.
    virtual void removeUpstream(const std::string &upstream);
    /// A cache event: the upstream now holds these blocks (as by prefixBlocks) of a prompt, or dropped one block.
    virtual void noteCached(const std::string &upstream, const std::vector<std::uint64_t> &blocks);
    /// An upstream now holds these parts of prompts.
    virtual void notePartsCached(const std::string &upstream, const std::vector<PromptPart> &parts);
    virtual void noteEvicted(const std::string &upstream, std::uint64_t block);
};

/// Chooses upstreams by a policy that is registered under a name.
class Router
{
public:
    /// Throws std::invalid_argument when no policy has this name.
    explicit Router(const std::string &policyName);

    /// For few upstreams: costs a pass over all of them.
    RouteDecision
    choose(const RouteQuery &query, const std::vector<UpstreamView> &candidates, RandomEngine &random) const;

    /// For any number of upstreams: the policy "prefix-affinity" makes no pass over them.
    RouteDecision choose(const RouteQuery &query, const CandidateSet &candidates, RandomEngine &random) const;

    /// Tells the policy that an upstream left or lost its cache.
    void removeUpstream(const std::string &upstream) const;
    /// Tells the policy of a cache event, which may be late.
    void noteCached(const std::string &upstream, const std::vector<std::uint64_t> &blocks) const;
    void notePartsCached(const std::string &upstream, const std::vector<PromptPart> &parts) const;
    void noteEvicted(const std::string &upstream, std::uint64_t block) const;

    /// Makes a policy available under a name; the factory runs once for each router.
    static void registerPolicy(const std::string &name, std::function<std::unique_ptr<RoutePolicy>()> factory);

    /// Names of all policies: at least "random", "round-robin", "least-in-flight" and "prefix-affinity".
    static std::vector<std::string> policyNames();

private:
    std::shared_ptr<RoutePolicy> policy;
};

} // namespace hemlock
