#include "memberregistry.h"

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::string_view membersPrefix = "members/";
/// Limits the whole fleet to ten keep-alives a second. Gossip detects a dead node before its lease expires.
constexpr std::chrono::milliseconds minKeepAliveInterval{3000};
constexpr std::chrono::milliseconds keepAliveIntervalPerNode{100};
/// Keep-alive intervals in one lease duration.
constexpr int keepAlivesPerLease = 3;
/// The list is read to discover nodes that gossip does not reach, for example after a network partition.
constexpr std::chrono::milliseconds minReadInterval{2000};
constexpr std::chrono::milliseconds readIntervalPerNode{300};

std::string memberKey(const Peer &peer)
{
    return std::string(membersPrefix) + peer.id;
}

} // namespace

MemberRegistry::MemberRegistry(const ControlIo &io, const Peer &self, Membership &membership)
    : io(io)
    , self(self)
    , membership(membership)
{
}

void MemberRegistry::tick(TimePoint now, const FleetRole &role)
{
    const auto interval = fleetInterval(role, minKeepAliveInterval, keepAliveIntervalPerNode);
    if (!this->isUpdatingLease && this->keepAliveTask.isDue(now, interval, this->io.random())) {
        if (this->lease == 0)
            this->registerSelf(role);
        else
            this->keepAlive();
    }
    if (!this->isReadingMembers
        && this->readTask.isDue(now, fleetInterval(role, minReadInterval, readIntervalPerNode), this->io.random()))
        this->readMembers();
}

void MemberRegistry::registerSelf(const FleetRole &role)
{
    this->isUpdatingLease = true;
    const auto ttl = std::chrono::ceil<std::chrono::seconds>(
        fleetInterval(role, minKeepAliveInterval, keepAliveIntervalPerNode) * keepAlivesPerLease);
    this->io.kv.grantLease(ttl, [this, alive = std::weak_ptr<bool>(this->alive)](const KvLeaseResult &grant) {
        if (alive.expired())
            return;
        if (grant.status != KvStatus::Ok || grant.lease == 0) {
            this->isUpdatingLease = false;
            return;
        }
        KvTxn txn;
        json record = this->self;
        record["heartbeat"] = this->membership.heartbeat();
        txn.puts.push_back({memberKey(this->self), record.dump(), grant.lease});
        this->io.kv.txn(txn, [this, alive, lease = grant.lease](const KvTxnResult &result) {
            if (alive.expired())
                return;
            this->isUpdatingLease = false;
            if (result.status == KvStatus::Ok)
                this->lease = lease;
        });
    });
}

void MemberRegistry::keepAlive()
{
    this->isUpdatingLease = true;
    this->io.kv.keepLeaseAlive(this->lease,
                               [this, alive = std::weak_ptr<bool>(this->alive)](const KvLeaseResult &result) {
                                   if (alive.expired())
                                       return;
                                   this->isUpdatingLease = false;
                                   if (result.status != KvStatus::Ok || result.ttl.count() > 0)
                                       return;
                                   // The lease has expired, and the store has deleted the record.
                                   this->lease = 0;
                                   this->keepAliveTask.expedite();
                               });
}

void MemberRegistry::readMembers()
{
    this->isReadingMembers = true;
    this->io.kv.range(
        std::string(membersPrefix),
        true,
        [this, alive = std::weak_ptr<bool>(this->alive)](const KvRangeResult &result) {
            if (alive.expired())
                return;
            this->isReadingMembers = false;
            if (result.status != KvStatus::Ok)
                return;
            for (const KvEntry &entry : result.entries) {
                const json record = json::parse(entry.value, nullptr, false);
                try {
                    this->membership.mergeStoreRecord(record.get<Peer>(), record.at("heartbeat"), this->io.now());
                } catch (const json::exception &error) {
                    this->io.log(
                        LogLevel::Warning, "member-record-not-read", {{"key", entry.key}, {"reason", error.what()}});
                }
            }
        });
}

void MemberRegistry::leave()
{
    KvTxn txn;
    txn.deletes.push_back(memberKey(this->self));
    this->io.kv.txn(txn, [](const KvTxnResult &) {});
}

} // namespace hemlock
