#include "requeststory.h"

#include <algorithm>
#include <set>

namespace hemlock {

namespace {

using nlohmann::json;

/// Events that concern the whole system rather than what a VM believes.
const std::set<std::string> dutyEvents = {"upstream-order", "usage-report"};

std::string textOf(const json &record, const char *field)
{
    const auto found = record.find(field);
    return found != record.end() && found->is_string() ? found->get<std::string>() : std::string();
}

bool isEarlier(const json &a, const json &b)
{
    return textOf(a, "time") < textOf(b, "time");
}

} // namespace

RequestStory::RequestStory(std::string request)
    : request(std::move(request))
{
}

bool RequestStory::addLine(std::string_view line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string_view::npos)
        return false;
    json record = json::parse(line.substr(begin), nullptr, false);
    if (!record.is_object() || !record.contains("event"))
        return false;
    if (!record.contains("request")) {
        if (!dutyEvents.contains(textOf(record, "event")))
            this->beliefs.push_back(std::move(record));
    } else if (textOf(record, "request") == this->request) {
        this->own.push_back(std::move(record));
    }
    return true;
}

std::vector<nlohmann::json> RequestStory::records() const
{
    std::vector<json> story = this->own;
    if (story.empty())
        return story;
    std::stable_sort(story.begin(), story.end(), isEarlier);
    const std::string first = textOf(story.front(), "time");
    const std::string last = textOf(story.back(), "time");
    std::set<std::string> instances;
    std::set<std::string> upstreams;
    for (const json &record : story) {
        instances.insert(textOf(record, "instance"));
        upstreams.insert(textOf(record, "upstream"));
    }
    for (const json &record : this->beliefs) {
        const std::string time = textOf(record, "time");
        if (time < first || time > last || !instances.contains(textOf(record, "instance")))
            continue;
        const std::string upstream = textOf(record, "upstream");
        if (upstream.empty() || upstreams.contains(upstream))
            story.push_back(record);
    }
    std::stable_sort(story.begin(), story.end(), isEarlier);
    return story;
}

std::string storyLine(const nlohmann::json &record)
{
    static const std::set<std::string> leading = {"time", "instance", "event", "program", "level", "request"};
    std::string line = textOf(record, "time") + "  " + textOf(record, "instance") + "  " + textOf(record, "event");
    for (const auto &[name, value] : record.items()) {
        if (!leading.contains(name))
            line += "  " + name + "=" + (value.is_string() ? value.get<std::string>() : value.dump());
    }
    return line;
}

} // namespace hemlock
