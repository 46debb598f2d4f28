#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace hemlock {

/// A server-sent event; absent fields are empty.
struct ServerSentEvent
{
    std::string id;
    std::string event;
    std::string data;
};

/// Incremental parser of a text/event-stream body.
class EventStreamParser
{
public:
    explicit EventStreamParser(std::function<void(const ServerSentEvent &)> onEvent);

    /// Parses the next bytes and calls onEvent for each event that they complete; events without data are dropped.
    /// Returns false once an unfinished line is longer than 1 MiB.
    bool append(std::string_view bytes);

private:
    void parseLine(std::string_view line);

    std::function<void(const ServerSentEvent &)> onEvent;
    std::string buffer;
    ServerSentEvent currentEvent;
    bool hasData = false;
};

/// Formats an event as text/event-stream. Omits an empty id or event field and writes one data field per line of data.
std::string formatEvent(const ServerSentEvent &event);

} // namespace hemlock
