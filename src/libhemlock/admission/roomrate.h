#pragma once

#include <chrono>
#include <optional>

namespace hemlock {

/// Rate at which room for requests becomes free, measured only while requests wait. At other times the rate of starts
/// tells the demand and not the capacity.
class RoomRate
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Records whether requests wait from now on.
    void setWaiting(bool isWaiting, TimePoint now);

    /// Counts one start of a queued request, or one first token.
    void record(TimePoint now);

    /// Events per second; unset while too few were seen.
    std::optional<double> perSecond(TimePoint now);

private:
    void decay(TimePoint now);

    bool isWaiting = false;
    double events = 0.0;
    double waitingSeconds = 0.0;
    TimePoint lastUpdate;
};

} // namespace hemlock
