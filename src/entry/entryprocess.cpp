#include "entryprocess.h"

#include "logger.h"
#include "refusal.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace hemlock {

namespace {

// When the last call ends, its answer may still have to be written to the socket.
constexpr std::chrono::milliseconds flushDelay{200};

// If the VM is reclaimed before its streams end, at most the tokens of one interval are lost and generated again.
constexpr std::chrono::milliseconds handoverInterval{500};

constexpr std::chrono::seconds progressInterval{1};

constexpr std::chrono::milliseconds admissionInterval{100};

// Well below the lease of a loan (2 s), so that a loan survives a lost request.
constexpr std::chrono::milliseconds shareRequestInterval{400};

HttpServerSettings serverSettings(const Endpoint &endpoint, std::size_t maxBodyBytes)
{
    HttpServerSettings settings;
    settings.address = endpoint.address;
    settings.port = endpoint.port;
    settings.maxBodyBytes = maxBodyBytes;
    return settings;
}

// RESTinio closes a connection without an answer when a body exceeds its limit. Bodies up to this multiple of
// maxBodyBytes are read, so that their senders get an error answer.
constexpr std::size_t readBodyFactor = 4;

// A snapshot of 12,000 upstreams takes about 2 MB.
constexpr std::size_t maxControlBodyBytes = std::size_t{64} * 1024 * 1024;

std::ptrdiff_t countServing(const Snapshot &snapshot)
{
    return std::count_if(snapshot.upstreams.begin(), snapshot.upstreams.end(), [](const Upstream &upstream) {
        return upstream.state == UpstreamState::Serving;
    });
}

} // namespace

EntryProcess::EntryProcess(asio::io_context &loop, const EntrySettings &settings)
    : loop(loop)
    , context(loop, settings)
    , gateway(this->context)
    , rpcServer(ControlAuth(settings.controlKey))
    , peerClient(this->context.http, ControlAuth(settings.controlKey))
    , handover(this->context, this->peerClient)
    , callerServer(loop,
                   serverSettings(settings.listen, settings.maxBodyBytes * readBodyFactor),
                   [this](const HttpRequest &request, const HttpResponderPtr &responder) {
                       this->gateway.handle(request, responder);
                   })
    , controlServer(loop,
                    serverSettings(settings.control, maxControlBodyBytes),
                    [this](const HttpRequest &request, const HttpResponderPtr &responder) {
                        this->handleControl(request, responder);
                    })
    , signals(loop, SIGTERM, SIGINT)
    , drainTimer(loop)
    , handoverTimer(loop)
    , progressTimer(loop)
    , loadPoller(this->context)
    , admissionTimer(loop)
    , sharesTimer(loop)
    , random(std::random_device()())
    , shares(this->context.admission.rateLimiter(), this->peerClient, this->random)
{
    this->addMethods();
    this->setDefaultHandlers();
    if (!settings.store.empty())
        this->intentCoordinator = std::make_unique<IntentCoordinator>(
            loop,
            this->context.http,
            IntentCoordinatorSettings{settings.store, settings.controlKey, settings.id, settings.intents});
    this->context.calls.setLastCallEnded([this] { this->stopWhenIdle(); });
}

void EntryProcess::start()
{
    this->awaitSignal();
    this->checkProgress();
    this->tickAdmission();
    this->exchangeShares();
    this->loadPoller.start();
    const std::string controlAddress = this->controlServer.start();
    if (this->intentCoordinator) {
        this->intentCoordinator->start(controlAddress);
        this->useIntentLog();
    }
    announceAddress("listen", this->callerServer.start());
    announceAddress("control", controlAddress);
}

