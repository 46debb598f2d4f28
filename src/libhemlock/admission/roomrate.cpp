#include "admission/roomrate.h"

#include <algorithm>
#include <cmath>

namespace hemlock {

namespace {

// Latency targets are 0.5 to 2 s; older events say nothing about a wait of that length.
constexpr double halfLifeSeconds = 2.0;

// With fewer events or a shorter time the error of the rate is above its value.
constexpr double minEvents = 3.0;
constexpr double minWaitingSeconds = 0.2;

} // namespace

void RoomRate::decay(TimePoint now)
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - this->lastUpdate).count());
    this->lastUpdate = std::max(this->lastUpdate, now);
    const double factor = std::exp2(-elapsed / halfLifeSeconds);
    this->events *= factor;
    this->waitingSeconds = this->waitingSeconds * factor + (this->isWaiting ? elapsed : 0.0);
}

void RoomRate::setWaiting(bool waiting, TimePoint now)
{
    this->decay(now);
    this->isWaiting = waiting;
}

void RoomRate::record(TimePoint now)
{
    this->decay(now);
    if (this->isWaiting)
        this->events += 1.0;
}

std::optional<double> RoomRate::perSecond(TimePoint now)
{
    this->decay(now);
    if (this->events < minEvents || this->waitingSeconds < minWaitingSeconds)
        return std::nullopt;
    return this->events / this->waitingSeconds;
}

} // namespace hemlock
