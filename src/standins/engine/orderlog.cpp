#include "orderlog.h"

#include <algorithm>

namespace hemlock {

void to_json(nlohmann::json &json, const EngineState &state)
{
    json = {{"model", state.model}, {"version", state.version}, {"role", state.role}, {"adapters", state.adapters}};
}

OrderLog::OrderLog(EngineState initial, bool checksFencing)
    : currentState(std::move(initial))
    , checksFencing(checksFencing)
{
}

OrderLog::Result OrderLog::apply(const nlohmann::json &order)
{
    Result result;
    const std::int64_t fencingToken = order.value("fencing", std::int64_t{0});
    if (this->checksFencing && fencingToken < this->highestFencingToken) {
        result.error = "stale fencing token " + std::to_string(fencingToken) + ", the highest seen is "
            + std::to_string(this->highestFencingToken);
        return result;
    }
    this->highestFencingToken = std::max(this->highestFencingToken, fencingToken);
    EngineState newState = this->currentState;
    newState.model = order.value("model", newState.model);
    newState.version = order.value("version", newState.version);
    newState.role = order.value("role", newState.role);
    newState.adapters = order.value("adapters", newState.adapters);
    result.isAccepted = true;
    result.changesModel = newState.model != this->currentState.model || newState.version != this->currentState.version;
    this->currentState = std::move(newState);
    this->acceptedOrders.push_back({{"order", order.value("order", "")}, {"fencing", fencingToken}});
    return result;
}

const EngineState &OrderLog::state() const
{
    return this->currentState;
}

nlohmann::json OrderLog::report() const
{
    return {{"state", this->currentState}, {"fencing", this->highestFencingToken}, {"orders", this->acceptedOrders}};
}

} // namespace hemlock
