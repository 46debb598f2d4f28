#pragma once

#include <string>
#include <string_view>

namespace hemlock {

/// Splits a text/event-stream at event boundaries, without changing its bytes.
class EventSplitter
{
public:
    /// Appends received bytes and returns the bytes of all events that are now complete.
    std::string append(std::string_view bytes);

    /// Identifier of the last complete event that has one; empty before the first.
    const std::string &lastEventId() const;

    /// Whether bytes of an incomplete event are buffered.
    bool hasPartialEvent() const;

    /// Bytes of the incomplete event that are buffered.
    std::size_t partialEventBytes() const;

    /// Whether the incomplete event exceeds the maximum size of an event.
    bool isPartialEventTooLong() const;

    /// Discards an incomplete event, before the stream continues from another upstream.
    void discardPartialEvent();

private:
    void updateLastId(std::string_view events);

    std::string partialEvent;
    std::string lastId;
};

} // namespace hemlock
