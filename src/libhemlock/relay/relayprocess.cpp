#include "relay/relayprocess.h"

#include "bootclock.h"
#include "encoding.h"
#include "logger.h"
#include "relay/callerlimits.h"

#include <asio/post.hpp>

#include <cmath>
#include <csignal>

namespace hemlock {

namespace {

constexpr std::chrono::milliseconds tickInterval{100};

/// Prompts with at least this many tokens are reported to peers at once.
constexpr double longPromptTokens = 5000.0;

/// Two broken connections to an upstream within this time mean that it has crashed.
constexpr std::chrono::milliseconds crashWindow{1500};

/// Callers keep idle connections open for a time from the configuration, which may change; this is longer than any
/// such value.
constexpr std::chrono::seconds callerIdleTimeout{180};

constexpr std::chrono::milliseconds planInterval{500};

constexpr std::chrono::seconds healthInterval{2};

/// Time after the start within which the peers of the availability zone become known; earlier ones are not relied on.
constexpr std::chrono::milliseconds peerDiscoveryTime{800};

/// VMs that start together claim the duties within this time, so that most of them find a holder and need no call.
constexpr std::chrono::milliseconds maxClaimDelay{1000};

constexpr std::size_t maxBodyBytes = std::size_t{16} * 1024 * 1024;

constexpr std::string_view ownKeyPrefix = "hemlock/";

/// Written several times a second, so it is outside of the prefixes that VMs watch.
constexpr std::string_view countsKey = "hemlock-counts/usage";

HttpServerSettings serverSettings(const std::string &address, std::size_t maxWaitingConnections)
{
    HttpServerSettings settings;
    const std::size_t colon = address.rfind(':');
    settings.address = address.substr(0, colon);
    settings.port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    settings.maxBodyBytes = maxBodyBytes;
    settings.maxWaitingConnections = maxWaitingConnections;
    settings.readTimeout = callerIdleTimeout;
    return settings;
}

DutySettings dutySettings(const RelaySettings &settings, const std::string &runId, const StoreEra &era)
{
    DutySettings duties;
    duties.runId = runId;
    duties.holder = settings.node;
    duties.keyPrefix = std::string(ownKeyPrefix) + "duties";
    duties.countsKey = std::string(countsKey);
    duties.leaseTtl = std::chrono::ceil<std::chrono::seconds>(settings.dutyLease);
    duties.storeEra = [&era] { return era.current(); };
    duties.isFirstStart = settings.isFirstStart;
    return duties;
}

} // namespace

RelayProcess::RelayProcess(asio::io_context &loop,
                           RelaySettings relaySettings,
                           HttpClient &http,
                           const KvAccess &storeAccess,
                           RelayTransport relayTransport)
    : loop(loop)
    , settings(std::move(relaySettings))
    , transport(std::move(relayTransport))
    , storeOutages(this->settings.upstreamHeartbeat, bootTimeNow)
    , kv(this->writeGuard.guarded(this->storeEra.observed(this->storeOutages.observed(storeAccess))))
    , runId(makeUniqueId())
    , random(std::random_device()())
    , scheduler(this->settings.zone, RandomEngine(this->random()))
    , departures(this->settings.upstreamUpdateDeadline / 2)
    , quota(this->settings.quota, RandomEngine(this->random()))
    , retries(this->settings.retries)
    , retryCapacity({this->settings.totalRetryCapacity, this->settings.expectedVms})
    , quarantine(RequestSuspects::quarantineSettings(this->settings.node))
    , suspectRecords(this->kv,
                     std::string(ownKeyPrefix) + "suspects/",
                     this->quarantine,
                     {[this] { return this->now(); }, [this] { return this->wallTime(); }})
    , usage(this->settings.usageWindow)
    , registry(this->kv,
               std::string(ownKeyPrefix) + "nodes/",
               this->settings.node,
               this->settings.peerAddress,
               this->settings.zone.name,
               this->settings.controlAddress,
               {this->settings.cpuShare, std::chrono::system_clock::now()})
    , duties(this->kv, dutySettings(this->settings, this->runId, this->storeEra), this->transport, this->usage)
    , context{loop,
              http,
              this->transport,
              this->scheduler,
              this->quota,
              this->retries,
              this->quarantine,
              this->usage,
              this->metrics,
              [this](std::chrono::milliseconds timeLimit, bool isResumable) {
                  return this->shutdown.accepts(timeLimit, isResumable, this->now());
              },
              nullptr,
              std::chrono::seconds(10),
              [this] { return this->peerCount(this->now()); },
              [this] { return this->now(); },
              [this] { return this->wallTime(); },
              [this] { return this->upstreamListFreshness(); },
              [this](const Upstream &upstream) { this->recordConnectionFailure(upstream); },
              [this](const std::string &subject, const SuspectRecords::TrialDone &done) {
                  this->suspectRecords.requestTrial(subject, done);
              },
              [this](double tokens) {
                  if (tokens >= longPromptTokens)
                      this->peerExchange.expedite();
              }}
    , store(loop,
            http,
            this->kv,
            {this->settings.configKey,
             this->settings.upstreamPrefix,
             std::string(ownKeyPrefix),
             this->settings.upstreamUpdateDeadline,
             this->settings.configUpdateDeadline},
            this->storeHooks())
    , callerServer(loop,
                   serverSettings(this->settings.callerAddress, maxWaitingConnections(this->settings).callers),
                   [this](HttpRequest request, const HttpResponderPtr &responder) {
                       this->handleCallerRequest(std::move(request), responder);
                   })
    , readinessServer(
          loop,
          serverSettings(this->settings.readinessAddress, maxWaitingConnections(this->settings).others),
          [this](const HttpRequest &, const HttpResponderPtr &responder) { this->handleReadiness(responder); })
    , controlServer(loop,
                    serverSettings(this->settings.controlAddress, maxWaitingConnections(this->settings).others),
                    [this](const HttpRequest &request, const HttpResponderPtr &responder) {
                        this->handleControl(request, responder);
                    })
    , peerExchange(
          loop,
          {this->settings.node, this->runId, this->settings.zone.name, this->settings.peerAddress},
          {this->quota, this->usage, this->quarantine, this->scheduler, this->clock, this->registry},
          [this] { return this->now(); },
          [this] { return this->wallTime(); })
    , signals(loop, SIGTERM, SIGINT)
    , tickTimer(loop)
    , drainTimer(loop)
{
    this->scheduler.notices().setFleet(this->settings.node, [this] { return this->registry.nodes(this->now()); });
    this->quarantine.setSuspicionHook([](const std::string &subject, bool isStrong, std::size_t crashes) {
        logEvent(LogLevel::Warning, "quarantine", {{"subject", subject}, {"strong", isStrong}, {"crashes", crashes}});
    });
    this->storeEra.setRestoredHook([this](std::int64_t, std::int64_t) { this->storeRestored(); });
    this->duties.setEnabledDuties(this->settings.reportsUsage, this->settings.ordersUpstreams);
    this->duties.setOrderRefusedHandler([this](const UpstreamOrder &order) {
        if (order.isReclaimable)
            this->planner.recordRefusal(order.service, order.zone, this->now());
    });
}

void RelayProcess::start()
{
    this->awaitSignal();
    if (!this->settings.startsWithRetries)
        this->retries.deferInitialBalance(this->now() + this->settings.retryWindow);
    this->firstClaimTime =
        this->now() + std::chrono::milliseconds(std::llround(this->randomFraction() * maxClaimDelay.count()));
    this->store.start();
    this->callerServer.setLimits(callerLimits(this->settings, nullptr));
    if (const auto connections = maxUpstreamConnections(this->settings))
        this->context.http.setMaxConnections(*connections);
    if (const auto bytes = answerBufferBytes(this->settings))
        this->context.answerBuffers->setCapacity(*bytes);
    this->callerServer.start();
    this->readinessServer.start();
    this->controlServer.start();
    logEvent(LogLevel::Info, "start", {{"callers", this->settings.callerAddress}, {"zone", this->settings.zone.name}});
    this->tick();
    this->peerExchange.start();
}

void RelayProcess::applySettings(const RelaySettings &changed)
{
    this->settings.drainTime = changed.drainTime;
    this->settings.reportsUsage = changed.reportsUsage;
    this->settings.ordersUpstreams = changed.ordersUpstreams;
    this->duties.setEnabledDuties(changed.reportsUsage, changed.ordersUpstreams);
    // Whether the whole system starts for the first time is decided once, when the process starts.
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
    return bootTimeNow();
}

double RelayProcess::randomFraction()
{
    return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
}

void RelayProcess::handleCallerRequest(HttpRequest request, const HttpResponderPtr &responder)
{
    this->shutdown.callStartedOrEnded(this->now());
    auto weakCall = std::make_shared<std::weak_ptr<RelayCall>>();
    auto call = std::make_shared<RelayCall>(this->context, responder, [this, weakCall] {
        // The call is still on the stack when this runs, so it is destroyed later.
        this->shutdown.callStartedOrEnded(this->now());
        asio::post(this->loop, [this, ended = weakCall->lock(), alive = std::weak_ptr<bool>(this->alive)] {
            if (!alive.expired())
                this->calls.erase(ended);
        });
    });
    *weakCall = call;
    this->calls.insert(call);
    call->start(std::move(request));
}

void RelayProcess::handleReadiness(const HttpResponderPtr &responder) const
{
    const bool isReady = this->context.routes && !this->shutdown.hasBegun();
    responder->reply(isReady ? 200 : 503, {}, isReady ? "ready\n" : "not ready\n");
}

void RelayProcess::handleControl(const HttpRequest &request, const HttpResponderPtr &responder)
{
    if (request.path == storePollPath)
        return this->store.handlePoll(request, responder);
    if (request.path == "/metrics")
        return responder->reply(200, {{"Content-Type", "text/plain; version=0.0.4"}}, this->metrics.prometheusText());
    responder->reply(404, {}, "unknown path\n");
}

UpstreamListFreshness RelayProcess::upstreamListFreshness() const
{
    const auto age = this->now() - this->store.upstreams().lastRead().answered;
    return {this->store.upstreams().revision(), std::chrono::duration_cast<std::chrono::milliseconds>(age)};
}

StoreSubscriptionsHooks RelayProcess::storeHooks()
{
    StoreSubscriptionsHooks hooks;
    hooks.configLoaded = [this](const StoreSubscriptionsHooks::Values &values) {
        for (const auto &[key, value] : values)
            this->applyEntry(key, value);
    };
    hooks.upstreamsLoaded = [this](const StoreSubscriptionsHooks::Values &values) { this->loadUpstreams(values); };
    hooks.ownKeysLoaded = [this](const StoreSubscriptionsHooks::Values &values) { this->loadOwnKeys(values); };
    hooks.keysChanged = [this](const std::vector<KvEvent> &events) { this->applyChanges(events); };
    hooks.reachabilityChanged = [this](bool reachable, const std::string &error) {
        this->storeReachabilityChanged(reachable, error);
    };
    hooks.eraTold = [this](std::int64_t era) { return this->storeEra.observe(era); };
    hooks.era = [this] { return this->storeEra.current(); };
    hooks.reader = [this](const std::set<std::string> &excluded) -> std::optional<StoreReader> {
        const TimePoint now = this->now();
        if (now < this->startTime + peerDiscoveryTime)
            return std::nullopt;
        return this->registry.storeReader(excluded, now);
    };
    return hooks;
}

void RelayProcess::storeReachabilityChanged(bool reachable, const std::string &error)
{
    const bool hadOutage = reachable && this->storeOutages.hasEndedAfter(this->lastReadBeforeLoss);
    logEvent(reachable ? LogLevel::Info : LogLevel::Warning,
             reachable ? "store-regained" : "store-lost",
             {{"error", error}, {"revision", this->store.upstreams().revision()}, {"outage", hadOutage}});
    if (!reachable)
        this->lastReadBeforeLoss = this->store.upstreams().lastRead().answered;
    // Entries lapse only if the store itself was out of reach.
    if (hadOutage)
        this->directory.storeRecovered(this->now());
}

void RelayProcess::storeRestored()
{
    this->directory.storeRestored(this->now());
    this->duties.storeRestored(this->now());
    this->registry.storeRestored();
    this->suspectRecords.storeRestored();
    this->store.reload();
}

void RelayProcess::loadUpstreams(const std::map<std::string, std::string> &values)
{
    std::vector<Upstream> listed;
    for (const auto &[key, value] : values) {
        try {
            listed.push_back(this->transport.decodeUpstream(key.substr(this->settings.upstreamPrefix.size()), value));
        } catch (const std::exception &) {
            this->applyUpstreamEntry(key, value);
        }
    }
    this->directory.replaceAll(listed, this->now());
    this->applyUpstreams();
}

void RelayProcess::loadOwnKeys(const std::map<std::string, std::string> &values)
{
    const auto holder = values.find(this->duties.holderKey());
    this->updateDutyHolder(holder == values.end() ? std::string() : holder->second);
    for (const auto &[key, value] : values)
        this->applyEntry(key, value);
}

void RelayProcess::applyChanges(const std::vector<KvEvent> &events)
{
    bool upstreamsChanged = false;
    for (const KvEvent &event : events) {
        upstreamsChanged = upstreamsChanged || event.entry.key.starts_with(this->settings.upstreamPrefix);
        if (event.isDelete)
            this->removeEntry(event.entry.key);
        else
            this->applyEntry(event.entry.key, event.entry.value);
    }
    if (upstreamsChanged)
        this->applyUpstreams();
}

void RelayProcess::applyEntry(const std::string &key, const std::string &value)
{
    if (key == this->settings.configKey)
        this->applyConfig(value);
    else if (key.starts_with(this->settings.upstreamPrefix))
        this->applyUpstreamEntry(key, value);
    else if (key == this->duties.holderKey())
        this->updateDutyHolder(value);
    else if (key.starts_with(this->registry.prefix()))
        this->registry.recordChanged(key, value, this->now());
    else if (key.starts_with(this->suspectRecords.prefix()))
        this->suspectRecords.recordChanged(key, value);
}

void RelayProcess::removeEntry(const std::string &key)
{
    if (key.starts_with(this->settings.upstreamPrefix))
        this->directory.remove(key.substr(this->settings.upstreamPrefix.size()), this->now());
    else if (key == this->duties.holderKey())
        this->updateDutyHolder({});
    else if (key.starts_with(this->registry.prefix()))
        this->registry.recordChanged(key, {}, this->now());
    else if (key.starts_with(this->suspectRecords.prefix()))
        this->suspectRecords.recordChanged(key, {});
}

void RelayProcess::updateDutyHolder(const std::string &record)
{
    this->duties.updateHolder(record);
    this->peerExchange.setDutyHolder(this->duties.holder());
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
        this->callerServer.setLimits(callerLimits(this->settings, &config));
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

void RelayProcess::applyUpstreamEntry(const std::string &key, const std::string &value)
{
    try {
        this->directory.set(this->transport.decodeUpstream(key.substr(this->settings.upstreamPrefix.size()), value));
        this->unreadableEntries.erase(key);
    } catch (const std::exception &error) {
        // The entry does not describe a usable upstream; each invalid value is logged once.
        this->directory.remove(key.substr(this->settings.upstreamPrefix.size()), this->now());
        if (std::exchange(this->unreadableEntries[key], value) != value)
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
                  {"revision", this->store.upstreams().revision()}});
    }
    for (const auto &[id, state] : this->upstreamStates) {
        if (!states.contains(id))
            logEvent(LogLevel::Info,
                     "upstream",
                     {{"upstream", id}, {"state", "gone"}, {"revision", this->store.upstreams().revision()}});
    }
    this->upstreamStates = std::move(states);
    this->scheduler.applyUpstreams(upstreams, this->now());
}

