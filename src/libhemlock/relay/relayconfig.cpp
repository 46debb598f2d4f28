#include "relay/relayconfig.h"

#include <algorithm>
#include <cctype>
#include <functional>

namespace hemlock {

namespace {

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.rfind(':') == std::string_view::npos ? host.size() : host.rfind(':')));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    return name;
}

} // namespace

RouteTable::RouteTable(RelayConfig config)
    : configuration(std::move(config))
{
    for (std::size_t i = 0; i < this->configuration.routes.size(); ++i)
        this->routesByHost[normalizedHost(this->configuration.routes[i].host)].push_back(i);
    for (auto &[host, routes] : this->routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [this](std::size_t a, std::size_t b) {
            return this->configuration.routes[a].pathPrefix.size() > this->configuration.routes[b].pathPrefix.size();
        });
    }
    for (std::size_t i = 0; i < this->configuration.accounts.size(); ++i) {
        for (const std::string &key : this->configuration.accounts[i].keys)
            this->accountsByKey[key] = i;
    }
    for (std::size_t i = 0; i < this->configuration.services.size(); ++i)
        this->servicesByName[this->configuration.services[i].name] = i;
}

const RelayRoute *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = this->routesByHost.find(normalizedHost(host));
    if (routes == this->routesByHost.end())
        return nullptr;
    for (const std::size_t index : routes->second) {
        if (path.starts_with(this->configuration.routes[index].pathPrefix))
            return &this->configuration.routes[index];
    }
    return nullptr;
}

const RelayAccount *RouteTable::accountOfKey(const std::string &key) const
{
    const auto found = this->accountsByKey.find(key);
    return found == this->accountsByKey.end() ? nullptr : &this->configuration.accounts[found->second];
}

const RelayService *RouteTable::service(const std::string &name) const
{
    const auto found = this->servicesByName.find(name);
    return found == this->servicesByName.end() ? nullptr : &this->configuration.services[found->second];
}

const RelayConfig &RouteTable::config() const
{
    return this->configuration;
}

std::string targetService(const RelayRoute &route, std::string_view callId)
{
    double total = 0.0;
    for (const RouteTarget &target : route.targets)
        total += std::max(0.0, target.weight);
    if (total <= 0.0)
        return {};
    constexpr std::size_t hashBuckets = 1'000'000;
    double point = total * static_cast<double>(std::hash<std::string_view>()(callId) % hashBuckets) / hashBuckets;
    for (const RouteTarget &target : route.targets) {
        point -= std::max(0.0, target.weight);
        if (point < 0.0)
            return target.service;
    }
    return route.targets.back().service;
}

} // namespace hemlock
