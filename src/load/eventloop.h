#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace hemlock {

/// Runs callbacks in virtual time. Callbacks scheduled for the same time run in the order in which they were added.
class EventLoop
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Duration = std::chrono::steady_clock::duration;

    TimePoint now() const;
    /// Schedules the callback; a time in the past counts as now.
    void at(TimePoint time, std::function<void()> callback);
    void after(Duration delay, std::function<void()> callback);
    /// Runs the callback repeatedly, first after one interval.
    void every(Duration interval, const std::function<void()> &callback);
    /// Runs all callbacks that are due up to and including end, then sets the current time to end.
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

/// Converts seconds to a duration of the event loop.
EventLoop::Duration fromSeconds(double seconds);
double toSeconds(EventLoop::Duration duration);

} // namespace hemlock
