#pragma once

#include "upstreampool.h"

#include <chrono>
#include <map>
#include <set>
#include <string>

namespace hemlock {

/// Measures for how long upstreams have been leaving while requests are in flight at them.
class DepartureTimes
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// @p limit is the time after which a departure is overdue.
    explicit DepartureTimes(std::chrono::milliseconds limit);

    /// Returns the upstreams with requests in flight that have been leaving or gone for the limit or longer. Their time
    /// counts from the first call that finds them so.
    std::set<std::string> overdue(const UpstreamPool &pool, TimePoint now);

private:
    std::chrono::milliseconds limit;
    std::map<std::string, TimePoint> firstSeen; ///< By upstream.
};

} // namespace hemlock
