#pragma once

#include <chrono>

namespace hemlock {

/// Decides when a repeated task is due; the interval is jittered so that nodes do not act in step.
class PeriodicTask
{
public:
    /// Whether the task is due at @p now; if so, the next time is one jittered @p interval later.
    /// @p random is uniform in [0, 1).
    bool isDue(std::chrono::steady_clock::time_point now, std::chrono::milliseconds interval, double random);

    /// Makes the task due at once.
    void expedite();

private:
    std::chrono::steady_clock::time_point next;
};

} // namespace hemlock
