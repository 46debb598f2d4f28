#pragma once

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// A state chart read from a file of the folder charts.
class StateChart
{
public:
    /// Reads {"name","initial","states":{STATE:{"on":{EVENT:STATE}}}}. Throws std::invalid_argument when a state that
    /// is named does not exist.
    explicit StateChart(const nlohmann::json &chart);

    const std::string &initial() const;
    std::vector<std::string> states() const;

    /// State after an event, or nothing when the state ignores the event.
    std::optional<std::string> next(const std::string &state, const std::string &event) const;

private:
    using Transitions = std::map<std::string, std::string>;

    std::string name;
    std::string initialState;
    std::map<std::string, Transitions> transitions;
};

/// One thing whose life follows a state chart; the chart must live longer.
class StateMachine
{
public:
    explicit StateMachine(const StateChart &chart);

    const std::string &state() const;

    /// Whether the event led to another state.
    bool handle(const std::string &event);

private:
    const StateChart *chart;
    std::string currentState;
};

} // namespace hemlock
