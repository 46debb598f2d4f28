#include "upstream.h"

#include <nlohmann/json.hpp>

#include <array>
#include <stdexcept>

namespace hemlock {

namespace {

constexpr std::array states = {UpstreamState::Joining,
                               UpstreamState::Serving,
                               UpstreamState::Suspected,
                               UpstreamState::Leaving,
                               UpstreamState::Gone};

} // namespace

std::string_view upstreamStateName(UpstreamState state)
{
    switch (state) {
    case UpstreamState::Joining:
        return "joining";
    case UpstreamState::Serving:
        return "serving";
    case UpstreamState::Suspected:
        return "suspected";
    case UpstreamState::Leaving:
        return "leaving";
    case UpstreamState::Gone:
        return "gone";
    }
    return "gone";
}

UpstreamState parseUpstreamState(std::string_view name)
{
    for (const UpstreamState state : states) {
        if (upstreamStateName(state) == name)
            return state;
    }
    throw std::invalid_argument("unknown upstream state \"" + std::string(name) + "\"");
}

void to_json(nlohmann::json &json, const Upstream &upstream)
{
    json = {{"id", upstream.id},
            {"service", upstream.service},
            {"address", upstream.address},
            {"zone", upstream.zone.name},
            {"state", upstreamStateName(upstream.state)}};
}

void from_json(const nlohmann::json &json, Upstream &upstream)
{
    upstream = {};
    json.at("id").get_to(upstream.id);
    json.at("service").get_to(upstream.service);
    json.at("address").get_to(upstream.address);
    json.at("zone").get_to(upstream.zone.name);
    upstream.state = parseUpstreamState(json.value("state", "joining"));
}

} // namespace hemlock
