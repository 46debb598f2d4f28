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
    bool hasRest() const;

    /// Whether the unfinished event is longer than any that is passed on.
    bool isTooLong() const;

    /// Forgets an unfinished event, when the stream goes on from another source.
    void dropRest();

private:
    void readIds(std::string_view events);

    std::string rest;
    std::string lastId;
};

} // namespace hemlock
