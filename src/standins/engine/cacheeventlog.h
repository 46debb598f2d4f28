#pragma once

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

namespace hemlock {

/// Log of prefix cache events that publishes them with a delay and can drop some. The caller passes the current time.
class CacheEventLog
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Of @p dropEveryNth consecutive events the last one is never published; with 0 none is dropped.
    CacheEventLog(std::chrono::milliseconds delay, std::uint64_t dropEveryNth);

    void setDelay(std::chrono::milliseconds delay);
    void setDropEveryNth(std::uint64_t dropEveryNth);

    void add(const std::string &block, bool isStored, Time now);

    /// Returns the published events after @p seq as {"events":[{"seq","type":"stored"|"removed","block"}],"last":SEQ}.
    /// The sequence numbers of dropped events are missing.
    nlohmann::json eventsAfter(std::uint64_t seq, Time now) const;

private:
    struct Event
    {
        std::uint64_t seq = 0;
        std::string block;
        bool isStored = true;
        Time publishTime;
    };

    std::chrono::milliseconds delay;
    std::uint64_t dropEveryNth;
    std::uint64_t lastSeq = 0;
    std::deque<Event> events;
};

} // namespace hemlock
