#pragma once

#include "router.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <string>
#include <vector>

namespace hemlock {

/// One routing decision, as logged and shown to operators.
struct RoutingRecord
{
    std::string requestId;
    std::string clientAccount;
    std::string service;
    std::string attempt; ///< Identifier of the attempt that followed; empty when no upstream was chosen.
    int attemptNumber = 0; ///< Counts the attempts of a request from 1.
    RouteDecision decision;
};

void to_json(nlohmann::json &json, const RoutingRecord &record);

/// Logs routing decisions and keeps the most recent ones in memory.
class DecisionLog
{
public:
    explicit DecisionLog(std::size_t capacity = 4096);

    /// Logs the event "route" and stores the record; drops the oldest record when the capacity is reached.
    void add(RoutingRecord record);

    /// Returns the stored decisions on a request, oldest first.
    std::vector<RoutingRecord> find(const std::string &requestId) const;

private:
    std::size_t capacity;
    std::deque<RoutingRecord> records;
};

} // namespace hemlock
