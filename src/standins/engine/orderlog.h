#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace hemlock {

/// Desired state of an engine, as set by its orders.
struct EngineState
{
    std::string model;
    std::string version;
    std::string role = "serve"; ///< Such as "serve", "prefill" or "spare".
    std::vector<std::string> adapters;
};

void to_json(nlohmann::json &json, const EngineState &state);

/// Accepted orders of an engine and the desired state that results. Each order has a fencing token.
class OrderLog
{
public:
    struct Result
    {
        bool isAccepted = false;
        bool changesModel = false; ///< The order changes the model or its version, so weights must be loaded.
        std::string error;
    };

    /// With @p checksFencing, orders whose fencing token is below the highest one received are rejected.
    OrderLog(EngineState initial, bool checksFencing);

    /// Applies {"order","fencing","model","version","role","adapters"}; fields that are absent keep their values.
    Result apply(const nlohmann::json &order);

    const EngineState &state() const;

    /// Returns {"state","fencing","orders":[{"order","fencing"}]}; "fencing" is the highest token received.
    nlohmann::json report() const;

private:
    EngineState currentState;
    bool checksFencing;
    std::int64_t highestFencingToken = 0;
    nlohmann::json acceptedOrders = nlohmann::json::array();
};

} // namespace hemlock
