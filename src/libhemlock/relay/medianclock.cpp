#include "relay/medianclock.h"

#include <algorithm>
#include <vector>

namespace hemlock {

namespace {

/// A peer without a message for this time may have stopped or lost its connection to this VM, and is ignored.
constexpr std::chrono::seconds peerTimeout{3};

std::chrono::nanoseconds offsetOf(MedianClock::WallTime wall, MedianClock::TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(wall.time_since_epoch())
        - std::chrono::duration_cast<std::chrono::nanoseconds>(now.time_since_epoch());
}

} // namespace

void MedianClock::addPeerTime(const std::string &peer, WallTime peerTime, TimePoint now)
{
    this->peers[peer] = {offsetOf(peerTime, now), now};
    std::erase_if(this->peers, [now](const auto &entry) { return now - entry.second.receivedAt > peerTimeout; });
}

MedianClock::WallTime MedianClock::timeOfDay(WallTime ownTime, TimePoint now)
{
    const Offset ownOffset = offsetOf(ownTime, now);
    std::vector<Offset> offsets = {ownOffset};
    for (const auto &[name, peer] : this->peers) {
        if (now - peer.receivedAt <= peerTimeout)
            offsets.push_back(peer.offset);
    }
    std::sort(offsets.begin(), offsets.end());
    const std::size_t half = offsets.size() / 2;
    Offset median = offsets[half];
    if (offsets.size() % 2 == 0) {
        const Offset previous = this->lastOffset.value_or(ownOffset);
        const Offset lower = offsets[half - 1];
        const Offset upper = offsets[half];
        median = previous - lower < upper - previous ? lower : upper;
    }
    this->lastOffset = median;
    return ownTime + std::chrono::duration_cast<WallTime::duration>(median - ownOffset);
}

} // namespace hemlock
