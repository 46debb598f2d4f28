#include "controlnode.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <utility>

namespace hemlock {

using nlohmann::json;

namespace {

/// The entry process gets a snapshot at this interval even if nothing has changed.
constexpr std::chrono::milliseconds pushInterval{800};
constexpr std::chrono::milliseconds pushRetryInterval{200};
constexpr std::chrono::milliseconds reportInterval{500};
constexpr std::chrono::milliseconds gossipInterval{1000};
constexpr std::size_t gossipFanout = 2;
/// Number of peers that are notified immediately of a new configuration. It is lower in larger fleets, where changes
/// are more frequent and traffic has to be saved. Regular gossip reaches the other peers.
constexpr std::size_t configFanoutSmall = 3;
constexpr std::size_t configFanoutLarge = 2;
/// Limits a message to about a kilobyte in normal operation.
constexpr std::size_t membersPerMessage = 40;
constexpr std::size_t upstreamsPerMessage = 20;
/// In larger fleets each zone's watcher notifies only the nodes of its own zone.
constexpr std::size_t maxSmallFleetSize = 16;
/// Number of peers from which a node requests the list of leaving and gone upstreams after its start.
constexpr std::size_t upstreamChangeSources = 3;

std::int64_t secondsSinceEpoch(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::seconds>(time.time_since_epoch()).count();
}

} // namespace

ControlNode::ControlNode(ControlNodeSettings settings, ControlIo io)
    : settings(std::move(settings))
    , io(std::move(io))
    , membership(this->settings.self, secondsSinceEpoch(this->io.wallClock()), this->io.now())
    , lifecycle(this->settings.upstreamChart,
                [this](const Upstream &upstream, const std::string &from, const std::string &event) {
                    this->hasUnpushedChanges = true;
                    this->io.log(LogLevel::Info,
                                 "upstream-state",
                                 {{"upstream", upstream.id},
                                  {"service", upstream.service},
                                  {"zone", upstream.zone.name},
                                  {"from", from},
                                  {"to", upstreamStateName(upstream.state)},
                                  {"reason", event}});
                })
    , config(this->io,
             this->settings.documentSchema,
             {[this] { this->announceConfig(); }, [this] { return this->contactAddresses(); }})
    , registry(this->io, this->settings.self, this->membership)
    , vmFeed(this->io,
             {[this](const std::vector<ListedVm> &listed) { this->lifecycle.applyList(listed, this->io.now()); },
              [this](const std::vector<VmFeed::Notice> &notices) { this->applyNotices(notices); }})
    , quarantine(this->io, this->settings.self.entryControlAddress, [this] { return this->directPeers(); })
{
}

void ControlNode::tick()
{
    const TimePoint now = this->io.now();
    this->membership.tick(now);
    const FleetRole role = this->role();
    this->lifecycle.setNodeCount(role.nodes);
    this->registry.tick(now, role);
    this->config.tick(now, role);
    this->vmFeed.tick(now, role);
    this->quarantine.tick(now);
    this->lifecycle.expire(now);
    this->probe();
    if (!this->hasRequestedUpstreamChanges && role.nodes > 1)
        this->fetchUpstreamChanges();
    if (this->gossipTask.isDue(now, gossipInterval, this->io.random()))
        this->gossip();
    if (!this->isReadingReport && this->reportTask.isDue(now, reportInterval, this->io.random()))
        this->readReport();
    const bool isUrgent = this->hasUnpushedChanges && now >= this->nextPushRetry;
    if (!this->isPushing && (isUrgent || this->pushTask.isDue(now, pushInterval, this->io.random())))
        this->pushSnapshot();
}

std::vector<std::string> ControlNode::methods()
{
    return {"gossip", "configDelta", "leaving", "upstreamNews", "drainUpstream", "status"};
}

json ControlNode::answer(const std::string &method, const json &params)
{
    if (method == "gossip")
        return this->answerGossip(params);
    if (method == "configDelta")
        return this->config.activeConfig().deltaSince(params.at("version"));
    if (method == "leaving")
        return this->answerLeaving(params);
    if (method == "upstreamNews")
        return this->upstreamChanges();
    if (method == "drainUpstream")
        return this->answerDrain(params);
    if (method == "status")
        return this->status();
    throw std::invalid_argument("unknown method " + method);
}

json ControlNode::answerGossip(const json &params)
{
    const TimePoint now = this->io.now();
    const auto requestedIds = this->membership.receive(params.at("members"), now);
    this->lifecycle.receive(params.at("upstreams"), this->membership.size(), now);
    this->config.handlePeerVersion(params.at("config"), params.at("address"));
    json reply = {{"config", this->config.activeConfig().version()}};
    if (!requestedIds.empty())
        reply["want"] = requestedIds;
    return reply;
}

json ControlNode::answerLeaving(const json &params)
{
    this->lifecycle.receive(params.at("upstreams"), this->membership.size(), this->io.now());
    // The caller waits until the upstreams get no new requests, so the entry process is notified immediately.
    if (this->hasUnpushedChanges && !this->isPushing)
        this->pushSnapshot();
    return json::object();
}

json ControlNode::answerDrain(const json &params)
{
    const std::string id = params.at("upstream");
    const Upstream *upstream = this->lifecycle.find(id);
    if (upstream == nullptr)
        throw std::invalid_argument("upstream " + id + ": found none of this identifier; allowed: see status");
    const bool isNewlyLeaving = this->lifecycle.applyLeaving({*upstream, std::nullopt}, "drain", this->io.now());
    if (isNewlyLeaving)
        this->announceLeaving({id});
    return {{"upstream", id},
            {"state", upstreamStateName(this->lifecycle.find(id)->state)},
            {"peersTold", isNewlyLeaving ? this->directPeers().size() : 0}};
}

json ControlNode::upstreamChanges() const
{
    return {{"upstreams", this->lifecycle.departureUpdates(this->io.now())}};
}

json ControlNode::status() const
{
    const ActiveConfig &currentConfig = this->config.activeConfig();
    json members = json::array();
    for (const auto &[id, member] : this->membership.members())
        members.push_back({{"id", id},
                           {"zone", member.peer.zone.name},
                           {"controlAddress", member.peer.controlAddress},
                           {"live", this->membership.isLive(member)},
                           {"heartbeat", member.heartbeat}});
    json sections = json::object();
    if (currentConfig.records()) {
        for (const auto &[name, reference] : currentConfig.records()->manifest.sections)
            sections[name] = reference.revision;
    }
    return {{"id", this->settings.self.id},
            {"zone", this->settings.self.zone.name},
            {"configVersion", currentConfig.version()},
            {"configError", currentConfig.error()},
            {"sections", sections},
            {"storeReachable", this->config.isStoreReachable()},
            {"zoneWatcher", this->membership.isZoneWatcher()},
            {"services", currentConfig.document().services()},
            {"upstreams", this->lifecycle.upstreams()},
            {"entryVms", members}};
}

void ControlNode::gossip()
{
    const auto random = this->io.random;
    for (const Peer &peer : this->membership.chooseTargets(gossipFanout, random))
        this->gossipTo(peer,
                       this->membership.takeMemberUpdates(membersPerMessage),
                       this->lifecycle.takeUpdates(upstreamsPerMessage, this->io.now()));
}

void ControlNode::gossipTo(const Peer &peer, const json &members, const json &upstreams)
{
    const json message = {{"address", this->settings.self.controlAddress},
                          {"config", this->config.activeConfig().version()},
                          {"members", members},
                          {"upstreams", upstreams}};
    this->io.call(peer.controlAddress,
                  "gossip",
                  message,
                  [this, peer, alive = std::weak_ptr<bool>(this->alive)](const RpcOutcome &outcome) {
                      if (alive.expired() || !outcome.succeeded || !outcome.result.is_object())
                          return;
                      this->config.handlePeerVersion(outcome.result.value("config", std::int64_t{0}),
                                                     peer.controlAddress);
                      const auto requestedIds = outcome.result.value("want", std::vector<std::string>());
                      if (!requestedIds.empty())
                          this->gossipTo(peer, this->membership.records(requestedIds), json::array());
                  });
}

void ControlNode::announceConfig()
{
    this->hasUnpushedChanges = true;
    const auto random = this->io.random;
    const std::size_t fanout = this->membership.size() <= maxSmallFleetSize ? configFanoutSmall : configFanoutLarge;
    for (const Peer &peer : this->membership.chooseTargets(fanout, random))
        this->gossipTo(peer, json::array(), json::array());
}

void ControlNode::applyNotices(const std::vector<VmFeed::Notice> &notices)
{
    std::vector<std::string> newlyLeaving;
    for (const VmFeed::Notice &notice : notices) {
        if (notice.vm == this->settings.self.id) {
            this->io.log(LogLevel::Warning, "own-vm-reclaimed", {{"leftMs", notice.timeLeft.count()}});
            const json params = {{"leftMs", notice.timeLeft.count()}};
            this->io.call(this->settings.self.entryControlAddress, "drain", params, [](const RpcOutcome &) {});
            continue;
        }
        const bool isNewlyLeaving =
            this->lifecycle.applyLeaving({{.id = notice.vm}, notice.timeLeft}, "notice", this->io.now());
        if (isNewlyLeaving && this->lifecycle.find(notice.vm) != nullptr)
            newlyLeaving.push_back(notice.vm);
    }
    if (!newlyLeaving.empty())
        this->announceLeaving(newlyLeaving);
}

void ControlNode::announceLeaving(const std::vector<std::string> &ids)
{
    json upstreams = json::array();
    for (const std::string &id : ids)
        upstreams.push_back(this->lifecycle.updateOf(id, this->io.now()));
    for (const Peer &peer : this->directPeers())
        this->io.call(peer.controlAddress, "leaving", {{"upstreams", upstreams}}, [](const RpcOutcome &) {});
    if (!this->isPushing)
        this->pushSnapshot();
}

std::vector<Peer> ControlNode::directPeers() const
{
    std::vector<Peer> peers = this->membership.livePeers();
    if (peers.size() >= maxSmallFleetSize)
        std::erase_if(peers, [this](const Peer &peer) { return peer.zone != this->settings.self.zone; });
    return peers;
}

void ControlNode::fetchUpstreamChanges()
{
    this->hasRequestedUpstreamChanges = true;
    const auto random = this->io.random;
    for (const Peer &peer : this->membership.chooseTargets(upstreamChangeSources, random)) {
        this->io.call(peer.controlAddress,
                      "upstreamNews",
                      json::object(),
                      [this, alive = std::weak_ptr<bool>(this->alive)](const RpcOutcome &outcome) {
                          if (alive.expired() || !outcome.succeeded)
                              return;
                          this->lifecycle.receive(
                              outcome.result.at("upstreams"), this->membership.size(), this->io.now());
                      });
    }
}

void ControlNode::readReport()
{
    this->isReadingReport = true;
    this->io.call(this->settings.self.entryControlAddress,
                  "report",
                  json::object(),
                  [this, alive = std::weak_ptr<bool>(this->alive)](const RpcOutcome &outcome) {
                      if (alive.expired())
                          return;
                      this->isReadingReport = false;
                      if (!outcome.succeeded || !outcome.result.is_object())
                          return;
                      std::vector<std::string> failing;
                      const json failures = outcome.result.value("failures", json::object());
                      for (const auto &[id, count] : failures.items())
                          failing.push_back(id);
                      this->lifecycle.observeFailures(
                          this->settings.self.id, this->settings.self.zone, failing, this->io.now());
                  });
}

void ControlNode::probe()
{
    for (const Upstream &upstream : this->lifecycle.takeProbes(this->io.now())) {
        this->io.probe(upstream.address,
                       [this, id = upstream.id, alive = std::weak_ptr<bool>(this->alive)](bool answered) {
                           if (!alive.expired())
                               this->lifecycle.applyProbe(
                                   id, answered, this->settings.self.id, this->settings.self.zone, this->io.now());
                       });
    }
}

void ControlNode::pushSnapshot()
{
    if (!this->config.isReady())
        return;
    this->isPushing = true;
    this->hasUnpushedChanges = false;
    ++this->sequence;
    this->io.call(this->settings.self.entryControlAddress,
                  "applySnapshot",
                  this->snapshot(),
                  [this, alive = std::weak_ptr<bool>(this->alive)](const RpcOutcome &outcome) {
                      if (alive.expired())
                          return;
                      this->isPushing = false;
                      if (outcome.succeeded)
                          return;
                      this->hasUnpushedChanges = true;
                      this->nextPushRetry = this->io.now() + pushRetryInterval;
                      this->io.log(LogLevel::Warning, "snapshot-not-applied", {{"reason", outcome.error}});
                  });
}

void ControlNode::leave()
{
    this->membership.leave();
    this->registry.leave();
    this->gossip();
}

Snapshot ControlNode::snapshot() const
{
    const Document &document = this->config.activeConfig().document();
    Snapshot snapshot;
    snapshot.manifestVersion = this->config.activeConfig().version();
    snapshot.sequence = this->sequence;
    snapshot.services = document.services();
    snapshot.clientAccounts = document.clientAccounts();
    snapshot.rules = document.rules();
    snapshot.upstreams = this->lifecycle.upstreams();
    snapshot.peers = this->membership.livePeers();
    return snapshot;
}

std::vector<Upstream> ControlNode::upstreams() const
{
    return this->lifecycle.upstreams();
}

std::vector<json> ControlNode::placement() const
{
    return this->config.activeConfig().document().placement();
}

bool ControlNode::isZoneWatcher() const
{
    return this->membership.isZoneWatcher();
}

std::int64_t ControlNode::configVersion() const
{
    return this->config.activeConfig().version();
}

std::vector<std::string> ControlNode::contactAddresses() const
{
    std::vector<std::string> addresses = this->settings.seeds;
    for (const Peer &peer : this->membership.livePeers())
        addresses.push_back(peer.controlAddress);
    return addresses;
}

FleetRole ControlNode::role() const
{
    return {this->membership.size(), this->membership.isZoneWatcher()};
}

} // namespace hemlock
