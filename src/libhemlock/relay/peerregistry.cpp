#include "relay/peerregistry.h"

#include "logger.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <tuple>

namespace hemlock {

namespace {

/// Outlasts an ordinary outage of the store. A dead VM is detected earlier, as its datagrams stop.
constexpr std::chrono::seconds recordTtl{30};
constexpr std::chrono::milliseconds renewInterval{8000};

/// A peer without a record counts as alive for this long after its last datagram.
constexpr std::chrono::seconds unregisteredTimeout{5};

/// With more peers than this, updates are exchanged by availability zone.
constexpr std::size_t maxSmallFleetPeers = 8;

/// A peer without a datagram for this long takes over no work for its neighbours. Peers send five a second.
constexpr std::chrono::milliseconds readerTimeout{700};

} // namespace

PeerRegistry::PeerRegistry(KvAccess kv,
                           std::string prefix,
                           std::string node,
                           std::string address,
                           std::string zone,
                           std::string controlAddress,
                           PeerRank rank)
    : kv(std::move(kv))
    , keyPrefix(std::move(prefix))
    , node(std::move(node))
    , address(std::move(address))
    , zone(std::move(zone))
    , controlAddress(std::move(controlAddress))
    , ownRank(rank)
{
}

void PeerRegistry::tick(TimePoint now, double random)
{
    if (this->isCallPending || !this->task.isDue(now, renewInterval, random))
        return;
    if (this->lease == 0)
        this->registerSelf();
    else
        this->keepAlive();
}

void PeerRegistry::recordChanged(const std::string &key, const std::string &value, TimePoint now)
{
    const std::string name = key.substr(std::min(key.size(), this->keyPrefix.size()));
    if (name == this->node)
        return;
    Peer &peer = this->peers[name];
    peer.isRegistered = false;
    if (!value.empty()) {
        try {
            const auto record = nlohmann::json::parse(value);
            record.at("address").get_to(peer.address);
            record.at("zone").get_to(peer.zone);
            peer.controlAddress = record.value("control", "");
            peer.isRegistered = true;
        } catch (const std::exception &error) {
            logEvent(LogLevel::Warning, "peer-record", {{"key", key}, {"error", error.what()}});
        }
    }
    std::erase_if(this->peers, [this, now](const auto &entry) { return !this->isAlive(entry.second, now); });
}

void PeerRegistry::datagramReceived(const std::string &peer, const PeerRank &rank, TimePoint now)
{
    const auto found = this->peers.find(peer);
    if (found == this->peers.end())
        return;
    found->second.rank = rank;
    found->second.lastHeard = now;
}

bool PeerRegistry::isLargeFleet(TimePoint now) const
{
    return this->count(now) > maxSmallFleetPeers;
}

std::optional<StoreReader> PeerRegistry::storeReader(const std::set<std::string> &excluded, TimePoint now) const
{
    if (!this->isLargeFleet(now))
        return std::nullopt;
    std::optional<StoreReader> reader;
    auto first = std::tuple(this->ownRank, this->node);
    for (const auto &[name, peer] : this->peers) {
        if (peer.zone != this->zone || peer.controlAddress.empty() || now - peer.lastHeard > readerTimeout
            || excluded.contains(name))
            continue;
        const auto candidate = std::tuple(peer.rank, name);
        if (!(candidate < first))
            continue;
        first = candidate;
        reader = StoreReader{name, peer.controlAddress};
    }
    return reader;
}

const PeerRank &PeerRegistry::rank() const
{
    return this->ownRank;
}

bool PeerRegistry::isAlive(const Peer &peer, TimePoint now) const
{
    return peer.isRegistered || now - peer.lastHeard < unregisteredTimeout;
}

std::set<std::string> PeerRegistry::addresses(TimePoint now) const
{
    std::set<std::string> addresses;
    for (const auto &[name, peer] : this->peers) {
        if (this->isAlive(peer, now))
            addresses.insert(peer.address);
    }
    return addresses;
}

std::set<std::string> PeerRegistry::nodes(TimePoint now) const
{
    std::set<std::string> nodes;
    for (const auto &[name, peer] : this->peers) {
        if (this->isAlive(peer, now))
            nodes.insert(name);
    }
    return nodes;
}

std::set<std::string> PeerRegistry::addressesInZone(const std::string &wantedZone, TimePoint now) const
{
    std::set<std::string> addresses;
    for (const auto &[name, peer] : this->peers) {
        if (peer.zone == wantedZone && this->isAlive(peer, now))
            addresses.insert(peer.address);
    }
    return addresses;
}

std::map<std::string, std::vector<std::string>> PeerRegistry::addressesByZone(TimePoint now) const
{
    std::map<std::string, std::vector<std::string>> addresses;
    for (const auto &[name, peer] : this->peers) {
        if (this->isAlive(peer, now))
            addresses[peer.zone].push_back(peer.address);
    }
    return addresses;
}

std::string PeerRegistry::addressOf(const std::string &wantedNode) const
{
    const auto found = this->peers.find(wantedNode);
    return found == this->peers.end() ? std::string() : found->second.address;
}

std::size_t PeerRegistry::countHeardInZone(const std::string &wantedZone, TimePoint since) const
{
    return static_cast<std::size_t>(
        std::count_if(this->peers.begin(), this->peers.end(), [&wantedZone, since](const auto &peer) {
            return peer.second.zone == wantedZone && peer.second.lastHeard >= since;
        }));
}

std::size_t PeerRegistry::countHeardBeforeSelf(const std::string &wantedZone, TimePoint since) const
{
    return static_cast<std::size_t>(
        std::count_if(this->peers.begin(), this->peers.end(), [this, &wantedZone, since](const auto &peer) {
            const auto &name = peer.first;
            return peer.second.zone == wantedZone && peer.second.lastHeard >= since
                && std::tuple(name.size(), name) < std::tuple(this->node.size(), this->node);
        }));
}

std::size_t PeerRegistry::count(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->peers.begin(), this->peers.end(), [this, now](const auto &peer) {
            return this->isAlive(peer.second, now);
        }));
}

