#include "relay/eventsplitter.h"

#include <algorithm>

namespace hemlock {

namespace {

/// Far larger than an event of a few tokens, and small enough for a hundred streams in the memory of a small VM.
constexpr std::size_t maxEventBytes = std::size_t{512} * 1024;

constexpr std::size_t maxSeparatorBytes = 3;

/// Position after the last empty line, which ends an event; 0 when there is none after @p begin.
std::size_t endOfLastEvent(std::string_view bytes, std::size_t begin)
{
    std::size_t end = 0;
    for (const std::string_view separator : {"\n\n", "\n\r\n"}) {
        const std::size_t found = bytes.substr(begin).rfind(separator);
        if (found != std::string_view::npos)
            end = std::max(end, begin + found + separator.size());
    }
    return end;
}

} // namespace

std::string EventSplitter::append(std::string_view bytes)
{
    // A separator may have begun in the bytes received earlier.
    const std::size_t begin = this->partialEvent.size() - std::min(this->partialEvent.size(), maxSeparatorBytes - 1);
    this->partialEvent.append(bytes);
    const std::size_t end = endOfLastEvent(this->partialEvent, begin);
    std::string completeEvents = this->partialEvent.substr(0, end);
    this->partialEvent.erase(0, end);
    this->updateLastId(completeEvents);
    return completeEvents;
}

const std::string &EventSplitter::lastEventId() const
{
    return this->lastId;
}

bool EventSplitter::hasPartialEvent() const
{
    return !this->partialEvent.empty();
}

std::size_t EventSplitter::partialEventBytes() const
{
    return this->partialEvent.size();
}

bool EventSplitter::isPartialEventTooLong() const
{
    return this->partialEvent.size() > maxEventBytes;
}

void EventSplitter::discardPartialEvent()
{
    this->partialEvent.clear();
}

void EventSplitter::updateLastId(std::string_view events)
{
    constexpr std::string_view field = "id:";
    std::size_t begin = 0;
    while (begin < events.size()) {
        const std::size_t end = std::min(events.find('\n', begin), events.size());
        std::string_view line = events.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        this->lastId = line;
    }
}

} // namespace hemlock
