#pragma once

#include <string>
#include <string_view>

namespace hemlock {

/// Splits the bytes of a text/event-stream after whole events, without changing them.
class EventSplitter
{
public:
    /// Takes the next bytes and returns those of the events that they complete.
    std::string append(std::string_view bytes);

    /// Identifier of the last whole event; empty before the first.
    const std::string &lastEventId() const;

    /// Whether bytes of an unfinished event are left.
    bool hasPartialEvent() const;

    /// Whether the unfinished event is longer than any that is passed on.
    bool isPartialEventTooLong() const;

    /// Forgets an unfinished event, when the stream goes on from another source.
    void discardPartialEvent();

private:
    void updateLastId(std::string_view events);

    std::string partialEvent;
    std::string lastId;
};

} // namespace hemlock
