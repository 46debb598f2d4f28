#include "router.h"

#include <algorithm>
#include <stdexcept>

namespace hemlock {

namespace {

RouteDecision decide(const std::vector<UpstreamView> &candidates, std::size_t chosen, std::string reason)
{
    // A log line with every upstream of a large service would cost more than the decision.
    constexpr std::size_t listedAlternatives = 4;
    RouteDecision decision;
    decision.upstream = candidates[chosen].id;
    decision.reason = std::move(reason);
    for (std::size_t i = 0; i < candidates.size() && decision.alternatives.size() < listedAlternatives; ++i) {
        if (i != chosen)
            decision.alternatives.push_back(candidates[i].id);
    }
    return decision;
}

RoutePolicy makeRandomPolicy()
{
    return [](const RouteQuery &, const std::vector<UpstreamView> &candidates, RandomEngine &random) {
        std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
        return decide(candidates, index(random), "random choice");
    };
}

RoutePolicy makeRoundRobinPolicy()
{
    return [next = std::size_t{0}](
               const RouteQuery &, const std::vector<UpstreamView> &candidates, RandomEngine &) mutable {
        return decide(candidates, next++ % candidates.size(), "next in turn");
    };
}

RoutePolicy makeLeastInFlightPolicy()
{
    return [](const RouteQuery &, const std::vector<UpstreamView> &candidates, RandomEngine &) {
        const auto least =
            std::min_element(candidates.begin(), candidates.end(), [](const UpstreamView &a, const UpstreamView &b) {
                return a.inFlight < b.inFlight;
            });
        return decide(candidates,
                      static_cast<std::size_t>(least - candidates.begin()),
                      "least in flight: " + std::to_string(least->inFlight));
    };
}

using PolicyRegistry = std::map<std::string, std::function<RoutePolicy()>>;

PolicyRegistry &policyRegistry()
{
    static PolicyRegistry registry = {{"random", makeRandomPolicy},
                                      {"round-robin", makeRoundRobinPolicy},
                                      {"least-in-flight", makeLeastInFlightPolicy}};
    return registry;
}

} // namespace

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
    return this->policy(query, candidates, random);
}

void Router::registerPolicy(const std::string &name, std::function<RoutePolicy()> factory)
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
