#pragma once

#include <chrono>

namespace hemlock {

/// Time since the VM booted. Unlike the steady clock, it includes the time for which the VM was suspended.
std::chrono::steady_clock::time_point bootTimeNow();

} // namespace hemlock
