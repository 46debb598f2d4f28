#pragma once

#include "candidateset.h"
#include "upstream.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hemlock {

/// A part of a prompt that several requests can share.
struct PromptPart
{
    std::uint64_t id = 0;
    double tokens = 0.0;
};

/// The properties of a request that determine its routing.
struct RouteQuery
{
    std::string requestId;
    std::string service;
    std::string prompt; ///< Empty for a transactional service.
    AvailabilityZone zone; ///< Zone of this process.
    int priority = 5;
    std::vector<PromptPart> parts; ///< Parts of the prompt when the caller names them; the last one is not shared.
    int entryVms = 1; ///< Number of entry VMs that route to the same upstreams, including this one.
};

/// The chosen upstream and the details for the log.
struct RouteDecision
{
    std::string upstream; ///< Identifier; empty when there is no candidate.
    std::string reason;
    double tokensToCompute = 0.0; ///< Prompt tokens to compute, when the policy estimates it; 0 otherwise.
    std::vector<std::string> alternatives; ///< Identifiers of other upstreams that were considered.
};

/// Interface of a routing policy: chooses an upstream and is notified of changes to the upstreams and their caches.
class RoutePolicy
{
public:
    virtual ~RoutePolicy() = default;

    /// Chooses one of the candidates, of which there is at least one.
    virtual RouteDecision choose(const RouteQuery &query, const CandidateSet &candidates, RandomEngine &random) = 0;
    /// Called when an upstream left or lost its cache.
    virtual void removeUpstream(const std::string &upstream);
    /// Called on a cache event: the upstream now holds these blocks of a prompt, as computed by prefixBlocks().
    virtual void noteCached(const std::string &upstream, const std::vector<std::uint64_t> &blocks);
    /// Called when an upstream now holds these parts of prompts.
    virtual void notePartsCached(const std::string &upstream, const std::vector<PromptPart> &parts);

    /// Called on a cache event: the upstream has evicted one block.
    virtual void noteEvicted(const std::string &upstream, std::uint64_t block);
};

/// Chooses upstreams by a policy that is registered under a name.
class Router
{
public:
    /// Throws std::invalid_argument when no policy has this name.
    explicit Router(const std::string &policyName);

    /// Builds a CandidateSet from the candidates first; for small numbers of upstreams.
    RouteDecision
    choose(const RouteQuery &query, const std::vector<UpstreamView> &candidates, RandomEngine &random) const;

    /// For any number of upstreams: the policy "prefix-affinity" does not iterate over all of them.
    RouteDecision choose(const RouteQuery &query, const CandidateSet &candidates, RandomEngine &random) const;

    /// Notifies the policy that an upstream left or lost its cache.
    void removeUpstream(const std::string &upstream) const;
    /// Notify the policy of a cache event, which may be late.
    void noteCached(const std::string &upstream, const std::vector<std::uint64_t> &blocks) const;
    void notePartsCached(const std::string &upstream, const std::vector<PromptPart> &parts) const;
    void noteEvicted(const std::string &upstream, std::uint64_t block) const;

    /// Registers a policy under a name; the factory is called once for each router.
    static void registerPolicy(const std::string &name, std::function<std::unique_ptr<RoutePolicy>()> factory);

    /// Names of all policies: at least "random", "round-robin", "least-in-flight" and "prefix-affinity".
    static std::vector<std::string> policyNames();

private:
    std::shared_ptr<RoutePolicy> policy;
};

} // namespace hemlock
