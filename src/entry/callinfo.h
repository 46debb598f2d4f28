#pragma once

#include "service.h"
#include "verdict.h"

#include <chrono>
#include <string>

namespace hemlock {

/// Identity, service and deadline of a caller's request that has passed the access checks.
struct CallInfo
{
    std::string requestId;
    std::string clientAccount;
    Service service;
    int priority = 5; ///< 0 (highest) to 9 (lowest).
    bool isForwarded = false; ///< Received from a peer entry process, so it is not forwarded again.
    std::chrono::steady_clock::time_point received;
    std::chrono::steady_clock::time_point deadline;
};

/// Logs the event "refused" for a call.
void logRefusal(const CallInfo &call, const RequestError &error);

} // namespace hemlock
