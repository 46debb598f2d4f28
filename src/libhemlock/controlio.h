#pragma once

#include "kvaccess.h"
#include "logger.h"
#include "rpc.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace hemlock {

/// What a control node sees of and does to the outside world.
struct ControlIo
{
    using JsonCallback = std::function<void(const nlohmann::json &body, const std::string &error)>;

    KvAccess kv;
    /// GET of a path of the cloud API; the error is empty when the body arrived.
    std::function<void(const std::string &path, JsonCallback done)> cloudGet;
    /// JSON-RPC call to another of the system's processes.
    std::function<void(const std::string &address,
                       const std::string &method,
                       const nlohmann::json &params,
                       std::function<void(const RpcOutcome &)> done)>
        call;
    /// Whether an upstream answers anything at all to an HTTP request.
    std::function<void(const std::string &address, std::function<void(bool answered)> done)> probe;
    std::function<double()> random; ///< Uniform in [0, 1).
    std::function<std::chrono::steady_clock::time_point()> now;
    std::function<std::chrono::system_clock::time_point()> wallClock;
    std::function<void(LogLevel level, std::string_view event, const nlohmann::json &fields)> log;
};

/// What a node's size and role mean for how often it asks the store and the platform.
struct FleetRole
{
    std::size_t nodes = 1; ///< Live control nodes with this one.
    bool isZoneWatcher = true; ///< Whether this node watches the store and the platform for its zone.
};

/// @p perNode times the number of nodes, but at least @p shortest: the fleet's calls then stay constant.
std::chrono::milliseconds
fleetInterval(const FleetRole &role, std::chrono::milliseconds minimum, std::chrono::milliseconds perNode);

} // namespace hemlock
