#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace hemlock {

/// What the logs of all entry VMs tell of one request: its own lines, and what the VMs that handled it learned
/// meanwhile of its upstreams, the store and the configuration.
class RequestTimeline
{
public:
    explicit RequestTimeline(std::string requestId);

    /// Takes a line of a log; whatever stands before the JSON object is skipped. Returns false for a line without one.
    bool addLine(std::string_view line);

    /// Log records in the order of their time; empty when no line names the request.
    std::vector<nlohmann::json> records() const;

private:
    std::string requestId;
    std::vector<nlohmann::json> requestRecords;
    std::vector<nlohmann::json> contextRecords; ///< Lines that belong to no request.
};

/// A record as one line of text: time, VM, event, then the other fields.
std::string formatTimelineRecord(const nlohmann::json &record);

} // namespace hemlock
