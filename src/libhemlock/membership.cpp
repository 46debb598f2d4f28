#include "membership.h"

#include <algorithm>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds shortestHeartbeatInterval{1000};
/// The fleet's heartbeats then stay at 20 a second, which bounds each node's gossip whatever the size.
constexpr std::chrono::milliseconds heartbeatIntervalPerNode{50};
/// A member is silent when that many of its heartbeats are missing, plus the time that news needs to spread.
constexpr int missedHeartbeats = 4;
constexpr std::chrono::milliseconds spreadTime{1500};
/// Silent members are remembered for this many silence limits, so that late gossip does not bring them back.
constexpr int rememberedSilences = 10;
/// Share of rounds in which one message goes to a silent member.
constexpr double silentTargetShare = 0.1;

} // namespace

Membership::Membership(const Peer &self, std::int64_t firstHeartbeat, TimePoint now)
    : selfId(self.id)
    , now(now)
    , nextBeat(now)
{
    this->known[self.id] = {self, firstHeartbeat, firstHeartbeat, false, now};
    this->wholeSends[self.id] = gossipSendCount(1);
}

void Membership::tick(TimePoint time)
{
    this->now = time;
    this->countLive();
    Member &self = this->known.at(this->selfId);
    self.lastAdvance = time;
    if (time >= this->nextBeat) {
        this->nextBeat = time + this->heartbeatInterval();
        ++self.heartbeat;
        this->spread(this->selfId);
    }
    const auto longest = this->silenceLimit() * rememberedSilences;
    std::erase_if(this->known, [&](const auto &item) { return time - item.second.lastAdvance > longest; });
}

void Membership::learn(const Peer &peer, std::int64_t heartbeat, TimePoint time)
{
    this->now = std::max(this->now, time);
    if (peer.id != this->selfId)
        this->takeRecord({peer, heartbeat, heartbeat, false, this->now});
}

void Membership::leave()
{
    Member &self = this->known.at(this->selfId);
    self.recordHeartbeat = ++self.heartbeat;
    self.hasLeft = true;
    this->wholeSends[this->selfId] = gossipSendCount(this->liveCount);
    this->spread(this->selfId);
}

json Membership::takeNews(std::size_t limit)
{
    json news = json::array();
    for (const std::string &id : this->queue.take(limit)) {
        const auto member = this->known.find(id);
        if (member == this->known.end())
            continue;
        const auto whole = this->wholeSends.find(id);
        news.push_back(whole == this->wholeSends.end() ? this->shortEntry(member->second)
                                                       : this->wholeEntry(member->second));
        if (whole != this->wholeSends.end() && --whole->second <= 0)
            this->wholeSends.erase(whole);
    }
    return news;
}

json Membership::records(const std::vector<std::string> &ids) const
{
    json records = json::array();
    for (const std::string &id : ids) {
        if (const auto member = this->known.find(id); member != this->known.end())
            records.push_back(this->wholeEntry(member->second));
    }
    return records;
}

std::vector<std::string> Membership::receive(const json &news, TimePoint time)
{
    this->now = std::max(this->now, time);
    std::vector<std::string> wanted;
    for (const json &entry : news) {
        const std::string id = entry.at(0);
        const std::int64_t heartbeat = entry.at(1);
        const std::int64_t recordHeartbeat = heartbeat - entry.at(2).get<std::int64_t>();
        if (entry.size() > 3) {
            const Peer peer{id, {entry.at(3)}, entry.at(4), entry.at(5)};
            this->takeRecord({peer, heartbeat, recordHeartbeat, entry.at(6).get<int>() != 0, this->now});
            continue;
        }
        const auto member = this->known.find(id);
        if (member == this->known.end() || member->second.recordHeartbeat < recordHeartbeat) {
            wanted.push_back(id);
        } else if (heartbeat > member->second.heartbeat) {
            member->second.heartbeat = heartbeat;
            member->second.lastAdvance = this->now;
            this->spread(id);
        }
    }
    return wanted;
}

void Membership::takeRecord(const Member &record)
{
    const auto member = this->known.find(record.peer.id);
    if (record.peer.id == this->selfId) {
        // News about this node from an earlier run: outbid it, or peers would ignore the heartbeats of this run.
        Member &self = member->second;
        if (record.heartbeat > self.heartbeat) {
            self.heartbeat = self.recordHeartbeat = record.heartbeat + 1;
            this->wholeSends[this->selfId] = gossipSendCount(this->liveCount);
            this->spread(this->selfId);
        }
        return;
    }
    if (member != this->known.end() && record.heartbeat <= member->second.heartbeat)
        return;
    const bool isNews = member == this->known.end() || record.recordHeartbeat > member->second.recordHeartbeat;
    this->known[record.peer.id] = record;
    if (isNews)
        this->wholeSends[record.peer.id] = gossipSendCount(this->liveCount);
    this->spread(record.peer.id);
}

void Membership::spread(const std::string &id)
{
    this->queue.add(id, gossipSendCount(this->liveCount));
}

std::vector<Peer> Membership::livePeers() const
{
    std::vector<Peer> peers;
    for (const auto &[id, member] : this->known) {
        if (id != this->selfId && this->isLive(member))
            peers.push_back(member.peer);
    }
    return peers;
}

bool Membership::isZoneWatcher() const
{
    const AvailabilityZone &zone = this->known.at(this->selfId).peer.zone;
    for (const auto &[id, member] : this->known) {
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
    for (const auto &[id, member] : this->known) {
        if (id != this->selfId && !member.hasLeft)
            (this->isLive(member) ? live : silent).push_back(member.peer);
    }
    const auto pick = [&random](std::size_t size) {
        return std::min(static_cast<std::size_t>(random() * static_cast<double>(size)), size - 1);
    };
    std::vector<Peer> targets;
    if (!silent.empty() && (live.empty() || random() < silentTargetShare))
        targets.push_back(silent[pick(silent.size())]);
    while (targets.size() < count && !live.empty()) {
        const std::size_t index = pick(live.size());
        targets.push_back(live[index]);
        live.erase(live.begin() + static_cast<std::ptrdiff_t>(index));
    }
    return targets;
}

std::int64_t Membership::heartbeat() const
{
    return this->known.at(this->selfId).heartbeat;
}

std::size_t Membership::size() const
{
    return this->liveCount;
}

std::chrono::milliseconds Membership::heartbeatInterval() const
{
    return std::max(shortestHeartbeatInterval, heartbeatIntervalPerNode * static_cast<int>(this->liveCount));
}

std::chrono::milliseconds Membership::silenceLimit() const
{
    return this->heartbeatInterval() * missedHeartbeats + spreadTime;
}

const std::map<std::string, Membership::Member> &Membership::members() const
{
    return this->known;
}

bool Membership::isLive(const Member &member) const
{
    if (member.hasLeft)
        return false;
    return member.peer.id == this->selfId || this->now - member.lastAdvance <= this->silenceLimit();
}

void Membership::countLive()
{
    std::size_t count = 0;
    for (const auto &[id, member] : this->known)
        count += this->isLive(member) ? 1 : 0;
    this->liveCount = std::max<std::size_t>(1, count);
}

json Membership::shortEntry(const Member &member) const
{
    return {member.peer.id, member.heartbeat, member.heartbeat - member.recordHeartbeat};
}

json Membership::wholeEntry(const Member &member) const
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
