#include "relay/peerexchange.h"

#include "logger.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>

#include <algorithm>

namespace hemlock {

namespace {

/// Peers' counts are this old at most; a tenth of a second of a flood fits into the slack of the shared limits.
constexpr std::chrono::milliseconds newsInterval{100};

/// In a large fleet each VM sees a small part of a flood, and there are more messages to read.
constexpr std::chrono::milliseconds newsIntervalOfLargeFleets{200};

/// A long prompt is told at once, so that other VMs send no short one behind it; not more often than this.
constexpr std::chrono::milliseconds leastNewsInterval{20};

/// With more peers than this, each VM tells those of its availability zone only.
constexpr std::size_t peersOfSmallFleet = 8;

/// VMs of an availability zone that tell the other zones; the second makes up for a loss of the first.
constexpr std::size_t speakersOfZone = 2;

/// A peer that was silent for so long does not speak for the zone.
constexpr std::chrono::milliseconds speakerSilence{700};

/// Counts of a window are complete two seconds after its end.
constexpr std::chrono::milliseconds usageInterval{500};

/// Loads of a peer that said nothing for so long are dropped.
constexpr std::chrono::milliseconds newsLifetime{1500};

/// Windows of the usage that are told: the running one and those before it that may still change.
constexpr std::int64_t sentWindows = 4;

/// First byte of a datagram.
constexpr char originalMark = 'o';
constexpr char forwardedMark = 'f';

std::string encode(const char *kind, const nlohmann::json &content)
{
    std::string datagram(1, originalMark);
    nlohmann::json::to_cbor(nlohmann::json::array({kind, content}), datagram);
    return datagram;
}

/// Adds the difference of two running totals.
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
    , link(loop, this->settings.address, [this](std::string_view datagram) { this->received(datagram); })
    , timer(loop)
    , suspects(this->shared.quarantine)
{
}

void PeerExchange::start()
{
    this->exchange();
}

void PeerExchange::expedite()
{
    const TimePoint time = this->now();
    if (this->isLarge(time) || time - this->newsSent < leastNewsInterval)
        return;
    this->timer.cancel();
    asio::post(this->loop, [this] { this->exchange(); });
}

void PeerExchange::setDutyHolder(const std::string &node)
{
    this->dutyHolder = node;
}

const std::map<std::string, double> &PeerExchange::demand() const
{
    return this->totalDemand;
}

const PeerTraffic &PeerExchange::traffic() const
{
    return this->link.traffic();
}

bool PeerExchange::isLarge(TimePoint time) const
{
    return this->shared.registry.count(time) > peersOfSmallFleet;
}

bool PeerExchange::isSpeaker(TimePoint time) const
{
    const auto before = this->shared.registry.heardBefore(this->settings.zone, time - speakerSilence);
    return before < speakersOfZone;
}

std::chrono::milliseconds PeerExchange::interval(TimePoint time) const
{
    return this->isLarge(time) ? newsIntervalOfLargeFleets : newsInterval;
}

void PeerExchange::exchange()
{
    const TimePoint time = this->now();
    this->newsSent = time;
    this->sendNews(time);
    if (this->isLarge(time)) {
        if (this->isSpeaker(time))
            this->sendZoneNews(time);
        if (time - this->usageSent >= usageInterval)
            this->sendUsage(time);
    }
    this->updateLoads(time);
    this->timer.expires_after(this->interval(time));
    this->timer.async_wait([this](const asio::error_code &error) {
        if (!error)
            this->exchange();
    });
}

void PeerExchange::sendNews(TimePoint time)
{
    PeerNews news;
    news.node = this->settings.node;
    news.run = this->settings.run;
    news.zone = this->settings.zone;
    news.sequence = ++this->sequence;
    news.timeOfDay = std::chrono::system_clock::now();
    news.quotaTotals = this->shared.quota.totals();
    news.loads = this->ownLoads();
    news.demand = this->shared.scheduler.demandedTokens();
    this->shared.usage.forgetBefore(this->shared.usage.windowAt(this->wallTime()) - sentWindows);
    this->keepCachedParts();
    std::set<std::string> receivers;
    if (this->isLarge(time)) {
        // The home of a shared part is known without messages, and the duties' holder hears of the usage by itself.
        receivers = this->shared.registry.addressesIn(this->settings.zone, time);
    } else {
        receivers = this->shared.registry.addresses(time);
        news.cachedParts = this->lastCachedParts;
        news.usage = this->shared.usage.own();
    }
    news.quarantine = this->suspects.next(SuspectNews::Audience::Neighbours, time);
    this->link.send(encode("vm", news), receivers);
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

void PeerExchange::keepCachedParts()
{
    // Each is sent twice, since datagrams are lost.
    constexpr std::size_t keptMessages = 2;
    const std::vector<CachedParts> sent = this->shared.scheduler.takeCachedParts();
    this->lastCachedParts.insert(this->lastCachedParts.end(), sent.begin(), sent.end());
    this->sentPartCounts.push_back(sent.size());
    while (this->sentPartCounts.size() > keptMessages) {
        this->lastCachedParts.erase(this->lastCachedParts.begin(),
                                    this->lastCachedParts.begin()
                                        + static_cast<std::ptrdiff_t>(this->sentPartCounts.front()));
        this->sentPartCounts.pop_front();
    }
}

void PeerExchange::sendZoneNews(TimePoint time)
{
    ZoneNews news;
    news.zone = this->settings.zone;
    news.run = this->settings.run;
    news.sequence = this->sequence;
    news.vms = 1 + this->shared.registry.heardIn(this->settings.zone, time - speakerSilence);
    news.quotaTotals = this->shared.quota.totals();
    addDifference(news.quotaTotals, {}, this->neighbourQuota);
    news.demand = this->shared.scheduler.demandedTokens();
    addDifference(news.demand, {}, this->neighbourDemand);
    news.loads = this->ownLoads();
    for (const auto &[source, said] : this->loads) {
        if (!this->zones.contains(source) && time - said.heard <= newsLifetime)
            addLoads(news.loads, said.loads);
    }
    news.quarantine = this->suspects.next(SuspectNews::Audience::OtherZones, time);
    const std::string datagram = encode("zone", news);
    ++this->nextReceiver;
    for (const auto &[zone, addresses] : this->shared.registry.addressesByZone(time)) {
        if (zone == this->settings.zone || addresses.empty())
            continue;
        this->link.send(datagram, {addresses[this->nextReceiver % addresses.size()]});
    }
}

void PeerExchange::sendUsage(TimePoint time)
{
    this->usageSent = time;
    const std::string address = this->shared.registry.addressOf(this->dutyHolder);
    if (!address.empty())
        this->link.send(encode("usage", UsageNews{this->settings.run, this->shared.usage.own()}), {address});
}

void PeerExchange::updateLoads(TimePoint time)
{
    PeerLoads sums;
    for (const auto &[source, said] : this->loads) {
        if (time - said.heard <= newsLifetime)
            addLoads(sums, said.loads);
    }
    UpstreamPool &upstreams = this->shared.scheduler.upstreams();
    for (const auto &[id, upstream] : upstreams.all())
        upstreams.peerLoadReported(id, sums[id].requests, sums[id].pendingTokens, time);
}

void PeerExchange::received(std::string_view datagram)
{
    try {
        const auto message = nlohmann::json::from_cbor(datagram.substr(1));
        const auto kind = message.at(0).get<std::string>();
        const TimePoint time = this->now();
        if (kind == "vm") {
            this->newsReceived(message.at(1).get<PeerNews>(), time);
        } else if (kind == "zone") {
            const bool isForwarded = datagram.front() == forwardedMark;
            this->zoneNewsReceived(message.at(1).get<ZoneNews>(), datagram, isForwarded, time);
        } else {
            const auto news = message.at(1).get<UsageNews>();
            this->shared.usage.peerCounts(news.run, news.usage);
        }
    } catch (const std::exception &error) {
        logEvent(LogLevel::Warning, "peer-news", {{"error", error.what()}});
    }
}

void PeerExchange::newsReceived(const PeerNews &news, TimePoint time)
{
    if (news.node == this->settings.node || this->endedRuns.contains(news.run))
        return;
    // Other zones are heard of by their sums.
    if (this->isLarge(time) && news.zone != this->settings.zone)
        return;
    const auto known = this->sources.find(news.run);
    if (known != this->sources.end() && news.sequence <= known->second.sequence)
        return;
    std::string &run = this->runs[news.node];
    if (!run.empty() && run != news.run)
        this->endedRuns.insert(run);
    run = news.run;
    this->shared.registry.heard(news.node, time);
    this->shared.clock.peerTime(news.node, news.timeOfDay, time);
    this->shared.quota.updatePeerTotals(news.node, news.run, news.quotaTotals, 1, time);
    this->shared.usage.peerCounts(news.run, news.usage);
    // What a peer counted before it was heard of may be long ago.
    if (known != this->sources.end()) {
        addDifference(this->neighbourQuota, known->second.quotaTotals, news.quotaTotals);
        addDifference(this->neighbourDemand, known->second.demand, news.demand);
        addDifference(this->totalDemand, known->second.demand, news.demand);
    }
    this->sources[news.run] = {news.sequence, news.quotaTotals, news.demand};
    this->loads[news.node] = {news.loads, time};
    for (const CachedParts &cached : news.cachedParts)
        this->shared.scheduler.addPeerCachedParts(cached);
    this->suspects.received(news.quarantine, SuspectNews::Audience::Neighbours, time);
}

void PeerExchange::zoneNewsReceived(const ZoneNews &news, std::string_view datagram, bool isForwarded, TimePoint time)
{
    if (news.zone == this->settings.zone)
        return;
    const std::string source = news.zone + "/" + news.run;
    const auto known = this->sources.find(source);
    if (known != this->sources.end() && news.sequence <= known->second.sequence)
        return;
    this->sources[source].sequence = news.sequence;
    if (!isForwarded) {
        std::string forwarded(datagram);
        forwarded.front() = forwardedMark;
        this->link.send(forwarded, this->shared.registry.addressesIn(this->settings.zone, time));
    }
    Zone &zone = this->zones[news.zone];
    this->shared.quota.updatePeerTotals(news.zone, {}, zone.quota.merge(news.run, news.quotaTotals), news.vms, time);
    const auto &demandSeen = zone.demand.merge(news.run, news.demand);
    addDifference(this->totalDemand, zone.demandSeen, demandSeen);
    zone.demandSeen = demandSeen;
    this->loads[news.zone] = {news.loads, time};
    this->suspects.received(news.quarantine, SuspectNews::Audience::OtherZones, time);
}

} // namespace hemlock