void EntryProcess::handleControl(const HttpRequest &request, const HttpResponderPtr &responder)
{
    if (request.path == rpcPath) {
        this->rpcServer.handle(request, responder);
        return;
    }
    if (request.path == "/metrics") {
        responder->reply(200, {{"Content-Type", "text/plain; version=0.0.4"}}, this->context.metrics.prometheusText());
        return;
    }
    if (this->intentCoordinator && request.path.starts_with("/peer/")) {
        this->intentCoordinator->handlePeerMessage(
            request, responder, [this](const PeerCall &call, const HttpResponderPtr &responder) {
                this->gateway.runPeerCall(call, responder);
            });
        return;
    }
    replyRefusal(*responder,
                 {Verdict::NotRun, 404, "unknown-path", "nothing is served at this path", {}},
                 requestIdOf(request.headers));
}

void EntryProcess::addMethods()
{
    this->rpcServer.addMethod("applySnapshot",
                              [this](const nlohmann::json &params) { return this->applySnapshot(params); });
    this->rpcServer.addMethod("holdStreams",
                              [this](const nlohmann::json &params) { return this->handover.hold(params); });
    this->rpcServer.addMethod("findStream",
                              [this](const nlohmann::json &params) { return this->handover.find(params); });
    this->rpcServer.addMethod("quarantineDelta",
                              [this](const nlohmann::json &params) { return this->quarantineDelta(params); });
    this->rpcServer.addMethod("applyQuarantine",
                              [this](const nlohmann::json &params) { return this->applyQuarantine(params); });
    this->rpcServer.addMethod("lendShares", [this](const nlohmann::json &params) {
        return this->shares.lend(params, std::chrono::steady_clock::now());
    });
    this->rpcServer.addMethod("drain", [this](const nlohmann::json &) {
        this->drain();
        return nlohmann::json::object();
    });
    this->rpcServer.addMethod("report", [this](const nlohmann::json &) { return this->report(); });
    this->rpcServer.addMethod("explain", [this](const nlohmann::json &params) { return this->explain(params); });
}

nlohmann::json EntryProcess::applySnapshot(const nlohmann::json &params)
{
    this->context.configuration.apply(params.get<Snapshot>());
    const Snapshot &snapshot = this->context.configuration.snapshot();
    this->context.dispatcher.applyUpstreams(snapshot.upstreams, static_cast<int>(snapshot.peers.size()) + 1);
    this->context.admission.applySnapshot(snapshot, std::chrono::steady_clock::now());
    logEvent(LogLevel::Info,
             "snapshot-applied",
             {{"manifestVersion", snapshot.manifestVersion},
              {"sequence", snapshot.sequence},
              {"services", snapshot.services.size()},
              {"upstreams", snapshot.upstreams.size()},
              {"serving", countServing(snapshot)},
              {"peers", snapshot.peers.size()}});
    return {{"manifestVersion", snapshot.manifestVersion}, {"sequence", snapshot.sequence}};
}

nlohmann::json EntryProcess::report()
{
    return {{"inFlight", this->context.dispatcher.upstreams().inFlight()},
            {"failures", this->context.dispatcher.upstreams().takeFailures()},
            {"openCalls", this->context.calls.size()},
            {"draining", this->context.isDraining}};
}

nlohmann::json EntryProcess::explain(const nlohmann::json &params) const
{
    return {{"decisions", this->context.dispatcher.decisions().find(params.at("request").get<std::string>())}};
}

nlohmann::json EntryProcess::quarantineDelta(const nlohmann::json &params)
{
    return this->context.dispatcher.quarantine().delta(params.value("after", std::uint64_t{0}),
                                                       std::chrono::steady_clock::now());
}

nlohmann::json EntryProcess::applyQuarantine(const nlohmann::json &params)
{
    this->context.dispatcher.quarantine().applyDelta(params, std::chrono::steady_clock::now());
    return nlohmann::json::object();
}

