#pragma once

#include "kvaccess.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace hemlock {

/// Tells from the store's answers when the store was out of reach for so long that entries may have lapsed.
///
/// A failed call alone says nothing about that: a store that works may end a long poll, refuse a call or lose an
/// answer. Only a time in which it answered no call at all may have kept the owners of entries from renewing them.
class StoreOutages
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// A store that is silent for less than @p minOutage makes no entry lapse. @p now includes the time of a
    /// suspension.
    StoreOutages(std::chrono::milliseconds minOutage, std::function<TimePoint()> now);

    /// Calls of @p kv whose answers are recorded. This object must outlive the result.
    KvAccess observed(const KvAccess &kv);

    /// Whether an outage ended after @p time.
    bool hasEndedAfter(TimePoint time) const;

private:
    /// Returns the time at which the call is sent.
    TimePoint recordCall();
    /// Records the end of a call that was sent at @p sent.
    void recordEnd(TimePoint sent, bool isAnswered);

    template <class Result>
    std::function<void(const Result &)> observing(std::function<void(const Result &)> done);

    std::chrono::milliseconds minOutage;
    std::function<TimePoint()> now;
    TimePoint lastAnswer;
    std::optional<TimePoint>
        silentSince; ///< When the first of the calls without an answer was sent or left unanswered.
    std::optional<TimePoint> lastOutageEnd;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Lets pending callbacks detect the destruction.
};

} // namespace hemlock
