#pragma once

#include "kvaccess.h"
#include "logger.h"
#include "rpc.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <string>

namespace hemlock {

/// External services, clocks and log of a control node; tests replace them by simulated ones.
struct ControlIo
{
    /// Called once; @p error is empty on success.
    using JsonCallback = std::function<void(const nlohmann::json &body, const std::string &error)>;

    KvAccess kv;
    /// Sends a GET request to the cloud API; the error is empty on success.
    std::function<void(const std::string &path, JsonCallback done)> cloudGet;
    /// Sends a JSON-RPC call to another process of the system.
    std::function<void(const std::string &address,
                       const std::string &method,
                       const nlohmann::json &params,
                       std::function<void(const RpcOutcome &)> done)>
        call;
    /// Checks whether an upstream answers an HTTP request, with any status.
    std::function<void(const std::string &address, std::function<void(bool answered)> done)> probe;
    std::function<double()> random; ///< Uniform in [0, 1).
    std::function<std::chrono::steady_clock::time_point()> now;
    std::function<std::chrono::system_clock::time_point()> wallClock;
    std::function<void(LogLevel level, std::string_view event, const nlohmann::json &fields)> log;
};

/// Size of the fleet and role of this node in it, which determine how often it polls the store and the cloud API.
struct FleetRole
{
    std::size_t nodes = 1; ///< Number of live control nodes, including this one.
    bool isZoneWatcher = true; ///< Whether this node watches the store and polls the cloud API for its zone.
};

/// Returns @p perNode times the number of nodes, but at least @p minimum, so that the call rate of the whole fleet does
/// not grow with its size.
std::chrono::milliseconds
fleetInterval(const FleetRole &role, std::chrono::milliseconds minimum, std::chrono::milliseconds perNode);

} // namespace hemlock
