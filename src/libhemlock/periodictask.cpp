#include "periodictask.h"

namespace hemlock {

namespace {

/// Intervals are scaled by a random factor between 0.8 and 1.2.
constexpr double jitter = 0.2;

} // namespace

bool PeriodicTask::isDue(std::chrono::steady_clock::time_point now, std::chrono::milliseconds interval, double random)
{
    if (now < this->next)
        return false;
    const double factor = 1.0 - jitter + 2.0 * jitter * random;
    this->next =
        now + std::chrono::milliseconds(static_cast<std::int64_t>(static_cast<double>(interval.count()) * factor));
    return true;
}

void PeriodicTask::expedite()
{
    this->next = {};
}

} // namespace hemlock