void RelayProcess::reportHealth(TimePoint now, std::chrono::nanoseconds lateness)
{
    this->metrics.addEventLoopLag(lateness);
    this->maxLateness = std::max(this->maxLateness, lateness);
    if (now - this->lastHealthReport < healthInterval)
        return;
    const PeerTraffic &traffic = this->peerExchange.traffic();
    const PeerTraffic before = std::exchange(this->reportedTraffic, traffic);
    const UpstreamListFreshness freshness = this->upstreamListFreshness();
    this->metrics.setTotal("hemlock_peer_sent_bytes_total", "Bytes sent to other entry VMs.", traffic.sentBytes);
    this->metrics.setTotal(
        "hemlock_peer_received_bytes_total", "Bytes received from other entry VMs.", traffic.receivedBytes);
    this->metrics.setTotal("hemlock_peer_unsent_datagrams_total",
                           "Messages to other entry VMs that the system did not take.",
                           traffic.unsentDatagrams);
    this->metrics.setTotal(
        "hemlock_store_polls_total", "Long polls sent to the store.", this->store.router().storePollCount());
    this->metrics.setTotal("hemlock_store_reader_polls_total",
                           "Long polls sent to the entry VM that reads the store for its neighbours.",
                           this->store.router().peerPollCount());
    this->metrics.setTotal("hemlock_answers_broken_off_total",
                           "Answers that this process broke off, too long or not final.",
                           this->context.http.brokenOffAnswers());
    const UpstreamNotices::Counts &notices = this->scheduler.notices().counts();
    this->metrics.setTotal(
        "hemlock_upstreams_leaving_total", "Upstreams that said that they leave, here or at a peer.", notices.leaving);
    this->metrics.setTotal(
        "hemlock_upstream_pauses_total", "Times for which an upstream wanted no request of this VM.", notices.pauses);
    this->metrics.setTotal("hemlock_invalid_upstream_notices_total",
                           "Notices in answers of upstreams whose value was ignored or bounded.",
                           notices.invalid);
    reportRefusedCallers(this->callerServer, this->metrics);
    logEvent(LogLevel::Info,
             "health",
             {{"loopLateMs", std::chrono::duration_cast<std::chrono::milliseconds>(this->maxLateness).count()},
              {"calls", this->calls.size()},
              {"answerBytes", this->context.answerBuffers->usedBytes()},
              {"callerBytes", this->callerServer.buffers().usedBytes()},
              {"peerBytesSent", traffic.sentBytes - before.sentBytes},
              {"peerBytesReceived", traffic.receivedBytes - before.receivedBytes},
              {"peerUnsent", traffic.unsentDatagrams - before.unsentDatagrams},
              {"peerLargest", traffic.largestDatagram},
              {"suspects", this->quarantine.size()},
              {"upstreamsRevision", freshness.revision},
              {"upstreamsAgeMs", freshness.age.count()}});
    this->lastHealthReport = now;
    this->maxLateness = {};
}

