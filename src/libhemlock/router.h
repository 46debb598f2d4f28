#pragma once

#include "upstream.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace hemlock {

/// What the router knows of one upstream that may take a request.
struct UpstreamView
{
    std::string id;
    AvailabilityZone zone;
    int inFlight = 0; ///< Requests of this process that the upstream works on.
    double reportedLoad = 0.0; ///< Requests in progress by the upstream's own, lagging report.
    std::chrono::milliseconds reportAge{0};
};

/// One request as the router sees it.
struct RouteQuery
{
    std::string requestId;
    std::string service;
    std::string prompt; ///< Empty for a transactional service.
    AvailabilityZone zone; ///< Zone of this process.
    int priority = 5;
};

/// The choice of an upstream, with what the log line shows.
struct RouteDecision
{
    std::string upstream; ///< Empty when there is none to choose from.
    std::string reason;
    std::vector<std::string> alternatives; ///< Identifiers of the other upstreams that were weighed.
};

using RandomEngine = std::mt19937_64;

/// Chooses one of several upstreams; the candidates are never empty.
using RoutePolicy = std::function<RouteDecision(
    const RouteQuery &query, const std::vector<UpstreamView> &candidates, RandomEngine &random)>;

/// Chooses upstreams by a policy that is registered under a name.
class Router
{
public:
    /// Throws std::invalid_argument when no policy has this name.
    explicit Router(const std::string &policyName);

    RouteDecision
    choose(const RouteQuery &query, const std::vector<UpstreamView> &candidates, RandomEngine &random) const;

    /// Makes a policy available under a name; the factory runs once for each router.
    static void registerPolicy(const std::string &name, std::function<RoutePolicy()> factory);

    /// Names of all policies: at least "random", "round-robin" and "least-in-flight".
    static std::vector<std::string> policyNames();

private:
    RoutePolicy policy;
};

} // namespace hemlock
