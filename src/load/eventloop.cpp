#include "eventloop.h"

#include <utility>

namespace hemlock {

bool EventLoop::Event::operator<(const Event &other) const
{
    // std::priority_queue returns its greatest element first, so the earliest event has to compare greatest.
    return std::pair(this->time, this->sequenceNumber) > std::pair(other.time, other.sequenceNumber);
}

EventLoop::TimePoint EventLoop::now() const
{
    return this->time;
}

void EventLoop::at(TimePoint time, std::function<void()> callback)
{
    this->events.push({std::max(time, this->time), this->nextSequenceNumber++, std::move(callback)});
}

void EventLoop::after(Duration delay, std::function<void()> callback)
{
    this->at(this->time + delay, std::move(callback));
}

void EventLoop::every(Duration interval, const std::function<void()> &callback)
{
    this->after(interval, [this, interval, callback] {
        callback();
        this->every(interval, callback);
    });
}

void EventLoop::runUntil(TimePoint end)
{
    while (!this->events.empty() && this->events.top().time <= end) {
        const Event event = this->events.top();
        this->events.pop();
        this->time = event.time;
        event.callback();
    }
    this->time = end;
}

EventLoop::Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<EventLoop::Duration>(std::chrono::duration<double>(seconds));
}

double toSeconds(EventLoop::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace hemlock
