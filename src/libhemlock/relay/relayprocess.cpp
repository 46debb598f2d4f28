#include "relay/relayprocess.h"

#include "encoding.h"
#include "logger.h"

#include <asio/post.hpp>

#include <csignal>
#include <ctime>

namespace hemlock {

namespace {

constexpr std::chrono::milliseconds tickInterval{100};

/// Prompts of so many tokens are told to peers at once.
constexpr double longPromptTokens = 5000.0;

/// The load balancer asks once a second and takes a VM out after two misses.
constexpr std::chrono::milliseconds leastDrainTime{3500};

/// The end comes so long before the platform kills the process.
constexpr std::chrono::milliseconds drainMargin{400};

/// Streams that begin later in a drain would be cut by its end. By then the balancer has turned to other VMs, unless
/// there is no other in the zone.
constexpr std::chrono::milliseconds streamDrainTime{2500};

/// Other calls take less than this, or are refused near the end.
constexpr std::chrono::milliseconds shortCallTime{2000};

/// A VM that takes no request for so long while it drains is out of the balancer's rotation.
constexpr std::chrono::milliseconds quietTime{500};

/// An upstream whose connections break within this time of each other has crashed.
constexpr std::chrono::milliseconds crashWindow{1500};

/// Callers keep connections idle as long as the configuration says, which changes; this is longer than any of it.
constexpr std::chrono::seconds callerIdleTime{180};

constexpr std::chrono::milliseconds planInterval{500};

constexpr std::chrono::seconds healthInterval{2};

constexpr std::size_t maxBodyBytes = std::size_t{16} * 1024 * 1024;

constexpr std::string_view ownPrefix = "hemlock/";

/// Written several times a second, so that it lies where no VM waits for changes.
constexpr std::string_view countsKey = "hemlock-counts/usage";

/// Upstreams come and go in swarms, and each change wakes every VM. Short against the seconds that an upstream goes on
/// after it announced its leave.
constexpr std::chrono::milliseconds upstreamChangePause{400};

/// How long a read of the system's own records waits. Less than the store keeps its history, so that the next one goes
/// on from there.
constexpr std::chrono::milliseconds ownWait{14000};

/// All VMs register when the system starts. Peers are heard of without their records; the record of the duties' holder
/// lapses seconds after the holder's end.
constexpr std::chrono::milliseconds ownChangePause{500};

HttpServerSettings serverSettings(const std::string &address)
{
    HttpServerSettings settings;
    const std::size_t colon = address.rfind(':');
    settings.address = address.substr(0, colon);
    settings.port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    settings.maxBodyBytes = maxBodyBytes;
    settings.readTimeout = callerIdleTime;
    return settings;
}

StoreFollowerSettings
followerSettings(const std::string &prefix, std::chrono::milliseconds wait, std::chrono::milliseconds changePause)
{
    StoreFollowerSettings settings;
    settings.prefix = prefix;
    settings.wait = wait;
    settings.changePause = changePause;
    return settings;
}

DutySettings dutySettings(const RelaySettings &settings, const std::string &run)
{
    DutySettings duties;
    duties.run = run;
    duties.holder = settings.node;
    duties.keyPrefix = std::string(ownPrefix) + "duties";
    duties.countsKey = std::string(countsKey);
    duties.leaseTtl = std::chrono::ceil<std::chrono::seconds>(settings.dutyLease);
    return duties;
}

} // namespace

RelayProcess::RelayProcess(
    asio::io_context &loop, RelaySettings relaySettings, HttpClient &http, KvAccess kv, RelayTransport relayTransport)
    : loop(loop)
    , settings(std::move(relaySettings))
    , transport(std::move(relayTransport))
    , run(makeUniqueId())
    , random(std::random_device()())
    , scheduler(this->settings.zone, RandomEngine(this->random()))
    , quota(this->settings.quota)
    , retries(this->settings.retries)
    , usage(this->settings.usageWindow)
    , registry(
          kv, std::string(ownPrefix) + "nodes/", this->settings.node, this->settings.peers, this->settings.zone.name)
    , duties(kv, dutySettings(this->settings, this->run), this->transport, this->usage)
    , context{
          loop,
          http,
          this->transport,
          this->scheduler,
          this->quota,
          this->retries,
          this->quarantine,
          this->usage,
          this->metrics,
          [this](CallKind kind) { return this->accepts(kind); },
          nullptr,
          std::chrono::seconds(10),
          [this] { return this->registry.count(this->now()); },
          [this] { return this->now(); },
          [this] { return this->wallTime(); },
          [this] { return this->upstreamListFreshness(); },
          [this](const Upstream &upstream, const std::string &fingerprint) { this->brokenOff(upstream, fingerprint); },
          [this](double tokens) {
              if (tokens >= longPromptTokens)
                  this->peers.expedite();
          }}
    , configStore(loop,
                  kv,
                  followerSettings(this->settings.configKey,
                                   longestWait(this->settings.configNewsBound, std::chrono::milliseconds(0)),
                                   std::chrono::milliseconds(0)),
                  this->followerHooks([this](const std::map<std::string, std::string> &values) {
                      for (const auto &[key, value] : values)
                          this->entrySeen(key, value);
                  }))
    , upstreamStore(loop,
                    kv,
                    followerSettings(this->settings.upstreamPrefix,
                                     longestWait(this->settings.upstreamNewsBound, upstreamChangePause),
                                     upstreamChangePause),
                    [this] {
                        StoreFollowerHooks hooks =
                            this->followerHooks([this](const std::map<std::string, std::string> &values) {
                                this->upstreamsLoaded(values);
                            });
                        hooks.reachabilityChanged = [this](bool reachable, const std::string &error) {
                            this->storeReachabilityChanged(reachable, error);
                        };
                        return hooks;
                    }())
    , ownStore(loop,
               kv,
               followerSettings(std::string(ownPrefix), ownWait, ownChangePause),
               this->followerHooks(
                   [this](const std::map<std::string, std::string> &values) { this->ownKeysLoaded(values); }))
    , storeProbe(
          loop,
          kv,
          [this](const std::string &error) { this->storeSilent(error); },
          [this] { this->storeAnswersAgain(); })
    , callers(loop,
              serverSettings(this->settings.callers),
              [this](HttpRequest request, const HttpResponderPtr &responder) {
                  this->handleCaller(std::move(request), responder);
              })
    , readiness(loop,
                serverSettings(this->settings.readiness),
                [this](const HttpRequest &, const HttpResponderPtr &responder) { this->handleReadiness(responder); })
    , control(loop,
              serverSettings(this->settings.control),
              [this](const HttpRequest &request, const HttpResponderPtr &responder) {
                  this->handleControl(request, responder);
              })
    , peers(
          loop,
          {this->settings.node, this->run, this->settings.zone.name, this->settings.peers},
          {this->quota, this->usage, this->quarantine, this->scheduler, this->clock, this->registry},
          [this] { return this->now(); },
          [this] { return this->wallTime(); })
    , signals(loop, SIGTERM, SIGINT)
    , ticker(loop)
    , drainTimer(loop)
{
    this->duties.setDuties(this->settings.reportsUsage, this->settings.ordersUpstreams);
    this->duties.setOrderRefused([this](const UpstreamOrder &order) {
        if (order.isReclaimable)
            this->planner.noteRefused(order.service, order.zone, this->now());
    });
}

void RelayProcess::start()
{
    this->awaitSignal();
    this->configStore.start();
    this->upstreamStore.start();
    this->ownStore.start();
    this->storeProbe.start();
    this->callers.start();
    this->readiness.start();
    this->control.start();
    logEvent(LogLevel::Info, "start", {{"callers", this->settings.callers}, {"zone", this->settings.zone.name}});
    this->tick();
    this->peers.start();
}

void RelayProcess::applySettings(const RelaySettings &changed)
{
    this->settings.drainTime = changed.drainTime;
    this->settings.reportsUsage = changed.reportsUsage;
    this->settings.ordersUpstreams = changed.ordersUpstreams;
    this->duties.setDuties(changed.reportsUsage, changed.ordersUpstreams);
    // Whether the whole system starts for the first time was decided at the start.
    const bool startsFull = this->settings.quota.startsFull;
    this->settings.quota = changed.quota;
    this->settings.quota.startsFull = startsFull;
    this->quota.setSettings(this->settings.quota);
}

std::chrono::system_clock::time_point RelayProcess::wallTime()
{
    return this->clock.timeOfDay(std::chrono::system_clock::now(), this->now());
}

RelayProcess::TimePoint RelayProcess::now() const
{
    // Unlike the steady clock, this one counts the time for which the VM was suspended.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<TimePoint::duration>(std::chrono::seconds(time.tv_sec)
                                                                     + std::chrono::nanoseconds(time.tv_nsec)));
}

