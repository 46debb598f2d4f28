#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace hemlock {

/// Time of day as the median of the clocks of all entry VMs, so that a clock step on a minority of them has no effect.
/// With an even number of clocks, the one of the two middle values that is closer to the previous result is used.
class MedianClock
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using WallTime = std::chrono::system_clock::time_point;

    /// Stores the time of day that a message of @p peer carried and that arrived at @p now.
    void addPeerTime(const std::string &peer, WallTime peerTime, TimePoint now);

    /// Returns the median of this VM's clock (@p ownTime) and the clocks of the peers with a recent message.
    WallTime timeOfDay(WallTime ownTime, TimePoint now);

private:
    using Offset = std::chrono::nanoseconds;

    struct Peer
    {
        Offset offset{0}; ///< The peer's time of day minus this VM's steady clock.
        TimePoint receivedAt;
    };

    std::map<std::string, Peer> peers;
    std::optional<Offset> lastOffset; ///< Median of the previous timeOfDay().
};

} // namespace hemlock