void RelayProcess::tick()
{
    const TimePoint now = this->now();
    if (this->tickTimer.expiry() != asio::steady_timer::time_point())
        this->reportHealth(now, std::chrono::steady_clock::now() - this->tickTimer.expiry());
    if (this->directory.expire(now))
        this->applyUpstreams();
    if (this->directory.takeReloadDue(now))
        this->store.reloadUpstreams();
    this->store.tick();
    this->scheduler.tick(now);
    this->giveUpUnreceivedRequests(now);
    this->suspectRecords.tick();
    this->updateRetryCapacity(now);
    if (!this->shutdown.hasBegun())
        this->registry.tick(now, this->randomFraction());
    this->planUpstreams();
    if (!this->shutdown.hasBegun()) {
        this->duties.setClaimsRole(this->claimsDuties(now));
        this->duties.tick(now, this->wallTime(), this->randomFraction());
    }
    this->tickTimer.expires_after(tickInterval);
    this->tickTimer.async_wait([this, alive = std::weak_ptr<bool>(this->alive)](const asio::error_code &error) {
        if (!error && !alive.expired())
            this->tick();
    });
}

void RelayProcess::giveUpUnreceivedRequests(TimePoint now)
{
    const auto overdue = this->departures.overdue(this->scheduler.upstreams(), now);
    if (overdue.empty())
        return;
    for (const auto &call : this->calls)
        call->giveUpUnreceived(overdue);
}