void EntryProcess::setDefaultHandlers()
{
    this->context.submitIntent = [this](const IntentRequest &,
                                        const std::function<void(const IntentDecision &)> &onDecided) {
        IntentDecision decision;
        if (this->context.settings.unsafeIntents)
            decision.action = IntentAction::Dispatch;
        decision.refusal = {Verdict::NotRun,
                            503,
                            "intent-log-unavailable",
                            "the call may not be repeated and its intent cannot be recorded",
                            std::chrono::seconds(1)};
        onDecided(decision);
    };
    this->context.findHandedOverStream = [this](const StreamPosition &stream,
                                                const std::function<void(const HandedOverTokens &)> &done) {
        this->handover.askPeers(stream, done);
    };
    this->context.completeIntent = [](const IntentRequest &, Verdict, const StoredAnswer &) {};
}

void EntryProcess::useIntentLog()
{
    this->hasReleasedIntents = false;
    this->context.submitIntent = [this](const IntentRequest &request,
                                        const std::function<void(const IntentDecision &)> &onDecided) {
        this->intentCoordinator->submit(request, onDecided);
    };
    this->context.completeIntent = [this](const IntentRequest &request, Verdict verdict, const StoredAnswer &answer) {
        this->intentCoordinator->complete(request, verdict, answer);
    };
    this->context.forwardCall = [this](const std::string &ownerAddress,
                                       const IntentRequest &intent,
                                       const HttpRequest &request,
                                       const std::function<void(const ForwardOutcome &)> &done) {
        this->intentCoordinator->forward(ownerAddress, intent, request, done);
    };
}

void EntryProcess::releaseIntents()
{
    if (!this->intentCoordinator)
        return;
    this->intentCoordinator->release(this->context.settings.releaseLimit, [this] {
        this->hasReleasedIntents = true;
        this->stopWhenIdle();
    });
}

void EntryProcess::awaitSignal()
{
    this->signals.async_wait([this](const asio::error_code &error, int) {
        if (error)
            return;
        this->drain();
        this->awaitSignal();
    });
}

void EntryProcess::drain()
{
    if (std::exchange(this->context.isDraining, true))
        return;
    logEvent(LogLevel::Info, "draining", {{"openCalls", this->context.calls.size()}});
    this->callerServer.setDraining(true);
    this->handOverStreams();
    this->drainTimer.expires_after(this->context.settings.drainNotice);
    this->drainTimer.async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        this->hasDrainNoticePassed = true;
        this->callerServer.stopAccepting();
        this->releaseIntents();
        this->stopWhenIdle();
    });
}

void EntryProcess::handOverStreams()
{
    this->handover.send();
    this->handoverTimer.expires_after(handoverInterval);
    this->handoverTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            this->handOverStreams();
    });
}

void EntryProcess::tickAdmission()
{
    this->context.admission.tick(std::chrono::steady_clock::now());
    this->admissionTimer.expires_after(admissionInterval);
    this->admissionTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            this->tickAdmission();
    });
}

void EntryProcess::exchangeShares()
{
    this->shares.requestShares(this->context.configuration.snapshot().peers, std::chrono::steady_clock::now());
    this->sharesTimer.expires_after(shareRequestInterval);
    this->sharesTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            this->exchangeShares();
    });
}

void EntryProcess::checkProgress()
{
    const auto now = std::chrono::steady_clock::now();
    this->context.calls.forEach([now](OpenCall &call) { call.checkProgress(now); });
    for (const Service &service : this->context.configuration.snapshot().services) {
        if (service.kind == ServiceKind::Model)
            this->context.metrics.setQueueLength({service.id, {}}, this->context.admission.queued(service.id));
    }
    this->progressTimer.expires_after(progressInterval);
    this->progressTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            this->checkProgress();
    });
}

void EntryProcess::stopWhenIdle()
{
    if (!this->hasDrainNoticePassed || !this->hasReleasedIntents || this->context.calls.size() > 0)
        return;
    this->drainTimer.expires_after(flushDelay);
    this->drainTimer.async_wait([this](const asio::error_code &error) {
        if (error || this->context.calls.size() > 0)
            return;
        logEvent(LogLevel::Info, "stopped", nlohmann::json::object());
        this->loop.stop();
    });
}

} // namespace hemlock
