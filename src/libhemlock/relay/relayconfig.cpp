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
    : content(std::move(config))
{
    for (std::size_t i = 0; i < this->content.routes.size(); ++i)
        this->routesByHost[normalizedHost(this->content.routes[i].host)].push_back(i);
    for (auto &[host, routes] : this->routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [this](std::size_t a, std::size_t b) {
            return this->content.routes[a].pathPrefix.size() > this->content.routes[b].pathPrefix.size();
        });
    }
    for (std::size_t i = 0; i < this->content.accounts.size(); ++i) {
        for (const std::string &key : this->content.accounts[i].keys)
            this->accountsByKey[key] = i;
    }
    for (std::size_t i = 0; i < this->content.services.size(); ++i)
        this->servicesByName[this->content.services[i].name] = i;
}

const RelayRoute *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = this->routesByHost.find(normalizedHost(host));
    if (routes == this->routesByHost.end())
        return nullptr;
    for (const std::size_t index : routes->second) {
        if (path.starts_with(this->content.routes[index].pathPrefix))
            return &this->content.routes[index];
    }
    return nullptr;
}

const RelayAccount *RouteTable::accountOfKey(const std::string &key) const
{
    const auto found = this->accountsByKey.find(key);
    return found == this->accountsByKey.end() ? nullptr : &this->content.accounts[found->second];
}

const RelayService *RouteTable::service(const std::string &name) const
{
    const auto found = this->servicesByName.find(name);
    return found == this->servicesByName.end() ? nullptr : &this->content.services[found->second];
}

const RelayConfig &RouteTable::config() const
{
    return this->content;
}

std::string targetService(const RelayRoute &route, std::string_view callId)
{
    double total = 0.0;
    for (const RouteTarget &target : route.targets)
        total += std::max(0.0, target.weight);
    if (total <= 0.0)
        return {};
    constexpr std::size_t steps = 1'000'000;
    double place = total * static_cast<double>(std::hash<std::string_view>()(callId) % steps) / steps;
    for (const RouteTarget &target : route.targets) {
        place -= std::max(0.0, target.weight);
        if (place < 0.0)
            return target.service;
    }
    return route.targets.back().service;
}

} // namespace hemlock
