#include "relay/departuretimes.h"

#include <utility>

namespace hemlock {

DepartureTimes::DepartureTimes(std::chrono::milliseconds limit)
    : limit(limit)
{
}

std::set<std::string> DepartureTimes::overdue(const UpstreamPool &pool, TimePoint now)
{
    std::set<std::string> overdueUpstreams;
    const auto before = std::exchange(this->firstSeen, {});
    for (const auto &[id, requests] : pool.inFlight()) {
        if (!pool.isLeaving(id))
            continue;
        const auto known = before.find(id);
        const TimePoint start = known == before.end() ? now : known->second;
        this->firstSeen[id] = start;
        if (now - start >= this->limit)
            overdueUpstreams.insert(id);
    }
    return overdueUpstreams;
}

} // namespace hemlock
