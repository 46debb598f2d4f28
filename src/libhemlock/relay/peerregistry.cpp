#include "relay/peerregistry.h"

#include <algorithm>

namespace hemlock {

namespace {

/// Long enough to outlast an ordinary outage of the store; a death is noticed by the silence of its datagrams.
constexpr std::chrono::seconds recordTtl{30};
constexpr std::chrono::milliseconds renewInterval{8000};

/// A peer without a record is counted while it was heard of so long ago.
constexpr std::chrono::seconds heardTime{5};

} // namespace

PeerRegistry::PeerRegistry(KvAccess kv, std::string prefix, std::string node, std::string address)
    : kv(std::move(kv))
    , keyPrefix(std::move(prefix))
    , node(std::move(node))
    , address(std::move(address))
{
}

void PeerRegistry::tick(TimePoint now, double random)
{
    if (this->isCalling || !this->task.isDue(now, renewInterval, random))
        return;
    if (this->lease == 0)
        this->registerSelf();
    else
        this->keepAlive();
}

void PeerRegistry::recordSeen(const std::string &key, const std::string &peerAddress, TimePoint now)
{
    const std::string name = key.substr(std::min(key.size(), this->keyPrefix.size()));
    if (name == this->node)
        return;
    Peer &peer = this->peers[name];
    peer.isRegistered = !peerAddress.empty();
    if (peer.isRegistered)
        peer.address = peerAddress;
    std::erase_if(this->peers, [this, now](const auto &entry) { return !this->isAlive(entry.second, now); });
}

void PeerRegistry::heard(const std::string &peer, TimePoint now)
{
    if (const auto found = this->peers.find(peer); found != this->peers.end())
        found->second.heard = now;
}

bool PeerRegistry::isAlive(const Peer &peer, TimePoint now) const
{
    return peer.isRegistered || now - peer.heard < heardTime;
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
    this->isCalling = true;
    this->kv.grantLease(recordTtl, [this, alive = std::weak_ptr<bool>(this->alive)](const KvLeaseResult &grant) {
        if (alive.expired())
            return;
        this->isCalling = false;
        if (grant.status != KvStatus::Ok || grant.lease == 0)
            return this->task.expedite();
        KvTxn txn;
        txn.puts.push_back({this->keyPrefix + this->node, this->address, grant.lease});
        this->isCalling = true;
        this->kv.txn(txn, [this, alive, lease = grant.lease](const KvTxnResult &result) {
            if (alive.expired())
                return;
            this->isCalling = false;
            if (result.status == KvStatus::Ok)
                this->lease = lease;
            else
                this->task.expedite();
        });
    });
}

void PeerRegistry::keepAlive()
{
    this->isCalling = true;
    this->kv.keepLeaseAlive(this->lease, [this, alive = std::weak_ptr<bool>(this->alive)](const KvLeaseResult &result) {
        if (alive.expired())
            return;
        this->isCalling = false;
        if (result.status != KvStatus::Ok || result.ttl.count() > 0)
            return;
        this->lease = 0;
        this->task.expedite();
    });
}

void PeerRegistry::leave()
{
    KvTxn txn;
    txn.deletes.push_back(this->keyPrefix + this->node);
    this->kv.txn(txn, [](const KvTxnResult &) {});
}

} // namespace hemlock
