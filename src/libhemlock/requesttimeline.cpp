#include "requesttimeline.h"

#include <algorithm>
#include <set>

namespace hemlock {

namespace {

using nlohmann::json;

/// Events about the whole system rather than the local view of a VM; they are left out of the timeline.
const std::set<std::string> systemWideEvents = {"upstream-order", "usage-report"};

std::string stringField(const json &record, const char *field)
{
    const auto found = record.find(field);
    return found != record.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool isEarlier(const json &a, const json &b)
{
    return stringField(a, "time") < stringField(b, "time");
}

} // namespace

RequestTimeline::RequestTimeline(std::string requestId)
    : requestId(std::move(requestId))
{
}

bool RequestTimeline::addLine(std::string_view line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string_view::npos)
        return false;
    json record = json::parse(line.substr(begin), nullptr, false);
    if (!record.is_object() || !record.contains("event"))
        return false;
    if (!record.contains("request")) {
        if (!systemWideEvents.contains(stringField(record, "event")))
            this->contextRecords.push_back(std::move(record));
    } else if (stringField(record, "request") == this->requestId) {
        this->requestRecords.push_back(std::move(record));
    }
    return true;
}

std::vector<nlohmann::json> RequestTimeline::records() const
{
    std::vector<json> timeline = this->requestRecords;
    if (timeline.empty())
        return timeline;
    std::stable_sort(timeline.begin(), timeline.end(), isEarlier);
    const std::string first = stringField(timeline.front(), "time");
    const std::string last = stringField(timeline.back(), "time");
    std::set<std::string> instances;
    std::set<std::string> upstreams;
    for (const json &record : timeline) {
        instances.insert(stringField(record, "instance"));
        upstreams.insert(stringField(record, "upstream"));
    }
    for (const json &record : this->contextRecords) {
        const std::string time = stringField(record, "time");
        if (time < first || time > last || !instances.contains(stringField(record, "instance")))
            continue;
        const std::string upstream = stringField(record, "upstream");
        if (upstream.empty() || upstreams.contains(upstream))
            timeline.push_back(record);
    }
    std::stable_sort(timeline.begin(), timeline.end(), isEarlier);
    return timeline;
}

std::string formatTimelineRecord(const nlohmann::json &record)
{
    static const std::set<std::string> leading = {"time", "instance", "event", "program", "level", "request"};
    std::string line =
        stringField(record, "time") + "  " + stringField(record, "instance") + "  " + stringField(record, "event");
    for (const auto &[name, value] : record.items()) {
        if (!leading.contains(name))
            line += "  " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return line;
}

} // namespace hemlock
