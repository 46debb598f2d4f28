#include "eventstream.h"

#include <utility>

namespace hemlock {

namespace {

constexpr std::size_t maxLineBytes = std::size_t{1024} * 1024;

} // namespace

EventStreamParser::EventStreamParser(std::function<void(const ServerSentEvent &)> onEvent)
    : onEvent(std::move(onEvent))
{
}

bool EventStreamParser::append(std::string_view bytes)
{
    this->buffer.append(bytes);
    // The callback may destroy the exchange that owns this parser, so the lines are parsed from a local copy.
    const std::string text = std::exchange(this->buffer, {});
    std::size_t start = 0;
    for (std::size_t end = text.find('\n'); end != std::string::npos; end = text.find('\n', start)) {
        std::string_view line = std::string_view(text).substr(start, end - start);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        this->parseLine(line);
        start = end + 1;
    }
    this->buffer = text.substr(start);
    return this->buffer.size() <= maxLineBytes;
}

void EventStreamParser::parseLine(std::string_view line)
{
    if (line.empty()) {
        const ServerSentEvent event = std::exchange(this->currentEvent, {});
        if (std::exchange(this->hasData, false))
            this->onEvent(event);
        return;
    }
    const std::size_t colon = line.find(':');
    const std::string_view name = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (name == "id") {
        this->currentEvent.id = value;
    } else if (name == "event") {
        this->currentEvent.event = value;
    } else if (name == "data") {
        if (this->hasData)
            this->currentEvent.data += '\n';
        this->currentEvent.data += value;
        this->hasData = true;
    }
}

std::string formatEvent(const ServerSentEvent &event)
{
    std::string text;
    if (!event.id.empty())
        text += "id: " + event.id + "\n";
    if (!event.event.empty())
        text += "event: " + event.event + "\n";
    std::size_t start = 0;
    for (std::size_t end = event.data.find('\n'); end != std::string::npos; end = event.data.find('\n', start)) {
        text += "data: " + event.data.substr(start, end - start) + "\n";
        start = end + 1;
    }
    return text + "data: " + event.data.substr(start) + "\n\n";
}

} // namespace hemlock
