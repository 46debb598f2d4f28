#include "orderbook.h"

#include <algorithm>

namespace hemlock {

void to_json(nlohmann::json &json, const EngineState &state)
{
    json = {{"model", state.model}, {"version", state.version}, {"role", state.role}, {"adapters", state.adapters}};
}

OrderBook::OrderBook(EngineState initial, bool checksFencing)
    : current(std::move(initial))
    , checksFencing(checksFencing)
{
}

OrderBook::Answer OrderBook::receive(const nlohmann::json &order)
{
    Answer answer;
    const std::int64_t fencing = order.value("fencing", std::int64_t{0});
    if (this->checksFencing && fencing < this->highestFencing) {
        answer.error = "stale fencing token " + std::to_string(fencing) + ", the highest seen is "
            + std::to_string(this->highestFencing);
        return answer;
    }
    this->highestFencing = std::max(this->highestFencing, fencing);
    EngineState next = this->current;
    next.model = order.value("model", next.model);
    next.version = order.value("version", next.version);
    next.role = order.value("role", next.role);
    next.adapters = order.value("adapters", next.adapters);
    answer.isAccepted = true;
    answer.changesModel = next.model != this->current.model || next.version != this->current.version;
    this->current = std::move(next);
    this->accepted.push_back({{"order", order.value("order", "")}, {"fencing", fencing}});
    return answer;
}

const EngineState &OrderBook::state() const
{
    return this->current;
}

nlohmann::json OrderBook::report() const
{
    return {{"state", this->current}, {"fencing", this->highestFencing}, {"orders", this->accepted}};
}

} // namespace hemlock
