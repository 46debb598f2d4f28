#pragma once

#include <chrono>

namespace hemlock {

/// Decides when a periodic task is due. The interval has random jitter so that nodes do not run in lockstep.
class PeriodicTask
{
public:
    /// Whether the task is due at @p now; if so, schedules the next run one jittered @p interval later.
    /// @p random is uniform in [0, 1).
    bool isDue(std::chrono::steady_clock::time_point now, std::chrono::milliseconds interval, double random);

    /// Makes the task due immediately.
    void expedite();

private:
    std::chrono::steady_clock::time_point next;
};

} // namespace hemlock
