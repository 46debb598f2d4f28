#include "membership.h"

#include <algorithm>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds minHeartbeatInterval{1000};
/// Limits the fleet to 20 heartbeats a second, which bounds each node's gossip traffic at any fleet size.
constexpr std::chrono::milliseconds heartbeatIntervalPerNode{50};
/// A member is silent after this many missed heartbeats plus the time that an update needs to propagate.
constexpr int missedHeartbeats = 4;
constexpr std::chrono::milliseconds propagationTime{1500};
/// Silent members are kept for this many silence limits, so that late gossip does not mark them as live again.
constexpr int silenceLimitsUntilForgotten = 10;
/// Probability that one message of a gossip round goes to a silent member.
constexpr double silentTargetProbability = 0.1;

} // namespace

Membership::Membership(const Peer &self, std::int64_t firstHeartbeat, TimePoint now)
    : selfId(self.id)
    , now(now)
    , nextHeartbeat(now)
{
    this->knownMembers[self.id] = {self, firstHeartbeat, firstHeartbeat, false, now};
    this->remainingFullSends[self.id] = gossipSendCount(1);
}

void Membership::tick(TimePoint time)
{
    this->now = time;
    this->updateLiveCount();
    Member &self = this->knownMembers.at(this->selfId);
    self.lastHeartbeatChange = time;
    if (time >= this->nextHeartbeat) {
        this->nextHeartbeat = time + this->heartbeatInterval();
        ++self.heartbeat;
        this->queueUpdate(this->selfId);
    }
    const auto retention = this->silenceLimit() * silenceLimitsUntilForgotten;
    std::erase_if(this->knownMembers,
                  [&](const auto &item) { return time - item.second.lastHeartbeatChange > retention; });
}

void Membership::mergeStoreRecord(const Peer &peer, std::int64_t heartbeat, TimePoint time)
{
    this->now = std::max(this->now, time);
    if (peer.id != this->selfId)
        this->mergeRecord({peer, heartbeat, heartbeat, false, this->now});
}

void Membership::leave()
{
    Member &self = this->knownMembers.at(this->selfId);
    self.recordHeartbeat = ++self.heartbeat;
    self.hasLeft = true;
    this->remainingFullSends[this->selfId] = gossipSendCount(this->liveCount);
    this->queueUpdate(this->selfId);
}

json Membership::takeMemberUpdates(std::size_t limit)
{
    json updates = json::array();
    for (const std::string &id : this->queue.take(limit)) {
        const auto member = this->knownMembers.find(id);
        if (member == this->knownMembers.end())
            continue;
        const auto fullSends = this->remainingFullSends.find(id);
        updates.push_back(fullSends == this->remainingFullSends.end() ? this->heartbeatEntry(member->second)
                                                                      : this->recordEntry(member->second));
        if (fullSends != this->remainingFullSends.end() && --fullSends->second <= 0)
            this->remainingFullSends.erase(fullSends);
    }
    return updates;
}

json Membership::records(const std::vector<std::string> &ids) const
{
    json records = json::array();
    for (const std::string &id : ids) {
        if (const auto member = this->knownMembers.find(id); member != this->knownMembers.end())
            records.push_back(this->recordEntry(member->second));
    }
    return records;
}

std::vector<std::string> Membership::receive(const json &updates, TimePoint time)
{
    this->now = std::max(this->now, time);
    std::vector<std::string> missingRecordIds;
    for (const json &entry : updates) {
        const std::string id = entry.at(0);
        const std::int64_t heartbeat = entry.at(1);
        const std::int64_t recordHeartbeat = heartbeat - entry.at(2).get<std::int64_t>();
        if (entry.size() > 3) {
            const Peer peer{id, {entry.at(3)}, entry.at(4), entry.at(5)};
            this->mergeRecord({peer, heartbeat, recordHeartbeat, entry.at(6).get<int>() != 0, this->now});
            continue;
        }
        const auto member = this->knownMembers.find(id);
        if (member == this->knownMembers.end() || member->second.recordHeartbeat < recordHeartbeat) {
            missingRecordIds.push_back(id);
        } else if (heartbeat > member->second.heartbeat) {
            member->second.heartbeat = heartbeat;
            member->second.lastHeartbeatChange = this->now;
            this->queueUpdate(id);
        }
    }
    return missingRecordIds;
}

