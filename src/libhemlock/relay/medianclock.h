#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace hemlock {

/// Time of day by the median of all entry VMs' clocks, so that a step of some of them does not show. When half of them
/// agree on one time and half on another, the one that is nearer to the time before counts.
class MedianClock
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using WallTime = std::chrono::system_clock::time_point;

    /// A peer's message that names its time of day arrived.
    void addPeerTime(const std::string &peer, WallTime peerTime, TimePoint now);

    /// Time of day, from the own clock's reading and the peers' that were heard of just now.
    WallTime timeOfDay(WallTime ownTime, TimePoint now);

private:
    using Offset = std::chrono::nanoseconds;

    struct Peer
    {
        Offset offset{0}; ///< Of its time of day to this VM's steady time.
        TimePoint receivedAt;
    };

    std::map<std::string, Peer> peers;
    std::optional<Offset> lastOffset; ///< As last returned.
};

} // namespace hemlock
