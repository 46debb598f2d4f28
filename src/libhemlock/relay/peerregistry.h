#pragma once

#include "kvaccess.h"
#include "periodictask.h"

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace hemlock {

/// Registers this entry VM in the store under a lease, and knows the others by their records.
class PeerRegistry
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// @p prefix ends with a slash; @p address is where this VM receives datagrams.
    PeerRegistry(KvAccess kv, std::string prefix, std::string node, std::string address, std::string zone);

    void tick(TimePoint now, double random);

    /// A record below the prefix was written, or removed when the value is empty.
    void recordChanged(const std::string &key, const std::string &value, TimePoint now);

    /// A peer's datagram arrived: it lives, whatever its record says.
    void datagramReceived(const std::string &peer, TimePoint now);

    /// Addresses of the other entry VMs.
    std::set<std::string> addresses(TimePoint now) const;

    /// Addresses of the other entry VMs in an availability zone.
    std::set<std::string> addressesInZone(const std::string &zone, TimePoint now) const;

    /// Addresses of the other entry VMs by availability zone, in the order of their names.
    std::map<std::string, std::vector<std::string>> addressesByZone(TimePoint now) const;

    /// Empty for an unknown node.
    std::string addressOf(const std::string &node) const;

    /// Number of other entry VMs in an availability zone that were heard of since a time.
    std::size_t countHeardInZone(const std::string &zone, TimePoint since) const;

    /// The same, of those whose names come before the own one. Shorter names come first.
    std::size_t countHeardBeforeSelf(const std::string &zone, TimePoint since) const;

    /// Number of other entry VMs that are registered or were heard of just now.
    std::size_t count(TimePoint now) const;

    const std::string &prefix() const;

    /// Ends the own record.
    void unregister();

private:
    struct Peer
    {
        std::string address;
        std::string zone;
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
    PeriodicTask task;
    std::map<std::string, Peer> peers;
    std::int64_t lease = 0;
    bool isCallPending = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace hemlock
