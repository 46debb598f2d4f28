#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace hemlock {

/// Collects the log records of one request from the logs of all entry VMs: its own records, and the records that the
/// VMs that handled it wrote meanwhile about its upstreams, the store and the configuration.
class RequestTimeline
{
public:
    explicit RequestTimeline(std::string requestId);

    /// Adds a log line; text before the JSON object is skipped. Returns false for a line without a log record.
    bool addLine(std::string_view line);

    /// Returns the log records sorted by time; empty when no record belongs to the request.
    std::vector<nlohmann::json> records() const;

private:
    std::string requestId;
    std::vector<nlohmann::json> requestRecords;
    std::vector<nlohmann::json> contextRecords; ///< Records that belong to no request.
};

/// Formats a record as one line of text: time, VM and event, then the other fields.
std::string formatTimelineRecord(const nlohmann::json &record);

} // namespace hemlock
