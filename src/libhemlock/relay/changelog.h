#pragma once

#include "kvaccess.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace hemlock {

/// Latest changes of the keys with one prefix, in the order of the store, for readers that know an earlier revision.
class ChangeLog
{
public:
    /// @p maxEvents is the number of changes that are kept.
    explicit ChangeLog(std::size_t maxEvents = 300);

    /// Discards all changes after a full read of the keys at @p revision.
    void reset(std::int64_t revision);

    /// Adds the next changes; they are complete up to @p revision.
    void append(const std::vector<KvEvent> &events, std::int64_t revision);

    /// Changes after @p revision, the oldest first. Unset when the log does not reach back to that revision.
    std::optional<std::vector<KvEvent>> eventsAfter(std::int64_t revision) const;

    /// Revision up to which the log is complete; 0 before the first reset().
    std::int64_t revision() const;

private:
    std::size_t maxEvents;
    std::deque<KvEvent> events;
    std::int64_t completeAfter = 0; ///< All changes after this revision are in the log.
    std::int64_t completeUpTo = 0;
};

} // namespace hemlock