bool RelayProcess::claimsDuties(TimePoint now) const
{
    if (this->store.ownKeys().revision() == 0 || now < this->firstClaimTime)
        return false;
    // In a large fleet, each VM would call the store whenever the holder changes.
    return !this->registry.isLargeFleet(now) || this->store.router().readsStore();
}

std::size_t RelayProcess::peerCount(TimePoint now) const
{
    const std::size_t known = this->registry.count(now);
    const bool isRegistryRead = this->store.ownKeys().revision() != 0;
    return isRegistryRead ? known : std::max(known, this->settings.expectedVms - 1);
}

void RelayProcess::updateRetryCapacity(TimePoint now)
{
    std::optional<std::size_t> vms;
    if (this->store.ownKeys().revision() != 0)
        vms = this->registry.count(now) + 1;
    this->retries.setMaxRetries(this->retryCapacity.perVm(vms, now));
}

void RelayProcess::planUpstreams()
{
    const TimePoint now = this->now();
    if (!this->context.routes || !this->planTask.isDue(now, planInterval, this->randomFraction()))
        return;
    // Every VM plans, so that a VM that becomes the duty holder can order at once.
    for (const RelayService &service : this->context.routes->config().services) {
        const auto own = this->scheduler.demandedTokens().find(service.name);
        const double ownTokens = own == this->scheduler.demandedTokens().end() ? 0.0 : own->second;
        const auto others = this->peerExchange.demand().find(service.name);
        const double otherTokens = others == this->peerExchange.demand().end() ? 0.0 : others->second;
        this->planner.recordDemand(service.name, ownTokens + otherTokens, now);
    }
    if (this->store.upstreams().revision() == 0)
        return;
    std::set<UpstreamOrder> orders;
    for (const RelayService &service : this->context.routes->config().services) {
        this->planner.recordSupply(service.name, this->upstreamSupply(service.name), now);
        orders.merge(this->planner.plan(service, now));
    }
    if (this->duties.isActing(now))
        this->duties.setWantedOrders(orders);
}

