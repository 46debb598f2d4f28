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

/// What may be repeated of a call, and how its answer arrives.
enum class CallKind {
    Idempotent,
    NonIdempotent,
    Stream,
};

/// A service that a route sends a part of its calls to.
struct RouteTarget
{
    std::string service;
    double weight = 1.0;
};

/// Calls of one host below one path.
struct RelayRoute
{
    std::string name;
    std::string host; ///< Lower case, without a port.
    std::string pathPrefix; ///< Begins and ends with a slash.
    CallKind kind = CallKind::NonIdempotent;
    std::chrono::milliseconds timeout{0}; ///< Longest time a caller is kept waiting; 0 for no limit.
    std::chrono::milliseconds latencyTarget{0}; ///< To the whole answer, or to the first event of a stream.
    int maxAttempts = 1; ///< Upstreams that one call may be sent to.
    int priority = 0; ///< 0 is the most urgent.
    bool isPublic = false; ///< Needs no API key.
    bool isResumable = false; ///< A stream may go on at another upstream after its last event.
    std::vector<RouteTarget> targets;
};

/// Bounds of the orders for upstreams of one service.
struct ScalingLimits
{
    int min = 0; ///< For each availability zone.
    int max = 0; ///< For each availability zone, both kinds of upstreams together.
    std::chrono::milliseconds bootTime{0};
    std::optional<double> reclaimablePrice; ///< Part of the price that a reclaimable upstream costs.
    std::map<std::string, double> zonePrices; ///< Per second of an upstream.
};

struct RelayService
{
    std::string name;
    bool isModel = false;
    std::optional<ScalingLimits> scaling;
};

/// A client account with its API keys and rate limit.
struct RelayAccount
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Goes before the priority of the route.
    double rate = 0.0; ///< Units a second over all entry VMs; 0 for no limit.
    double burst = 0.0;
    bool countsTokens = false; ///< The unit is a token instead of a request.
    double defaultTokens = 1.0; ///< Units of a call that names no tokens.
};

/// One version of the operators' configuration for relayed calls.
struct RelayConfig
{
    std::int64_t version = 0;
    std::vector<RelayRoute> routes;
    std::vector<RelayService> services;
    std::vector<RelayAccount> accounts;
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
};

/// Look-ups in one version of the configuration.
class RouteTable
{
public:
    explicit RouteTable(RelayConfig config);

    /// Route of the host with the longest prefix of the path; null when there is none.
    const RelayRoute *find(std::string_view host, std::string_view path) const;

    /// Null for an unknown key.
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

/// Service of the route that a call goes to: by weight, the same for the same call identifier.
std::string targetService(const RelayRoute &route, std::string_view callId);

} // namespace hemlock
