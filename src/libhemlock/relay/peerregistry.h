#pragma once

#include "kvaccess.h"
#include "periodictask.h"
#include "relay/storepollrouter.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace hemlock {

/// Order in which the entry VMs of an availability zone take over work for their neighbours: the strongest first, of
/// equally strong ones the one that has run longest.
struct PeerRank
{
    double cpuShare = 0.0; ///< Processor cores of the VM.
    std::chrono::system_clock::time_point started; ///< Start of the process by its own clock.

    bool operator<(const PeerRank &other) const
    {
        return std::tuple(-this->cpuShare, this->started) < std::tuple(-other.cpuShare, other.started);
    }
};

/// Registers this entry VM in the key-value store under a lease and tracks the other entry VMs by their records.
class PeerRegistry
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// @p prefix of the record keys ends with a slash; @p address is the "IP:PORT" where this VM receives datagrams and
    /// @p controlAddress the one of its HTTP server for peers.
    PeerRegistry(KvAccess kv,
                 std::string prefix,
                 std::string node,
                 std::string address,
                 std::string zone,
                 std::string controlAddress = {},
                 PeerRank rank = {});

    /// Registers this VM or renews its lease when that is due. @p random is uniform in [0, 1) and jitters the interval.
    void tick(TimePoint now, double random);

    /// A record below the prefix was written, or removed when the value is empty.
    void recordChanged(const std::string &key, const std::string &value, TimePoint now);

    /// Notes a datagram of a known peer, which then counts as alive for a few seconds even without a record.
    void datagramReceived(const std::string &peer, const PeerRank &rank, TimePoint now);

    /// Whether there are so many other entry VMs that they exchange updates by availability zone.
    bool isLargeFleet(TimePoint now) const;

    /// Returns the peer of this VM's availability zone that takes over work for its neighbours: the first one by rank
    /// that sent a datagram in the last moments and is not in @p excluded. Unset if this VM ranks before it, or in a
    /// small fleet.
    std::optional<StoreReader> storeReader(const std::set<std::string> &excluded, TimePoint now) const;

    const PeerRank &rank() const;

    /// Addresses of the other entry VMs.
    std::set<std::string> addresses(TimePoint now) const;

    /// Names of the other entry VMs.
    std::set<std::string> nodes(TimePoint now) const;

    /// Addresses of the other entry VMs in an availability zone.
    std::set<std::string> addressesInZone(const std::string &zone, TimePoint now) const;

    /// Addresses of the other entry VMs by availability zone, in the order of their names.
    std::map<std::string, std::vector<std::string>> addressesByZone(TimePoint now) const;

    /// Datagram address of a node; empty for an unknown node.
    std::string addressOf(const std::string &node) const;

    /// Number of other entry VMs in an availability zone that sent a datagram since a time.
    std::size_t countHeardInZone(const std::string &zone, TimePoint since) const;

    /// Like countHeardInZone(), but only VMs whose names sort before this one's. Shorter names sort first.
    std::size_t countHeardBeforeSelf(const std::string &zone, TimePoint since) const;

    /// Number of other entry VMs that are registered or sent a datagram in the last few seconds.
    std::size_t count(TimePoint now) const;

    const std::string &prefix() const;

    /// Deletes the record of this VM.
    void unregister();

    /// The store was restored from an older copy and may have lost this VM's record, which is written again.
    void storeRestored();

private:
    struct Peer
    {
        std::string address;
        std::string zone;
        std::string controlAddress;
        PeerRank rank;
        bool isRegistered = false;
        TimePoint lastHeard;
    };

    bool isAlive(const Peer &peer, TimePoint now) const;
    void registerSelf();
    void keepAlive();

    KvAccess kv;
    std::string keyPrefix;
    std::string node;
    std::string address;
    std::string zone;
    std::string controlAddress;
    PeerRank ownRank;
    PeriodicTask task;
    std::map<std::string, Peer> peers;
    std::int64_t lease = 0;
    int restores = 0; ///< Number of calls of storeRestored().
    bool isCallPending = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); ///< Lets pending callbacks detect the destruction.
};

} // namespace hemlock