FleetPlanner::Supply RelayProcess::upstreamSupply(const std::string &service)
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

void RelayProcess::recordConnectionFailure(const Upstream &upstream)
{
    const TimePoint now = this->now();
    auto &recent = this->recentConnectionFailures[upstream.id];
    std::erase_if(recent, [now](TimePoint time) { return now - time > crashWindow; });
    recent.push_back(now);
    logEvent(LogLevel::Info, "connection-failure", {{"upstream", upstream.id}, {"recent", recent.size()}});
    // A single broken response may be caused by the network or by the response itself; a second one, or a refused
    // connection, shows that the upstream is down.
    if (recent.size() < 2)
        return;
    logEvent(LogLevel::Info, "upstream-crashed", {{"upstream", upstream.id}, {"failures", recent.size()}});
    recent.clear();
    this->scheduler.upstreamFailed(upstream.id, now);
}

void RelayProcess::awaitSignal()
{
    this->signals.async_wait([this, alive = std::weak_ptr<bool>(this->alive)](const asio::error_code &error, int) {
        if (!error && !alive.expired())
            this->drain();
    });
}

void RelayProcess::drain()
{
    if (this->shutdown.hasBegun())
        return;
    this->shutdown.begin(this->now(), this->settings.drainTime);
    logEvent(LogLevel::Info, "drain", {{"calls", this->calls.size()}});
    this->callerServer.setDraining(true);
    this->registry.unregister();
    this->checkDrained();
}

void RelayProcess::checkDrained()
{
    const TimePoint now = this->now();
    if (this->shutdown.mustEndCalls(now)) {
        // Calls that end remove themselves.
        for (const auto &call : std::set(this->calls))
            call->endEarly();
    }
    const std::size_t unwritten = this->callerServer.openResponses();
    if (this->shutdown.mayExit(std::max(this->calls.size(), unwritten), now)) {
        logEvent(LogLevel::Info, "stop", {{"calls", this->calls.size()}, {"unwrittenAnswers", unwritten}});
        this->loop.stop();
        return;
    }
    this->drainTimer.expires_after(tickInterval);
    this->drainTimer.async_wait([this, alive = std::weak_ptr<bool>(this->alive)](const asio::error_code &error) {
        if (!error && !alive.expired())
            this->checkDrained();
    });
}

} // namespace hemlock
