#pragma once

#include "service.h"
#include "verdict.h"

#include <chrono>
#include <string>

namespace hemlock {

/// What is known of a caller's request once it is admitted.
struct CallInfo
{
    std::string requestId;
    std::string clientAccount;
    Service service;
    int priority = 5;
    bool isForwarded = false; ///< A peer passed it on, so it is not passed on again.
    std::chrono::steady_clock::time_point received;
    std::chrono::steady_clock::time_point deadline;
};

/// Writes the log line of a refused call.
void logRefusal(const CallInfo &call, const RequestError &error);

} // namespace hemlock
