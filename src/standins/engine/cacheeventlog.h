#pragma once

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

namespace hemlock {

/// Cache events of an engine, published late and with gaps. Time is passed in.
class CacheEventLog
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// Each @p gapEvery th event is never published; 0 for none.
    CacheEventLog(std::chrono::milliseconds delay, std::uint64_t dropEveryNth);

    void setDelay(std::chrono::milliseconds delay);
    void setDropEveryNth(std::uint64_t dropEveryNth);

    void add(const std::string &block, bool isStored, Time now);

    /// {"events":[{"seq","type":"stored"|"removed","block"}],"last":SEQ}; numbers of lost events are missing.
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
