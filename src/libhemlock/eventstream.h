#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace hemlock {

/// One server-sent event.
struct ServerSentEvent
{
    std::string id;
    std::string event;
    std::string data;
};

/// Splits the bytes of a text/event-stream into events.
class EventStreamParser
{
public:
    explicit EventStreamParser(std::function<void(const ServerSentEvent &)> onEvent);

    /// Takes the next bytes and reports each event that they complete. Returns false once a line exceeds a megabyte.
    bool append(std::string_view bytes);

private:
    void parseLine(std::string_view line);

    std::function<void(const ServerSentEvent &)> onEvent;
    std::string buffer;
    ServerSentEvent currentEvent;
    bool hasData = false;
};

/// Text of an event; empty fields are left out, and data of several lines becomes several data fields.
std::string formatEvent(const ServerSentEvent &event);

} // namespace hemlock
