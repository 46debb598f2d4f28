#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hemlock {

/// Whether a call may be retried after it may have run, and whether its answer is a stream.
enum class CallKind {
    Idempotent,
    NonIdempotent,
    Stream,
};

/// A service that receives a weighted share of a route's calls.
struct RouteTarget
{
    std::string service;
    double weight = 1.0;
};

/// Settings of all calls to one host whose path begins with a prefix.
struct RelayRoute
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    CallKind kind = CallKind::NonIdempotent;
    std::chrono::milliseconds timeout{0}; ///< Maximum time until the complete answer; 0 uses the relay's default.
    std::chrono::milliseconds latencyTarget{0}; ///< Until the complete answer, or until the first event of a stream.
    int maxAttempts = 1; ///< Maximum number of attempts for one call.
    int priority = 0; ///< 0 is the most urgent.
    bool isPublic = false; ///< Needs no API key.
    bool isResumable = false; ///< A broken stream may be resumed at another upstream after its last event.
    std::vector<RouteTarget> targets;
};

/// Limits and prices for automatic scaling of one service.
struct ScalingLimits
{
    int min = 0; ///< For each availability zone.
    int max = 0; ///< For each availability zone, regular and reclaimable upstreams together.
    std::chrono::milliseconds bootTime{0}; ///< From the order of an upstream until it serves.
    std::optional<double> reclaimablePrice; ///< Price of a reclaimable upstream as a fraction of the regular price.
    std::map<std::string, double> zonePrices; ///< Price of one upstream per second, by availability zone.
};

/// A service that routes forward calls to.
struct RelayService
{
    std::string name;
    bool isModel = false; ///< Its upstreams run a language model.
    std::optional<ScalingLimits> scaling;
};

/// A client account with its API keys and rate limit.
struct RelayAccount
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Overrides the priority of the route.
    double rate = 0.0; ///< Units per second across all entry VMs; 0 for no limit.
    double burst = 0.0;
    bool countsTokens = false; ///< The unit is a token instead of a request.
    double defaultTokens = 1.0; ///< Units charged for a call that does not state its tokens.
};

/// One version of the operators' configuration for relayed calls.
struct RelayConfig
{
    std::int64_t version = 0;
    std::vector<RelayRoute> routes;
    std::vector<RelayService> services;
    std::vector<RelayAccount> accounts;
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    std::size_t maxHeadBytes = 0; ///< For the head of a caller's request; 0 if there is no limit.
    std::chrono::milliseconds headTimeout{0}; ///< Maximum time in which the head arrives; 0 for no limit.
};

/// Indexes one version of the configuration for lookups by host, API key and service name.
class RouteTable
{
public:
    explicit RouteTable(RelayConfig config);

    /// Returns the host's route with the longest matching path prefix; null if no route matches.
    const RelayRoute *find(std::string_view host, std::string_view path) const;

    /// Returns the account that owns an API key; null for an unknown key.
    const RelayAccount *accountOfKey(const std::string &key) const;

    const RelayService *service(const std::string &name) const;

    const RelayConfig &config() const;

private:
    RelayConfig configuration;
    std::unordered_map<std::string, std::vector<std::size_t>> routesByHost; ///< Longest prefix first.
    std::unordered_map<std::string, std::size_t> accountsByKey;
    std::unordered_map<std::string, std::size_t> servicesByName;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/// Chooses one of the route's services by weight. The same call identifier always gives the same service; empty if no
/// target has a positive weight.
std::string targetService(const RelayRoute &route, std::string_view callId);

} // namespace hemlock
