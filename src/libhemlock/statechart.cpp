#include "statechart.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace hemlock {

StateChart::StateChart(const nlohmann::json &chart)
    : name(chart.at("name"))
    , initialState(chart.at("initial"))
{
    for (const auto &[state, description] : chart.at("states").items())
        this->transitions[state] = description.at("on").get<Transitions>();
    const auto requireState = [this](const std::string &state, const std::string &location) {
        if (!this->transitions.contains(state))
            throw std::invalid_argument("state chart " + this->name + ": " + location + " names the unknown state \""
                                        + state + "\"");
    };
    requireState(this->initialState, "/initial");
    for (const auto &[state, events] : this->transitions) {
        for (const auto &[event, target] : events)
            requireState(target, "/states/" + state + "/on/" + event);
    }
}

const std::string &StateChart::initial() const
{
    return this->initialState;
}

std::vector<std::string> StateChart::states() const
{
    std::vector<std::string> names;
    for (const auto &[state, events] : this->transitions)
        names.push_back(state);
    return names;
}

std::optional<std::string> StateChart::next(const std::string &state, const std::string &event) const
{
    const Transitions &events = this->transitions.at(state);
    const auto match = events.find(event);
    return match == events.end() ? std::nullopt : std::optional(match->second);
}

StateMachine::StateMachine(const StateChart &chart)
    : chart(&chart)
    , currentState(chart.initial())
{
}

const std::string &StateMachine::state() const
{
    return this->currentState;
}

bool StateMachine::handle(const std::string &event)
{
    const auto next = this->chart->next(this->currentState, event);
    if (!next || *next == this->currentState)
        return false;
    this->currentState = *next;
    return true;
}

} // namespace hemlock