void Membership::mergeRecord(const Member &record)
{
    const auto member = this->knownMembers.find(record.peer.id);
    if (record.peer.id == this->selfId) {
        // A record of this node from an earlier run: exceed its heartbeat, or peers would ignore those of this run.
        Member &self = member->second;
        if (record.heartbeat > self.heartbeat) {
            self.heartbeat = self.recordHeartbeat = record.heartbeat + 1;
            this->remainingFullSends[this->selfId] = gossipSendCount(this->liveCount);
            this->queueUpdate(this->selfId);
        }
        return;
    }
    if (member != this->knownMembers.end() && record.heartbeat <= member->second.heartbeat)
        return;
    const bool isNewRecord =
        member == this->knownMembers.end() || record.recordHeartbeat > member->second.recordHeartbeat;
    this->knownMembers[record.peer.id] = record;
    if (isNewRecord)
        this->remainingFullSends[record.peer.id] = gossipSendCount(this->liveCount);
    this->queueUpdate(record.peer.id);
}

void Membership::queueUpdate(const std::string &id)
{
    this->queue.add(id, gossipSendCount(this->liveCount));
}

std::vector<Peer> Membership::livePeers() const
{
    std::vector<Peer> peers;
    for (const auto &[id, member] : this->knownMembers) {
        if (id != this->selfId && this->isLive(member))
            peers.push_back(member.peer);
    }
    return peers;
}

bool Membership::isZoneWatcher() const
{
    const AvailabilityZone &zone = this->knownMembers.at(this->selfId).peer.zone;
    for (const auto &[id, member] : this->knownMembers) {
        // Members are sorted by identifier, so the first live one of the zone is the lowest.
        if (member.peer.zone == zone && this->isLive(member))
            return id == this->selfId;
    }
    return true;
}

std::vector<Peer> Membership::chooseTargets(std::size_t count, const std::function<double()> &random) const
{
    std::vector<Peer> live;
    std::vector<Peer> silent;
    for (const auto &[id, member] : this->knownMembers) {
        if (id != this->selfId && !member.hasLeft)
            (this->isLive(member) ? live : silent).push_back(member.peer);
    }
    const auto randomIndex = [&random](std::size_t size) {
        return std::min(static_cast<std::size_t>(random() * static_cast<double>(size)), size - 1);
    };
    std::vector<Peer> targets;
    if (!silent.empty() && (live.empty() || random() < silentTargetProbability))
        targets.push_back(silent[randomIndex(silent.size())]);
    while (targets.size() < count && !live.empty()) {
        const std::size_t index = randomIndex(live.size());
        targets.push_back(live[index]);
        live.erase(live.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return targets;
}

std::int64_t Membership::heartbeat() const
{
    return this->knownMembers.at(this->selfId).heartbeat;
}

std::size_t Membership::size() const
{
    return this->liveCount;
}

std::chrono::milliseconds Membership::heartbeatInterval() const
{
    return std::max(minHeartbeatInterval, heartbeatIntervalPerNode * static_cast<int>(this->liveCount));
}

std::chrono::milliseconds Membership::silenceLimit() const
{
    return this->heartbeatInterval() * missedHeartbeats + propagationTime;
}

const std::map<std::string, Membership::Member> &Membership::members() const
{
    return this->knownMembers;
}

bool Membership::isLive(const Member &member) const
{
    if (member.hasLeft)
        return false;
    return member.peer.id == this->selfId || this->now - member.lastHeartbeatChange <= this->silenceLimit();
}

void Membership::updateLiveCount()
{
    std::size_t count = 0;
    for (const auto &[id, member] : this->knownMembers)
        count += this->isLive(member) ? 1 : 0;
    this->liveCount = std::max<std::size_t>(1, count);
}

json Membership::heartbeatEntry(const Member &member) const
{
    return {member.peer.id, member.heartbeat, member.heartbeat - member.recordHeartbeat};
}

json Membership::recordEntry(const Member &member) const
{
    const Peer &peer = member.peer;
    return {peer.id,
            member.heartbeat,
            member.heartbeat - member.recordHeartbeat,
            peer.zone.name,
            peer.entryControlAddress,
            peer.controlAddress,
            member.hasLeft ? 1 : 0};
}

} // namespace hemlock
