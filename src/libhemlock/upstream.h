#pragma once

#include <nlohmann/json_fwd.hpp>

#include <compare>
#include <string>
#include <string_view>

namespace hemlock {

struct AvailabilityZone
{
    std::string name;

    auto operator<=>(const AvailabilityZone &) const = default;
};

/// States of the life cycle in charts/upstream.json.
enum class UpstreamState {
    Joining,
    Serving,
    Suspected,
    Leaving,
    Gone,
};

/// Returns "joining", "serving", "suspected", "leaving" or "gone".
std::string_view upstreamStateName(UpstreamState state);

/// Throws std::invalid_argument for an unknown name.
UpstreamState parseUpstreamState(std::string_view name);

/// An instance of a back-end service on one VM.
struct Upstream
{
    std::string id; ///< Identifier of the VM.
    std::string service;
    std::string address; ///< "IP:PORT".
    AvailabilityZone zone;
    UpstreamState state = UpstreamState::Joining;
    int slots = 0; ///< Requests that it runs at once; 0 when unknown.
    std::string incarnation; ///< Changes when it restarts under the same identifier; empty when unknown.
    bool isReclaimable = false; ///< Whether the platform may reclaim its VM.
};

/// JSON fields: id, service, address, zone, state.
void to_json(nlohmann::json &json, const Upstream &upstream);
void from_json(const nlohmann::json &json, Upstream &upstream);

} // namespace hemlock
