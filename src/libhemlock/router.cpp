#include "router.h"

#include "prefixaffinity.h"
#include "relay/partaffinity.h"

#include <map>
#include <stdexcept>

namespace hemlock {

namespace {

RouteDecision makeDecision(const CandidateSet &candidates, std::size_t chosen, std::string reason)
{
    // Logging every upstream of a large service would cost more than the decision itself.
    constexpr std::size_t maxListedAlternatives = 4;
    RouteDecision decision;
    decision.upstream = candidates.at(chosen).id;
    decision.reason = std::move(reason);
    for (std::size_t i = 0; i < candidates.size() && decision.alternatives.size() < maxListedAlternatives; ++i) {
        if (i != chosen)
            decision.alternatives.push_back(candidates.at(i).id);
    }
    return decision;
}

class RandomPolicy : public RoutePolicy
{
public:
    RouteDecision choose(const RouteQuery &, const CandidateSet &candidates, RandomEngine &random) override
    {
        std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
        return makeDecision(candidates, index(random), "random choice");
    }
};

class RoundRobinPolicy : public RoutePolicy
{
public:
    RouteDecision choose(const RouteQuery &, const CandidateSet &candidates, RandomEngine &) override
    {
        return makeDecision(candidates, this->next++ % candidates.size(), "next in turn");
    }

private:
    std::size_t next = 0;
};

class LeastInFlightPolicy : public RoutePolicy
{
public:
    RouteDecision choose(const RouteQuery &, const CandidateSet &candidates, RandomEngine &random) override
    {
        // Starts at a random index, so that entry VMs with equal counts do not all choose the first upstream.
        std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
        const std::size_t first = index(random);
        std::size_t least = first;
        for (std::size_t step = 1; step < candidates.size(); ++step) {
            const std::size_t i = (first + step) % candidates.size();
            if (candidates.at(i).inFlight < candidates.at(least).inFlight)
                least = i;
        }
        return makeDecision(candidates, least, "least in flight: " + std::to_string(candidates.at(least).inFlight));
    }
};

template <class Policy>
std::unique_ptr<RoutePolicy> makePolicy()
{
    return std::make_unique<Policy>();
}

using PolicyRegistry = std::map<std::string, std::function<std::unique_ptr<RoutePolicy>()>>;

PolicyRegistry &policyRegistry()
{
    static PolicyRegistry registry = {{"random", makePolicy<RandomPolicy>},
                                      {"round-robin", makePolicy<RoundRobinPolicy>},
                                      {"least-in-flight", makePolicy<LeastInFlightPolicy>},
                                      {"prefix-affinity", makePolicy<PrefixAffinityPolicy>},
                                      {"part-affinity", makePolicy<PartAffinityPolicy>}};
    return registry;
}

} // namespace

void RoutePolicy::removeUpstream(const std::string &)
{
}

void RoutePolicy::noteCached(const std::string &, const std::vector<std::uint64_t> &)
{
}

void RoutePolicy::notePartsCached(const std::string &, const std::vector<PromptPart> &)
{
}

void RoutePolicy::noteEvicted(const std::string &, std::uint64_t)
{
}

Router::Router(const std::string &policyName)
{
    const auto found = policyRegistry().find(policyName);
    if (found == policyRegistry().end())
        throw std::invalid_argument("unknown routing policy \"" + policyName + "\"");
    this->policy = found->second();
}

RouteDecision
Router::choose(const RouteQuery &query, const std::vector<UpstreamView> &candidates, RandomEngine &random) const
{
    if (candidates.empty())
        return {{}, "no upstream of the service takes requests", {}};
    return this->policy->choose(query, CandidateSet(candidates), random);
}

RouteDecision Router::choose(const RouteQuery &query, const CandidateSet &candidates, RandomEngine &random) const
{
    if (candidates.size() == 0)
        return {{}, "no upstream of the service takes requests", {}};
    return this->policy->choose(query, candidates, random);
}

void Router::removeUpstream(const std::string &upstream) const
{
    this->policy->removeUpstream(upstream);
}

void Router::noteCached(const std::string &upstream, const std::vector<std::uint64_t> &blocks) const
{
    this->policy->noteCached(upstream, blocks);
}

void Router::notePartsCached(const std::string &upstream, const std::vector<PromptPart> &parts) const
{
    this->policy->notePartsCached(upstream, parts);
}

void Router::noteEvicted(const std::string &upstream, std::uint64_t block) const
{
    this->policy->noteEvicted(upstream, block);
}

void Router::registerPolicy(const std::string &name, std::function<std::unique_ptr<RoutePolicy>()> factory)
{
    policyRegistry()[name] = std::move(factory);
}

std::vector<std::string> Router::policyNames()
{
    std::vector<std::string> names;
    for (const auto &[name, factory] : policyRegistry())
        names.push_back(name);
    return names;
}

} // namespace hemlock
