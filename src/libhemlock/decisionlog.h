#pragma once

#include "router.h"

#include <nlohmann/json_fwd.hpp>

#include <deque>
#include <string>
#include <vector>

namespace hemlock {

/// One routing decision as it is logged and explained to operators.
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

/// Logs routing decisions and keeps the recent ones.
class DecisionLog
{
public:
    explicit DecisionLog(std::size_t capacity = 4096);

    /// Writes the log line "route" and keeps the record.
    void add(RoutingRecord record);

    /// Recent decisions on a request, oldest first.
    std::vector<RoutingRecord> find(const std::string &requestId) const;

private:
    std::size_t capacity;
    std::deque<RoutingRecord> records;
};

} // namespace hemlock
