#include "relay/changelog.h"

#include <algorithm>

namespace hemlock {

ChangeLog::ChangeLog(std::size_t maxEvents)
    : maxEvents(maxEvents)
{
}

void ChangeLog::reset(std::int64_t revision)
{
    this->events.clear();
    this->completeAfter = revision;
    this->completeUpTo = revision;
}

void ChangeLog::append(const std::vector<KvEvent> &added, std::int64_t revision)
{
    this->events.insert(this->events.end(), added.begin(), added.end());
    this->completeUpTo = std::max(this->completeUpTo, revision);
    while (this->events.size() > this->maxEvents) {
        this->completeAfter = std::max(this->completeAfter, this->events.front().entry.modRevision);
        this->events.pop_front();
    }
}

std::optional<std::vector<KvEvent>> ChangeLog::eventsAfter(std::int64_t revision) const
{
    if (this->completeUpTo == 0 || revision < this->completeAfter)
        return std::nullopt;
    std::vector<KvEvent> later;
    std::copy_if(this->events.begin(), this->events.end(), std::back_inserter(later), [revision](const KvEvent &event) {
        return event.entry.modRevision > revision;
    });
    return later;
}

std::int64_t ChangeLog::revision() const
{
    return this->completeUpTo;
}

} // namespace hemlock
