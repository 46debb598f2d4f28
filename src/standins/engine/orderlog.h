#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace hemlock {

/// What an engine was told to be.
struct EngineState
{
    std::string model;
    std::string version;
    std::string role = "serve"; ///< Such as "serve", "prefill" or "spare".
    std::vector<std::string> adapters;
};

void to_json(nlohmann::json &json, const EngineState &state);

/// Orders that an engine has received: desired states, each with a fencing token.
class OrderLog
{
public:
    struct Result
    {
        bool isAccepted = false;
        bool changesModel = false; ///< Weights must be loaded before the order takes effect.
        std::string error;
    };

    /// With @p checksFencing an order whose token is below the highest one seen is refused.
    OrderLog(EngineState initial, bool checksFencing);

    /// Takes {"order","fencing","model","version","role","adapters"}; absent fields stay as they are.
    Result receive(const nlohmann::json &order);

    const EngineState &state() const;

    /// {"state","fencing","orders":[{"order","fencing"}]} for reading back.
    nlohmann::json report() const;

private:
    EngineState current;
    bool checksFencing;
    std::int64_t highestFencingToken = 0;
    nlohmann::json accepted = nlohmann::json::array();
};

} // namespace hemlock
