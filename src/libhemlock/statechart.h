#pragma once

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// A state chart, as defined by the files in the folder charts.
class StateChart
{
public:
    /// Parses {"name","initial","states":{STATE:{"on":{EVENT:STATE}}}}. Throws std::invalid_argument when the chart
    /// refers to an undefined state.
    explicit StateChart(const nlohmann::json &chart);

    const std::string &initial() const;
    std::vector<std::string> states() const;

    /// Returns the state after an event, or std::nullopt when the state ignores the event.
    std::optional<std::string> next(const std::string &state, const std::string &event) const;

private:
    using Transitions = std::map<std::string, std::string>;

    std::string name;
    std::string initialState;
    std::map<std::string, Transitions> transitions;
};

/// An instance of a state chart with its current state. The chart must outlive it.
class StateMachine
{
public:
    explicit StateMachine(const StateChart &chart);

    const std::string &state() const;

    /// Applies an event. Returns whether the state changed.
    bool handle(const std::string &event);

private:
    const StateChart *chart;
    std::string currentState;
};

} // namespace hemlock