double RelayProcess::randomPart()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
}

void RelayProcess::handleCaller(HttpRequest request, const HttpResponderPtr &responder)
{
    this->lastRequest = this->now();
    auto weakCall = std::make_shared<std::weak_ptr<RelayCall>>();
    auto call = std::make_shared<RelayCall>(this->context, responder, [this, weakCall] {
        // The call is still on the stack when it ends.
        asio::post(this->loop, [this, ended = weakCall->lock()] { this->calls.erase(ended); });
    });
    *weakCall = call;
    this->calls.insert(call);
    call->start(std::move(request));
}

void RelayProcess::handleReadiness(const HttpResponderPtr &responder) const
{
    const bool isReady = this->context.routes && !this->isDraining;
    responder->reply(isReady ? 200 : 503, {}, isReady ? "ready\n" : "not ready\n");
}

void RelayProcess::handleControl(const HttpRequest &request, const HttpResponderPtr &responder) const
{
    if (request.path == "/metrics")
        return responder->reply(200, {{"Content-Type", "text/plain; version=0.0.4"}}, this->metrics.prometheusText());
    responder->reply(404, {}, "unknown path\n");
}

UpstreamListFreshness RelayProcess::upstreamListFreshness() const
{
    const auto age = std::chrono::steady_clock::now() - this->upstreamStore.lastRead().answered;
    return {this->upstreamStore.revision(), std::chrono::duration_cast<std::chrono::milliseconds>(age)};
}

