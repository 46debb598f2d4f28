#pragma once

#include "gossipqueue.h"
#include "snapshot.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace hemlock {

/// Which entry VMs are alive, by heartbeat counters that control processes pass on to each other.
class Membership
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Member
    {
        Peer peer;
        std::int64_t heartbeat = 0; ///< Grows while the member lives, also over its restarts.
        std::int64_t recordHeartbeat = 0; ///< Heartbeat at which the member last changed its record.
        bool hasLeft = false;
        TimePoint lastHeartbeatChange; ///< When this node last saw the heartbeat grow.
    };

    /// @p firstHeartbeat is above all heartbeats of earlier runs, such as the seconds since 1970.
    Membership(const Peer &self, std::int64_t firstHeartbeat, TimePoint now);

    /// Advances the own heartbeat when it is time and forgets members that have been silent for very long.
    void tick(TimePoint now);

    /// Notes a member that the store lists, with the heartbeat that it registered with.
    void mergeStoreRecord(const Peer &peer, std::int64_t heartbeat, TimePoint now);

    /// Makes the own record say that this member leaves.
    void leave();

    /// Up to @p limit pieces of news for the next message, as JSON arrays.
    nlohmann::json takeMemberUpdates(std::size_t limit);

    /// Whole records of members that a peer asked for.
    nlohmann::json records(const std::vector<std::string> &ids) const;

    /// Takes over a peer's news; returns the identifiers whose whole record this node lacks.
    std::vector<std::string> receive(const nlohmann::json &updates, TimePoint now);

    /// Members that are alive, without this node.
    std::vector<Peer> livePeers() const;

    /// Whether this node has the lowest identifier of its zone's live members.
    bool isZoneWatcher() const;

    /// Up to @p count different peers to send to; now and then a silent one, so that a healed partition is noticed.
    std::vector<Peer> chooseTargets(std::size_t count, const std::function<double()> &random) const;

    /// Heartbeat that the own record in the store carries.
    std::int64_t heartbeat() const;

    /// Live members with this node.
    std::size_t size() const;

    std::chrono::milliseconds heartbeatInterval() const;
    std::chrono::milliseconds silenceLimit() const;

    const std::map<std::string, Member> &members() const;
    bool isLive(const Member &member) const;

private:
    void mergeRecord(const Member &record);
    void updateLiveCount();
    nlohmann::json heartbeatEntry(const Member &member) const;
    nlohmann::json recordEntry(const Member &member) const;
    void queueUpdate(const std::string &id);

    std::string selfId;
    std::map<std::string, Member> knownMembers;
    std::map<std::string, int> remainingFullSends; ///< Members whose whole record is still sent, by remaining sends.
    GossipQueue queue;
    TimePoint now;
    TimePoint nextHeartbeat;
    std::size_t liveCount = 1;
};

} // namespace hemlock