const std::string &PeerRegistry::prefix() const
{
    return this->keyPrefix;
}

void PeerRegistry::registerSelf()
{
    this->isCallPending = true;
    this->kv.grantLease(recordTtl, [this, alive = std::weak_ptr<bool>(this->alive)](const KvLeaseResult &grant) {
        if (alive.expired())
            return;
        this->isCallPending = false;
        if (grant.status != KvStatus::Ok || grant.lease == 0)
            return this->task.expedite();
        KvTxn txn;
        const nlohmann::json record = {
            {"address", this->address}, {"zone", this->zone}, {"control", this->controlAddress}};
        txn.puts.push_back({this->keyPrefix + this->node, record.dump(), grant.lease});
        this->isCallPending = true;
        this->kv.txn(txn, [this, alive, lease = grant.lease, begun = this->restores](const KvTxnResult &result) {
            if (alive.expired())
                return;
            this->isCallPending = false;
            // Identifiers of lost leases may be given out again, to another owner.
            if (result.status == KvStatus::Ok && begun == this->restores)
                this->lease = lease;
            else
                this->task.expedite();
        });
    });
}

void PeerRegistry::keepAlive()
{
    this->isCallPending = true;
    this->kv.keepLeaseAlive(this->lease, [this, alive = std::weak_ptr<bool>(this->alive)](const KvLeaseResult &result) {
        if (alive.expired())
            return;
        this->isCallPending = false;
        if (result.status != KvStatus::Ok || result.ttl.count() > 0)
            return;
        this->lease = 0;
        this->task.expedite();
    });
}

void PeerRegistry::storeRestored()
{
    this->lease = 0;
    ++this->restores;
    this->task.expedite();
}

void PeerRegistry::unregister()
{
    KvTxn txn;
    txn.deletes.push_back(this->keyPrefix + this->node);
    this->kv.txn(txn, [](const KvTxnResult &) {});
}

} // namespace hemlock