StoreFollowerHooks RelayProcess::followerHooks(std::function<void(const std::map<std::string, std::string> &)> loaded)
{
    StoreFollowerHooks hooks;
    hooks.loaded = std::move(loaded);
    hooks.changed = [this](const std::vector<KvEvent> &events) { this->storeChanged(events); };
    return hooks;
}

void RelayProcess::storeSilent(const std::string &error)
{
    this->configStore.interrupt(error);
    this->upstreamStore.interrupt(error);
    this->ownStore.interrupt(error);
}

void RelayProcess::storeAnswersAgain()
{
    this->configStore.renew();
    this->upstreamStore.renew();
    this->ownStore.renew();
}

void RelayProcess::storeReachabilityChanged(bool reachable, const std::string &error)
{
    logEvent(reachable ? LogLevel::Info : LogLevel::Warning,
             reachable ? "store-regained" : "store-lost",
             {{"error", error}, {"revision", this->upstreamStore.revision()}});
    if (reachable)
        this->directory.storeRecovered(this->now());
}

void RelayProcess::upstreamsLoaded(const std::map<std::string, std::string> &values)
{
    std::vector<Upstream> listed;
    for (const auto &[key, value] : values) {
        try {
            listed.push_back(this->transport.decodeUpstream(key.substr(this->settings.upstreamPrefix.size()), value));
        } catch (const std::exception &) {
            this->upstreamSeen(key, value);
        }
    }
    this->directory.replaceAll(listed, this->now());
    this->applyUpstreams();
}

void RelayProcess::ownKeysLoaded(const std::map<std::string, std::string> &values)
{
    const auto holder = values.find(this->duties.holderKey());
    this->dutyHolderSeen(holder == values.end() ? std::string() : holder->second);
    for (const auto &[key, value] : values)
        this->entrySeen(key, value);
}

void RelayProcess::storeChanged(const std::vector<KvEvent> &events)
{
    bool upstreamsChanged = false;
    for (const KvEvent &event : events) {
        upstreamsChanged = upstreamsChanged || event.entry.key.starts_with(this->settings.upstreamPrefix);
        if (event.isDelete)
            this->entryRemoved(event.entry.key);
        else
            this->entrySeen(event.entry.key, event.entry.value);
    }
    if (upstreamsChanged)
        this->applyUpstreams();
}

void RelayProcess::entrySeen(const std::string &key, const std::string &value)
{
    if (key == this->settings.configKey)
        this->applyConfig(value);
    else if (key.starts_with(this->settings.upstreamPrefix))
        this->upstreamSeen(key, value);
    else if (key == this->duties.holderKey())
        this->dutyHolderSeen(value);
    else if (key.starts_with(this->registry.prefix()))
        this->registry.recordSeen(key, value, this->now());
}

void RelayProcess::entryRemoved(const std::string &key)
{
    if (key.starts_with(this->settings.upstreamPrefix))
        this->directory.remove(key.substr(this->settings.upstreamPrefix.size()), this->now());
    else if (key == this->duties.holderKey())
        this->dutyHolderSeen({});
    else if (key.starts_with(this->registry.prefix()))
        this->registry.recordSeen(key, {}, this->now());
}

