#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace hemlock {

/// Runs callbacks in virtual time; callbacks of one instant run in the order in which they were added.
class EventLoop
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Duration = std::chrono::steady_clock::duration;

    TimePoint now() const;
    void at(TimePoint time, std::function<void()> callback);
    void after(Duration delay, std::function<void()> callback);
    /// Calls back at each multiple of the interval until the loop ends.
    void every(Duration interval, const std::function<void()> &callback);
    void runUntil(TimePoint end);

private:
    struct Event
    {
        TimePoint time;
        std::uint64_t sequenceNumber;
        std::function<void()> callback;

        bool operator<(const Event &other) const;
    };

    TimePoint time;
    std::uint64_t nextSequenceNumber = 0;
    std::priority_queue<Event> events;
};

/// Converts seconds of a scenario to the loop's durations.
EventLoop::Duration fromSeconds(double seconds);
double toSeconds(EventLoop::Duration duration);

} // namespace hemlock
