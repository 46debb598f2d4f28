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

/// Detects which entry VMs are alive, by heartbeat counters that the control processes exchange by gossip.
class Membership
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Member
    {
        Peer peer;
        std::int64_t heartbeat = 0; ///< Increases while the member is alive, also across restarts.
        std::int64_t recordHeartbeat = 0; ///< Heartbeat at which the member last changed its record.
        bool hasLeft = false;
        TimePoint lastHeartbeatChange; ///< When this node last saw the heartbeat increase.
    };

    /// @p firstHeartbeat must exceed all heartbeats of earlier runs; the seconds since 1970 do.
    Membership(const Peer &self, std::int64_t firstHeartbeat, TimePoint now);

    /// Increments this node's heartbeat when it is due, and removes members that have been silent for very long.
    void tick(TimePoint now);

    /// Merges a member's record from the store, with the heartbeat at its registration.
    void mergeStoreRecord(const Peer &peer, std::int64_t heartbeat, TimePoint now);

    /// Marks this node's record as left and queues it for gossip.
    void leave();

    /// Takes up to @p limit updates for the next message from the queue: heartbeats or full records, as JSON arrays.
    nlohmann::json takeMemberUpdates(std::size_t limit);

    /// Full records of members that a peer requested.
    nlohmann::json records(const std::vector<std::string> &ids) const;

    /// Merges a peer's updates; returns the identifiers of members whose current record this node lacks.
    std::vector<std::string> receive(const nlohmann::json &updates, TimePoint now);

    /// Members that are alive, excluding this node.
    std::vector<Peer> livePeers() const;

    /// Whether this node has the lowest identifier among the live members of its zone.
    bool isZoneWatcher() const;

    /// Up to @p count different random peers to send to; occasionally a silent one, to detect that a network partition
    /// has healed. @p random is uniform in [0, 1).
    std::vector<Peer> chooseTargets(std::size_t count, const std::function<double()> &random) const;

    /// Current heartbeat of this node, for its record in the store.
    std::int64_t heartbeat() const;

    /// Number of live members, including this node.
    std::size_t size() const;

    /// Interval of a node's heartbeats; grows with the number of live members.
    std::chrono::milliseconds heartbeatInterval() const;
    /// A member whose heartbeat has not increased for longer than this is silent, and no longer live.
    std::chrono::milliseconds silenceLimit() const;

    /// All known members by identifier, including this node and members that are silent or have left.
    const std::map<std::string, Member> &members() const;
    /// Whether the member has not left and is not silent; always true for this node unless it has left.
    bool isLive(const Member &member) const;

private:
    void mergeRecord(const Member &record);
    void updateLiveCount();
    nlohmann::json heartbeatEntry(const Member &member) const;
    nlohmann::json recordEntry(const Member &member) const;
    void queueUpdate(const std::string &id);

    std::string selfId;
    std::map<std::string, Member> knownMembers;
    /// How often a member's full record is still sent, by identifier; without an entry only its heartbeat is sent.
    std::map<std::string, int> remainingFullSends;
    GossipQueue queue;
    TimePoint now;
    TimePoint nextHeartbeat;
    std::size_t liveCount = 1;
};

} // namespace hemlock