void RelayProcess::dutyHolderSeen(const std::string &record)
{
    this->duties.holderSeen(record);
    this->peers.setDutyHolder(this->duties.holder());
}

void RelayProcess::applyConfig(const std::string &value)
{
    try {
        RelayConfig config = this->transport.decodeConfig(value);
        const std::int64_t known = this->context.routes ? this->context.routes->config().version : -1;
        if (config.version <= known)
            return;
        std::set<std::string> models;
        for (const RelayService &service : config.services) {
            if (service.isModel)
                models.insert(service.name);
        }
        this->scheduler.setModelServices(std::move(models));
        this->context.routes = std::make_shared<const RouteTable>(std::move(config));
        logEvent(LogLevel::Info,
                 "configuration",
                 {{"version", this->context.routes->config().version},
                  {"before", known},
                  {"routes", this->context.routes->config().routes.size()}});
    } catch (const std::exception &error) {
        logEvent(LogLevel::Error, "configuration-refused", {{"error", error.what()}});
    }
}

void RelayProcess::upstreamSeen(const std::string &key, const std::string &value)
{
    try {
        this->directory.set(this->transport.decodeUpstream(key.substr(this->settings.upstreamPrefix.size()), value));
        this->unreadable.erase(key);
    } catch (const std::exception &error) {
        // The entry names no upstream to use; it is reported once.
        this->directory.remove(key.substr(this->settings.upstreamPrefix.size()), this->now());
        if (std::exchange(this->unreadable[key], value) != value)
            logEvent(LogLevel::Warning, "upstream-entry", {{"key", key}, {"error", error.what()}});
    }
}

void RelayProcess::applyUpstreams()
{
    const auto upstreams = this->directory.upstreams();
    std::map<std::string, UpstreamState> states;
    for (const Upstream &upstream : upstreams)
        states[upstream.id] = upstream.state;
    for (const Upstream &upstream : upstreams) {
        const auto known = this->upstreamStates.find(upstream.id);
        if (known != this->upstreamStates.end() && known->second == upstream.state)
            continue;
        logEvent(LogLevel::Info,
                 "upstream",
                 {{"upstream", upstream.id},
                  {"service", upstream.service},
                  {"state", upstreamStateName(upstream.state)},
                  {"revision", this->upstreamStore.revision()}});
    }
    for (const auto &[id, state] : this->upstreamStates) {
        if (!states.contains(id))
            logEvent(LogLevel::Info,
                     "upstream",
                     {{"upstream", id}, {"state", "gone"}, {"revision", this->upstreamStore.revision()}});
    }
    this->upstreamStates = std::move(states);
    this->scheduler.applyUpstreams(upstreams, this->now());
}

void RelayProcess::reportHealth(TimePoint now, std::chrono::nanoseconds lateness)
{
    this->metrics.addLoopLateness(lateness);
    this->worstLateness = std::max(this->worstLateness, lateness);
    if (now - this->healthReported < healthInterval)
        return;
    const PeerTraffic &traffic = this->peers.traffic();
    const PeerTraffic before = std::exchange(this->reportedTraffic, traffic);
    const UpstreamListFreshness freshness = this->upstreamListFreshness();
    this->metrics.setTotal("hemlock_peer_sent_bytes_total", "Bytes sent to other entry VMs.", traffic.sentBytes);
    this->metrics.setTotal(
        "hemlock_peer_received_bytes_total", "Bytes received from other entry VMs.", traffic.receivedBytes);
    this->metrics.setTotal("hemlock_peer_unsent_datagrams_total",
                           "Messages to other entry VMs that the system did not take.",
                           traffic.unsentDatagrams);
    logEvent(LogLevel::Info,
             "health",
             {{"loopLateMs", std::chrono::duration_cast<std::chrono::milliseconds>(this->worstLateness).count()},
              {"calls", this->calls.size()},
              {"peerBytesSent", traffic.sentBytes - before.sentBytes},
              {"peerBytesReceived", traffic.receivedBytes - before.receivedBytes},
              {"peerUnsent", traffic.unsentDatagrams - before.unsentDatagrams},
              {"peerLargest", traffic.largestDatagram},
              {"suspects", this->quarantine.size()},
              {"upstreamsRevision", freshness.revision},
              {"upstreamsAgeMs", freshness.age.count()}});
    this->healthReported = now;
    this->worstLateness = {};
}

