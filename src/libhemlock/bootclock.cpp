#include "bootclock.h"

#include <ctime>

namespace hemlock {

std::chrono::steady_clock::time_point bootTimeNow()
{
    using TimePoint = std::chrono::steady_clock::time_point;
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<TimePoint::duration>(std::chrono::seconds(time.tv_sec)
                                                                     + std::chrono::nanoseconds(time.tv_nsec)));
}

} // namespace hemlock
