#include "relay/fleetclock.h"

#include <algorithm>
#include <vector>

namespace hemlock {

namespace {

/// A peer that was not heard of for so long may have stopped or lost its way to this VM.
constexpr std::chrono::seconds heardTime{3};

std::chrono::nanoseconds offsetOf(FleetClock::WallTime wall, FleetClock::TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(wall.time_since_epoch())
        - std::chrono::duration_cast<std::chrono::nanoseconds>(now.time_since_epoch());
}

} // namespace

void FleetClock::peerTime(const std::string &peer, WallTime peerTime, TimePoint now)
{
    this->peers[peer] = {offsetOf(peerTime, now), now};
    std::erase_if(this->peers, [now](const auto &entry) { return now - entry.second.heard > heardTime; });
}

FleetClock::WallTime FleetClock::timeOfDay(WallTime ownTime, TimePoint now)
{
    const Offset own = offsetOf(ownTime, now);
    std::vector<Offset> offsets = {own};
    for (const auto &[name, peer] : this->peers) {
        if (now - peer.heard <= heardTime)
            offsets.push_back(peer.offset);
    }
    std::sort(offsets.begin(), offsets.end());
    const std::size_t half = offsets.size() / 2;
    Offset median = offsets[half];
    if (offsets.size() % 2 == 0) {
        const Offset before = this->settled.value_or(own);
        const Offset lower = offsets[half - 1];
        const Offset upper = offsets[half];
        median = before - lower < upper - before ? lower : upper;
    }
    this->settled = median;
    return ownTime + std::chrono::duration_cast<WallTime::duration>(median - own);
}

} // namespace hemlock