void RelayProcess::tick()
{
    const TimePoint now = this->now();
    if (this->ticker.expiry() != asio::steady_timer::time_point())
        this->reportHealth(now, std::chrono::steady_clock::now() - this->ticker.expiry());
    if (this->directory.expire(now))
        this->applyUpstreams();
    this->scheduler.tick(now);
    this->retries.setMaxRetries(this->retriesOfOneVm(now));
    if (!this->isDraining)
        this->registry.tick(now, this->randomPart());
    this->plan();
    if (!this->isDraining)
        this->duties.tick(now, this->wallTime(), this->randomPart());
    this->ticker.expires_after(tickInterval);
    this->ticker.async_wait([this](const asio::error_code &error) {
        if (!error)
            this->tick();
    });
}

double RelayProcess::retriesOfOneVm(TimePoint now) const
{
    const std::size_t vms = std::max(this->settings.expectedVms, this->registry.count(now) + 1);
    return std::max(1.0, this->settings.keptRetries / static_cast<double>(vms));
}

void RelayProcess::plan()
{
    const TimePoint now = this->now();
    if (!this->context.routes || !this->planTask.isDue(now, planInterval, this->randomPart()))
        return;
    // Every VM follows the demand, so that a new holder of the duty knows it.
    for (const RelayService &service : this->context.routes->config().services) {
        const auto own = this->scheduler.demandedTokens().find(service.name);
        const double ownTokens = own == this->scheduler.demandedTokens().end() ? 0.0 : own->second;
        const auto others = this->peers.demand().find(service.name);
        const double otherTokens = others == this->peers.demand().end() ? 0.0 : others->second;
        this->planner.noteDemand(service.name, ownTokens + otherTokens, now);
    }
    if (!this->duties.isActing(now) || this->upstreamStore.revision() == 0)
        return;
    std::set<UpstreamOrder> orders;
    for (const RelayService &service : this->context.routes->config().services) {
        this->planner.noteSupply(service.name, this->supplyOf(service.name), now);
        orders.merge(this->planner.plan(service, now));
    }
    this->duties.setOrders(orders);
}

FleetPlanner::Supply RelayProcess::supplyOf(const std::string &service)
{
    FleetPlanner::Supply supply;
    for (const auto &[id, upstream] : this->scheduler.upstreams().all()) {
        if (upstream.service != service)
            continue;
        ZoneSupply &zone = supply[upstream.zone.name];
        if (upstream.state == UpstreamState::Serving)
            ++(upstream.isReclaimable ? zone.reclaimable : zone.onDemand);
        else if (upstream.isReclaimable)
            ++zone.leaving;
    }
    return supply;
}

void RelayProcess::brokenOff(const Upstream &upstream, const std::string &fingerprint)
{
    const TimePoint now = this->now();
    auto &recent = this->broken[upstream.id];
    std::erase_if(recent, [now](const auto &entry) { return now - entry.first > crashWindow; });
    recent.emplace_back(now, fingerprint);
    // One broken answer may be the link's or the answer's own fault; a second one, or a refused connection, shows that
    // the upstream is down.
    if (recent.size() < 2)
        return;
    for (const auto &[time, suspect] : recent) {
        if (!suspect.empty())
            this->quarantine.requestCrashed(suspect, upstream, now);
    }
    recent.clear();
    this->scheduler.upstreamFailed(upstream.id, now);
}

bool RelayProcess::accepts(CallKind kind) const
{
    if (!this->isDraining)
        return true;
    const auto passed = this->now() - this->drainBegan;
    if (kind == CallKind::Stream)
        return passed < streamDrainTime;
    return passed < this->settings.drainTime - drainMargin - shortCallTime;
}

void RelayProcess::awaitSignal()
{
    this->signals.async_wait([this](const asio::error_code &error, int) {
        if (!error)
            this->drain();
    });
}

void RelayProcess::drain()
{
    if (this->isDraining)
        return;
    this->isDraining = true;
    this->drainBegan = this->now();
    logEvent(LogLevel::Info, "drain", {{"calls", this->calls.size()}});
    this->callers.setDraining(true);
    this->registry.leave();
    this->checkDrained();
}

void RelayProcess::checkDrained()
{
    const TimePoint now = this->now();
    const bool isQuiet = this->calls.empty() && now - this->lastRequest > quietTime;
    const bool isOver = now - this->drainBegan >= this->settings.drainTime - drainMargin;
    if (isOver || (isQuiet && now - this->drainBegan >= leastDrainTime)) {
        logEvent(LogLevel::Info, "stop", {{"calls", this->calls.size()}});
        this->loop.stop();
        return;
    }
    this->drainTimer.expires_after(tickInterval);
    this->drainTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            this->checkDrained();
    });
}

} // namespace hemlock
