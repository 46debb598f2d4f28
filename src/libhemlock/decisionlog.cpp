#include "decisionlog.h"

#include "logger.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace hemlock {

void to_json(nlohmann::json &json, const RoutingRecord &record)
{
    json = {{"request", record.requestId},
            {"clientAccount", record.clientAccount},
            {"service", record.service},
            {"attempt", record.attempt},
            {"attemptNumber", record.attemptNumber},
            {"upstream", record.decision.upstream},
            {"reason", record.decision.reason},
            {"alternatives", record.decision.alternatives}};
}

DecisionLog::DecisionLog(std::size_t capacity)
    : capacity(capacity)
{
}

void DecisionLog::add(RoutingRecord record)
{
    logEvent(LogLevel::Info, "route", record);
    if (this->records.size() >= this->capacity)
        this->records.pop_front();
    this->records.push_back(std::move(record));
}

std::vector<RoutingRecord> DecisionLog::find(const std::string &requestId) const
{
    std::vector<RoutingRecord> matches;
    std::copy_if(this->records.begin(),
                 this->records.end(),
                 std::back_inserter(matches),
                 [&requestId](const RoutingRecord &record) { return record.requestId == requestId; });
    return matches;
}

} // namespace hemlock
