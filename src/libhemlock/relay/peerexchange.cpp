#include "relay/peerexchange.h"

#include "logger.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <algorithm>

namespace hemlock {

namespace {

/// Upper bound of the age of peers' counts, without delay or loss; the requests that a flood gets admitted in a tenth
/// of a second fit into the slack of the shared limits.
constexpr std::chrono::milliseconds updateInterval{100};

/// Longer in a large fleet, where each VM gets a small part of a flood and has more messages to process.
constexpr std::chrono::milliseconds largeFleetUpdateInterval{200};

/// Shortest time between an update and an expedited one. Long prompts are reported at once, so that other VMs do not
/// queue short ones behind them.
constexpr std::chrono::milliseconds minUpdateInterval{20};

/// VMs of an availability zone that send its sums to the other zones; the second covers the loss of the first.
constexpr std::size_t reportersPerZone = 2;

/// A peer without a datagram for this long is not counted as a reporter of the zone.
constexpr std::chrono::milliseconds reporterTimeout{700};

/// Interval of usage updates; counts of a window must be complete two seconds after the window's end.
constexpr std::chrono::milliseconds usageInterval{500};

/// Reported loads older than this are ignored.
constexpr std::chrono::milliseconds loadsLifetime{1500};

/// Number of usage windows kept for sending: the current one and the earlier ones that may still change.
constexpr std::int64_t sentUsageWindows = 4;

/// First byte of a datagram: sent by its author, or forwarded within the receiver's zone.
constexpr char originalTag = 'o';
constexpr char forwardedTag = 'f';

std::string encode(const char *kind, const nlohmann::json &content)
{
    std::string datagram(1, originalTag);
    nlohmann::json::to_cbor(nlohmann::json::array({kind, content}), datagram);
    return datagram;
}

/// Adds the growth of running totals between two updates to @p sums.
void addDifference(std::map<std::string, double> &sums,
                   const std::map<std::string, double> &before,
                   const std::map<std::string, double> &after)
{
    for (const auto &[name, total] : after) {
        const auto known = before.find(name);
        sums[name] += total - (known == before.end() ? 0.0 : known->second);
    }
}

void addLoads(PeerLoads &sums, const PeerLoads &loads)
{
    for (const auto &[upstream, load] : loads) {
        sums[upstream].requests += load.requests;
        sums[upstream].pendingTokens += load.pendingTokens;
    }
}

} // namespace

PeerExchange::PeerExchange(asio::io_context &loop,
                           PeerExchangeSettings exchangeSettings,
                           SharedState shared,
                           std::function<TimePoint()> now,
                           std::function<std::chrono::system_clock::time_point()> wallTime)
    : loop(loop)
    , settings(std::move(exchangeSettings))
    , shared(shared)
    , now(std::move(now))
    , wallTime(std::move(wallTime))
    , link(loop, this->settings.address, [this](std::string_view datagram) { this->handleDatagram(datagram); })
    , timer(loop)
    , suspectUpdates(this->shared.quarantine)
{
}

void PeerExchange::start()
{
    this->exchange();
}

void PeerExchange::expedite()
{
    const TimePoint time = this->now();
    if (this->isLargeFleet(time) || time - this->lastUpdateSent < minUpdateInterval)
        return;
    this->timer.cancel();
    asio::post(this->loop, [this, alive = std::weak_ptr<bool>(this->alive)] {
        if (!alive.expired())
            this->exchange();
    });
}

void PeerExchange::setDutyHolder(const std::string &node)
{
    this->dutyHolder = node;
}

void PeerExchange::setRolloutHooks(RolloutHooks hooks)
{
    this->rolloutHooks = std::move(hooks);
}

void PeerExchange::sendRolloutReport(const nlohmann::json &report)
{
    if (this->dutyHolder == this->settings.node) {
        if (const auto answer = this->rolloutHooks.answer(report); !answer.is_null())
            this->rolloutHooks.answered(answer);
        return;
    }
    const std::string address = this->shared.registry.addressOf(this->dutyHolder);
    if (!address.empty())
        this->link.send(encode("usage", UsageUpdate{this->settings.runId, {}, report, nullptr, this->settings.node}),
                        {address});
}

void PeerExchange::applyRolloutMessage(const UsageUpdate &update)
{
    if (!update.rolloutAnswer.is_null())
        this->rolloutHooks.answered(update.rolloutAnswer);
    if (update.rolloutReport.is_null())
        return;
    const auto answer = this->rolloutHooks.answer(update.rolloutReport);
    const std::string address = this->shared.registry.addressOf(update.node);
    if (!answer.is_null() && !address.empty())
        this->link.send(encode("usage", UsageUpdate{this->settings.runId, {}, nullptr, answer, {}}), {address});
}

const std::map<std::string, double> &PeerExchange::demand() const
{
    return this->totalDemand;
}

const PeerTraffic &PeerExchange::traffic() const
{
    return this->link.traffic();
}

bool PeerExchange::isLargeFleet(TimePoint time) const
{
    return this->shared.registry.isLargeFleet(time);
}

bool PeerExchange::isZoneReporter(TimePoint time) const
{
    const auto earlierPeers = this->shared.registry.countHeardBeforeSelf(this->settings.zone, time - reporterTimeout);
    return earlierPeers < reportersPerZone;
}

std::chrono::milliseconds PeerExchange::exchangeInterval(TimePoint time) const
{
    return this->isLargeFleet(time) ? largeFleetUpdateInterval : updateInterval;
}

void PeerExchange::exchange()
{
    const TimePoint time = this->now();
    this->lastUpdateSent = time;
    this->sendPeerUpdate(time);
    if (this->isLargeFleet(time)) {
        if (this->isZoneReporter(time))
            this->sendZoneUpdate(time);
        if (time - this->lastUsageSent >= usageInterval)
            this->sendUsageUpdate(time);
    }
    this->updateLoads(time);
    this->timer.expires_after(this->exchangeInterval(time));
    this->timer.async_wait([this, alive = std::weak_ptr<bool>(this->alive)](const asio::error_code &error) {
        if (!error && !alive.expired())
            this->exchange();
    });
}

void PeerExchange::sendPeerUpdate(TimePoint time)
{
    PeerUpdate update;
    update.node = this->settings.node;
    update.runId = this->settings.runId;
    update.zone = this->settings.zone;
    update.sequence = ++this->sequence;
    update.rank = this->shared.registry.rank();
    update.timeOfDay = std::chrono::system_clock::now();
    update.quotaTotals = this->shared.quota.totals();
    update.loads = this->ownLoads();
    update.demand = this->shared.scheduler.demandedTokens();
    this->shared.usage.removeBefore(this->shared.usage.windowAt(this->wallTime()) - sentUsageWindows);
    this->collectCachedParts();
    std::set<std::string> receivers;
    if (this->isLargeFleet(time)) {
        // Cached parts are left out, since the preferred upstreams of a shared prompt part are known without messages.
        // Usage goes to the duty holder in messages of its own.
        receivers = this->shared.registry.addressesInZone(this->settings.zone, time);
    } else {
        receivers = this->shared.registry.addresses(time);
        update.cachedParts = this->recentCachedParts;
        update.usage = this->shared.usage.ownCounts();
    }
    update.quarantine = this->suspectUpdates.nextMessage(SuspectUpdates::Audience::Neighbours, time);
    update.upstreamNotices = this->shared.scheduler.notices().encode(false, time);
    this->link.send(encode("vm", update), receivers);
}

PeerLoads PeerExchange::ownLoads()
{
    PeerLoads own;
    for (const auto &[upstream, requests] : this->shared.scheduler.upstreams().inFlight())
        own[upstream].requests = requests;
    for (const auto &[upstream, tokens] : this->shared.scheduler.pendingTokens())
        own[upstream].pendingTokens = tokens;
    return own;
}

void PeerExchange::collectCachedParts()
{
    // Each part is sent in two messages, since datagrams can be lost.
    constexpr std::size_t keptMessages = 2;
    const std::vector<CachedParts> sent = this->shared.scheduler.takeCachedParts();
    this->recentCachedParts.insert(this->recentCachedParts.end(), sent.begin(), sent.end());
    this->partCounts.push_back(sent.size());
    while (this->partCounts.size() > keptMessages) {
        this->recentCachedParts.erase(this->recentCachedParts.begin(),
                                      this->recentCachedParts.begin()
                                          + static_cast<std::ptrdiff_t>(this->partCounts.front()));
        this->partCounts.pop_front();
    }
}

void PeerExchange::sendZoneUpdate(TimePoint time)
{
    ZoneUpdate update;
    update.zone = this->settings.zone;
    update.runId = this->settings.runId;
    update.sequence = this->sequence;
    update.vms = 1 + this->shared.registry.countHeardInZone(this->settings.zone, time - reporterTimeout);
    update.quotaTotals = this->shared.quota.totals();
    addDifference(update.quotaTotals, {}, this->neighbourQuota);
    update.demand = this->shared.scheduler.demandedTokens();
    addDifference(update.demand, {}, this->neighbourDemand);
    update.loads = this->ownLoads();
    for (const auto &[source, reported] : this->loads) {
        if (!this->zones.contains(source) && time - reported.receivedAt <= loadsLifetime)
            addLoads(update.loads, reported.loads);
    }
    update.quarantine = this->suspectUpdates.nextMessage(SuspectUpdates::Audience::OtherZones, time);
    update.upstreamNotices = this->shared.scheduler.notices().encode(true, time);
    const std::string datagram = encode("zone", update);
    ++this->nextReceiver;
    for (const auto &[zone, addresses] : this->shared.registry.addressesByZone(time)) {
        if (zone == this->settings.zone || addresses.empty())
            continue;
        this->link.send(datagram, {addresses[this->nextReceiver % addresses.size()]});
    }
}

void PeerExchange::sendUsageUpdate(TimePoint time)
{
    this->lastUsageSent = time;
    const std::string address = this->shared.registry.addressOf(this->dutyHolder);
    if (!address.empty())
        this->link.send(encode("usage", UsageUpdate{this->settings.runId, this->shared.usage.ownCounts()}), {address});
}

void PeerExchange::updateLoads(TimePoint time)
{
    PeerLoads sums;
    for (const auto &[source, reported] : this->loads) {
        if (time - reported.receivedAt <= loadsLifetime)
            addLoads(sums, reported.loads);
    }
    UpstreamPool &upstreams = this->shared.scheduler.upstreams();
    for (const auto &[id, upstream] : upstreams.all())
        upstreams.peerLoadReported(id, sums[id].requests, sums[id].pendingTokens, time);
}

void PeerExchange::handleDatagram(std::string_view datagram)
{
    try {
        const auto message = nlohmann::json::from_cbor(datagram.substr(1));
        const auto kind = message.at(0).get<std::string>();
        const TimePoint time = this->now();
        if (kind == "vm") {
            this->applyPeerUpdate(message.at(1).get<PeerUpdate>(), time);
        } else if (kind == "zone") {
            const bool isForwarded = datagram.front() == forwardedTag;
            this->applyZoneUpdate(message.at(1).get<ZoneUpdate>(), datagram, isForwarded, time);
        } else {
            const auto update = message.at(1).get<UsageUpdate>();
            this->shared.usage.mergePeerCounts(update.runId, update.usage);
            if (this->rolloutHooks.answer && this->rolloutHooks.answered)
                this->applyRolloutMessage(update);
        }
    } catch (const std::exception &error) {
        logEvent(LogLevel::Warning, "peer-news", {{"error", error.what()}});
    }
}

void PeerExchange::applyPeerUpdate(const PeerUpdate &update, TimePoint time)
{
    if (update.node == this->settings.node || this->endedRuns.contains(update.runId))
        return;
    // In a large fleet, other zones are counted through their zone updates.
    if (this->isLargeFleet(time) && update.zone != this->settings.zone)
        return;
    const auto known = this->sources.find(update.runId);
    if (known != this->sources.end() && update.sequence <= known->second.sequence)
        return;
    std::string &runId = this->runs[update.node];
    if (!runId.empty() && runId != update.runId)
        this->endedRuns.insert(runId);
    runId = update.runId;
    this->shared.registry.datagramReceived(update.node, update.rank, time);
    this->shared.clock.addPeerTime(update.node, update.timeOfDay, time);
    this->shared.quota.updatePeerTotals(update.node, update.runId, update.quotaTotals, 1, time);
    this->shared.usage.mergePeerCounts(update.runId, update.usage);
    // The first update only sets the baseline: what the peer counted before may be long ago.
    if (known != this->sources.end()) {
        addDifference(this->neighbourQuota, known->second.quotaTotals, update.quotaTotals);
        addDifference(this->neighbourDemand, known->second.demand, update.demand);
        addDifference(this->totalDemand, known->second.demand, update.demand);
    }
    this->sources[update.runId] = {update.sequence, update.quotaTotals, update.demand};
    this->loads[update.node] = {update.loads, time};
    for (const CachedParts &cached : update.cachedParts)
        this->shared.scheduler.addPeerCachedParts(cached);
    this->suspectUpdates.applyMessage(update.quarantine, SuspectUpdates::Audience::Neighbours, time);
    this->shared.scheduler.applyPeerNotices(update.upstreamNotices, UpstreamNotices::Source::Zone, time);
}

void PeerExchange::applyZoneUpdate(const ZoneUpdate &update,
                                   std::string_view datagram,
                                   bool isForwarded,
                                   TimePoint time)
{
    if (update.zone == this->settings.zone)
        return;
    const std::string source = update.zone + "/" + update.runId;
    const auto known = this->sources.find(source);
    if (known != this->sources.end() && update.sequence <= known->second.sequence)
        return;
    this->sources[source].sequence = update.sequence;
    if (!isForwarded) {
        std::string forwarded(datagram);
        forwarded.front() = forwardedTag;
        this->link.send(forwarded, this->shared.registry.addressesInZone(this->settings.zone, time));
    }
    ZoneTotals &zone = this->zones[update.zone];
    this->shared.quota.updatePeerTotals(
        update.zone, {}, zone.quota.merge(update.runId, update.quotaTotals), update.vms, time);
    const auto &mergedDemand = zone.demand.merge(update.runId, update.demand);
    addDifference(this->totalDemand, zone.lastDemand, mergedDemand);
    zone.lastDemand = mergedDemand;
    this->loads[update.zone] = {update.loads, time};
    this->suspectUpdates.applyMessage(update.quarantine, SuspectUpdates::Audience::OtherZones, time);
    this->shared.scheduler.applyPeerNotices(update.upstreamNotices, UpstreamNotices::Source::OtherZone, time);
}

} // namespace hemlock
