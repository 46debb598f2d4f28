#include "relaysoak.h"

#include "freeports.h"
#include "oddanswer.h"
#include "soakbounds.h"

#include <algorithm>
#include <csignal>
#include <fstream>

#include <unistd.h>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds configBound{2000};
constexpr std::chrono::milliseconds graceTime{8000};
constexpr std::chrono::milliseconds lossSlack{200};
constexpr std::chrono::milliseconds thawTime{300};
constexpr std::chrono::milliseconds routeTimeout{4000};
constexpr std::chrono::milliseconds timeoutSlack{500};
constexpr std::chrono::milliseconds cancelSlack{500};

constexpr std::chrono::milliseconds stepInterval{20};
/// A longer delay of the test program disturbs the calls that are open then.
constexpr std::chrono::milliseconds ownDelayLimit{100};

constexpr std::chrono::milliseconds readinessInterval{250};
constexpr std::chrono::milliseconds callDeadline{5000};

/// Time without faults at the end, in which everything has to recover.
constexpr std::chrono::seconds recoveryTime{6};
constexpr std::chrono::seconds finalTime{3};

/// Requests that may reach upstreams when the cause of their crashes must be known.
constexpr int crashingSlack = 3;
/// Share of the streams whose prompt has the tainted part, in percent.
constexpr int taintedPercent = 4;
/// Share of the calls that are copies of the request that crashes upstreams, in percent.
constexpr int deadlyPercent = 2;

constexpr std::chrono::seconds limitWindow{4};
constexpr std::chrono::milliseconds limitNotice{500};
constexpr double limitTolerance = 1.5;
constexpr double limitSlack = 5.0;

constexpr std::size_t streamUpstreams = 4;
constexpr std::size_t plainUpstreams = 4;
constexpr auto sharedPart = "5a5a:800";
constexpr auto taintedPartId = "bad0bad0:400";
constexpr auto deadlyName = "deadly";
constexpr int soundParts = 4;
/// The VMs share the limit of retries only if there are as many of them as they expect.
constexpr std::size_t stormVms = 6;
constexpr auto signatureField = "X-Hemlockflow-Response-Signature";

std::string pathOf(const std::string &kind)
{
    return "/" + kind + "/";
}

/// Loopback address of a VM. Outgoing connections use 127.0.0.1, so that they take no port of a VM that is down.
std::string vmAddress(std::size_t index)
{
    constexpr int addressesPerByte = 250;
    const int process = getpid();
    return "127." + std::to_string(1 + process / addressesPerByte % addressesPerByte) + "."
        + std::to_string(1 + process % addressesPerByte) + "."
        + std::to_string(1 + static_cast<int>(index) % addressesPerByte);
}

json decodedBounds()
{
    return {{"contact-ms", contactTime.count()},
            {"drain-ms", drainBound.count()},
            {"grace-s", std::chrono::duration_cast<std::chrono::seconds>(graceTime).count()},
            {"config-apply-ms", configBound.count()},
            {"lease-ms", 3000},
            {"retry-ratio", retryRatio},
            {"retry-slack", static_cast<int>(retrySlack)},
            {"usage-window-s", 2}};
}

} // namespace

RelaySoak::RelaySoak(SoakSettings soakSettings)
    : settings(std::move(soakSettings))
    , random(this->settings.seed)
    , cloud(this->http.loop(),
            {},
            [this](const HttpRequest &request, const HttpResponderPtr &responder) {
                this->handleDuty(request, responder);
            })
    , isPlannedOnly(this->settings.seed % 3 == 0)
    , hasStorm(this->settings.seed % 5 == 2 || this->settings.seed % 5 == 4)
    , retryWindows(retryRatio, retrySlack, retryWindow)
    , notices(drainBound)
{
    this->vms.resize(this->hasStorm ? std::max(stormVms, this->settings.vms) : this->settings.vms);
    constexpr int faultPercents[] = {1, 2, 4, 8};
    this->faultPercent = faultPercents[this->settings.seed % 4];
    this->storeAddress = this->store.start();
    this->cloudAddress = this->cloud.start();
    const Time now = std::chrono::steady_clock::now();
    for (const auto &[key, account] : permanentKeys)
        this->keys[key] = {account, now, {}};
    this->writeConfig();
    for (std::size_t i = 0; i < streamUpstreams; ++i)
        this->addUpstream(streamService);
    for (std::size_t i = 0; i < plainUpstreams; ++i)
        this->addUpstream(plainService);
    for (std::size_t i = 0; i < this->vms.size(); ++i)
        this->identifyVm(i);
    for (Vm &vm : this->vms)
        vm.settings["bootstrap"] = true;
    for (std::size_t i = 0; i < this->vms.size(); ++i)
        this->startVm(i);
    // Restarted processes get other settings than those of the first start of the deployment.
    for (Vm &vm : this->vms)
        vm.settings["bootstrap"] = false;
}

RelaySoak::~RelaySoak() = default;

bool RelaySoak::Call::isStream() const
{
    return this->kind == Kind::Stream || this->kind == Kind::ResumableStream;
}

std::string RelaySoak::Call::service() const
{
    return this->isStream() ? streamService : plainService;
}

void RelaySoak::identifyVm(std::size_t index)
{
    Vm &vm = this->vms[index];
    const std::string ip = vmAddress(static_cast<std::size_t>(this->vmNumber));
    vm.name = "vm-" + std::to_string(++this->vmNumber);
    vm.zone = index % 2 == 0 ? "zone-a" : "zone-b";
    if (!vm.storeProxy)
        vm.storeProxy = std::make_unique<FaultProxy>(this->http.loop(), this->storeAddress);
    vm.callerAddress = freeAddress(ip);
    vm.readinessAddress = freeAddress(ip);
    vm.settings = {
        {"node-name", vm.name},
        {"zone", vm.zone},
        {"ip", ip},
        {"listen", {{"front", vm.callerAddress}, {"ready", vm.readinessAddress}, {"control", freeAddress(ip)}}},
        {"port-range", {freePort(ip)}},
        {"platform", {{"address", vm.storeProxy->address()}}},
        {"cloud", {{"address", this->cloudAddress}, {"duties", {"usage_report"}}}},
        {"bounds", decodedBounds()},
        {"bootstrap", false}};
}

void RelaySoak::startVm(std::size_t index)
{
    Vm &vm = this->vms[index];
    vm.process =
        &this->processes.start("hemlock-relay", vm.name + "-" + std::to_string(++this->startNumber), vm.settings);
    vm.started = std::chrono::steady_clock::now();
    this->notices.forgetVm(vm.name);
    vm.terminated.reset();
    vm.isReady = false;
    vm.isPaused = false;
}

void RelaySoak::addUpstream(const std::string &service)
{
    SoakUpstream::Hooks hooks;
    hooks.arrived = [this](SoakUpstream &upstream, const HttpRequest &request) {
        this->requestArrived(upstream, request);
    };
    hooks.crashed = [this](SoakUpstream &upstream, const HttpRequest &request) {
        CrashCause &cause = request.body == deadlyName ? this->deadlyRequest : this->taintedPart;
        cause.crashes.push_back(std::chrono::steady_clock::now());
        this->count("crash by a " + cause.name);
        this->crashUpstream(upstream);
    };
    hooks.behavior = [this, service](const HttpRequest &request) { return this->chooseBehavior(service, request); };
    hooks.oddForm = [this](const std::string &attemptId) {
        const int form = this->below(oddAnswerForms());
        if (const auto call = this->calls.find(attemptId); call != this->calls.end())
            call->second->oddForm = form;
        return form;
    };
    hooks.answered = [this](SoakUpstream &upstream, const HttpRequest &request, int status) {
        this->answerSent(upstream, request, status);
    };
    hooks.began = [this](const SoakUpstream &upstream, const HttpRequest &request, SoakUpstream::Behavior behavior) {
        this->requestBegan(const_cast<SoakUpstream &>(upstream), request, behavior);
    };
    hooks.ended = [this](const std::string &attemptId) {
        if (const auto call = this->calls.find(attemptId); call != this->calls.end())
            --call->second->openRuns;
    };
    const std::string zone = this->upstreamNumber % 2 == 0 ? "zone-a" : "zone-b";
    auto upstream = std::make_unique<SoakUpstream>(this->http.loop(), service, zone, std::move(hooks));
    upstream->id = "u" + std::to_string(++this->upstreamNumber);
    this->store.put("servers/" + upstream->id, upstream->record("ready"));
    this->upstreams.push_back(std::move(upstream));
}

SoakUpstream::Behavior RelaySoak::chooseBehavior(const std::string &service, const HttpRequest &request)
{
    using Behavior = SoakUpstream::Behavior;
    if (request.body == deadlyName)
        return this->settings.seed % 4 == 1 ? Behavior::CrashesAtOnce : Behavior::Crashes;
    if (request.headers.value("X-Hemlockflow-Prompt-Prefix").find(taintedPartId) != std::string::npos)
        return Behavior::Crashes;
    if (this->isFailing(service) && this->chance(85)) {
        // Lost answers would look like crashes by their requests, which are then refused.
        return this->chance(60) ? Behavior::Fails : Behavior::Refuses;
    }
    if (this->chance(25))
        return Behavior::Slow;
    constexpr Behavior unsound[] = {Behavior::BreaksOff,
                                    Behavior::Stalls,
                                    Behavior::LosesAnswer,
                                    Behavior::Refuses,
                                    Behavior::Fails,
                                    Behavior::OddAnswer,
                                    Behavior::OddAnswer,
                                    Behavior::OddAnswer};
    return this->isSending && !this->isPlannedOnly && this->chance(9) ? unsound[this->below(8)] : Behavior::Sound;
}

void RelaySoak::writeConfig()
{
    const auto route = [](const std::string &name, const std::string &kind, const std::string &service, int attempts) {
        return json{{"name", name},
                    {"hostname", "soak.example"},
                    {"path-prefix", pathOf(name)},
                    {"kind", kind},
                    {"service", service},
                    {"timeout-ms", routeTimeout.count()},
                    {"target-latency-ms", 1000},
                    {"max-attempts", attempts},
                    {"resumable", name == "stream/resumable"}};
    };
    const int repeatableAttempts = this->hasStorm ? 4 : 2;
    json tenants = json::array();
    for (const std::string account : {"north", "south"}) {
        json accountKeys = json::array();
        for (const auto &[key, entry] : this->keys) {
            if (entry.account == account && !entry.withdrawn)
                accountKeys.push_back(key);
        }
        tenants.push_back({{"name", account}, {"api-keys", accountKeys}});
    }
    const json config = {{"version", ++this->configVersion},
                         {"routes",
                          {route("booking", "non_idempotent", plainService, 1),
                           route("lookup", "idempotent", plainService, repeatableAttempts),
                           route("stream/once", "streaming", streamService, 1),
                           route("stream/resumable", "streaming", streamService, repeatableAttempts)}},
                         {"services", {{{"name", plainService}}, {{"name", streamService}}}},
                         {"tenants", tenants}};
    this->store.put("op/config", config.dump());
}

SoakReport RelaySoak::run()
{
    const Time start = std::chrono::steady_clock::now();
    if (!this->isPlannedOnly)
        this->at(start + std::chrono::milliseconds(2000 + this->below(4000)), [this] {
            this->nameLimit(
                *this->upstreams[static_cast<std::size_t>(this->below(static_cast<int>(this->upstreams.size())))]);
        });
    this->runUntil(start + std::chrono::seconds(3), false);
    this->hasTaintedPart = !this->isPlannedOnly && this->settings.seed % 2 == 0;
    this->hasDeadlyRequest = !this->isPlannedOnly && this->settings.seed % 2 == 1;
    if (this->hasStorm)
        this->planStorm(start + std::chrono::seconds(3));
    this->faultEnd = start + std::chrono::seconds(3) + this->settings.faultTime;
    this->runUntil(this->faultEnd, true);
    this->runUntil(std::chrono::steady_clock::now() + recoveryTime, false);
    const int answeredBefore = this->report.counts["answered"];
    const auto callsBefore = static_cast<int>(this->calls.size());
    this->runUntil(std::chrono::steady_clock::now() + finalTime, false);
    const int answered = this->report.counts["answered"] - answeredBefore;
    const int sent = static_cast<int>(this->calls.size()) - callsBefore;
    // The rule on recovery: a quarter of what is sent after it.
    if (answered * 4 < sent)
        this->violate("RECOVER", std::to_string(answered) + " of " + std::to_string(sent) + " calls answered");
    this->isSending = false;
    this->runUntil(std::chrono::steady_clock::now() + callDeadline + timeoutSlack, false);
    this->checkRates();
    this->report.counts["calls"] = static_cast<int>(this->calls.size());
    if (!this->settings.logFolder.empty()) {
        std::ofstream log(this->settings.logFolder + "/soak-" + std::to_string(this->settings.seed) + ".log");
        log << this->processes.output();
    }
    return this->report;
}

void RelaySoak::runUntil(Time end, bool injectsFaults)
{
    Time next = std::chrono::steady_clock::now();
    while (next < end) {
        this->http.waitFor([&next] { return std::chrono::steady_clock::now() >= next; });
        this->checkOwnDelay(next);
        next = std::chrono::steady_clock::now() + stepInterval;
        while (!this->agenda.empty() && this->agenda.begin()->first <= std::chrono::steady_clock::now()) {
            const auto action = this->agenda.begin()->second;
            this->agenda.erase(this->agenda.begin());
            action();
        }
        this->checkProcesses();
        if (this->isSending)
            this->sendCalls();
        if (injectsFaults && this->chance(this->faultPercent))
            this->injectFault();
    }
}

void RelaySoak::checkOwnDelay(Time due)
{
    if (std::chrono::steady_clock::now() - due < ownDelayLimit)
        return;
    // The upstreams are part of this program, so that their answers were late as well.
    this->count("test program late");
    for (const auto &[id, call] : this->calls)
        call->isDisturbed = call->isDisturbed || !call->ended;
}

void RelaySoak::at(Time time, std::function<void()> action)
{
    this->agenda.emplace(time, std::move(action));
}

void RelaySoak::checkProcesses()
{
    const Time now = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
        Vm &vm = this->vms[i];
        if (!vm.process)
            continue;
        if (vm.process->hasEnded()) {
            if (!vm.terminated)
                this->violate("Fault",
                              vm.name + " ended by itself with status " + std::to_string(vm.process->waitForExit()));
            vm.process = nullptr;
            this->at(now + restartDelay, [this, i] { this->startVm(i); });
        } else if (vm.terminated && !vm.isPaused && now > *vm.terminated + graceTime) {
            this->count("killed after the grace time");
            this->killVm(i);
        } else {
            this->checkReadiness(i);
        }
    }
}

void RelaySoak::checkReadiness(std::size_t index)
{
    Vm &vm = this->vms[index];
    if (vm.isReady || vm.isProbed || vm.isPaused || vm.terminated)
        return;
    vm.isProbed = true;
    HttpCall call;
    call.url = endpointUrl(vm.readinessAddress) + "/readiness";
    call.timeout = readinessInterval;
    HttpCallHooks hooks;
    hooks.done = [this, index](const HttpOutcome &outcome) {
        this->vms[index].isReady = outcome.status == 200 && outcome.isComplete();
        this->at(std::chrono::steady_clock::now() + readinessInterval,
                 [this, index] { this->vms[index].isProbed = false; });
    };
    this->http.client().start(std::move(call), std::move(hooks));
}

void RelaySoak::sendCalls()
{
    constexpr int allPercent = 120;
    constexpr int minPercent = 6;
    const int callPercent = std::max(minPercent, allPercent / static_cast<int>(this->vms.size()));
    for (std::size_t i = 0; i < this->vms.size(); ++i) {
        const Vm &vm = this->vms[i];
        // Open connections are used until the process is gone; the balancer opens no new ones while it is not ready.
        if (vm.process && (vm.isReady || vm.terminated) && this->chance(callPercent))
            this->sendCall(i);
    }
}

void RelaySoak::sendCall(std::size_t index)
{
    const Vm &vm = this->vms[index];
    auto call = std::make_shared<Call>();
    call->id = "a" + std::to_string(this->settings.seed) + "-" + std::to_string(this->calls.size());
    call->kind = this->chooseKind();
    call->vm = index;
    call->sent = std::chrono::steady_clock::now();
    call->isDisturbed = vm.isPaused;
    call->isServiceFailing = this->isFailing(call->service());
    call->wasInTouch = this->isInTouch(vm, call->sent);
    call->key = this->chooseKey();
    std::string name = call->id;
    call->sentBody = "body of " + call->id;
    if (this->hasDeadlyRequest && this->chance(deadlyPercent)) {
        this->makeDeadly(*call);
        name = deadlyName;
    }
    call->account = this->keys.at(call->key).account;
    this->calls[call->id] = call;
    this->retryWindows.addRequest(call->service(), call->sent);

    constexpr const char *names[] = {"booking", "lookup", "stream/once", "stream/resumable"};
    HttpCall exchange;
    exchange.method = "POST";
    exchange.url = endpointUrl(vm.callerAddress) + pathOf(names[static_cast<int>(call->kind)]) + name;
    exchange.headers = {{"Host", "soak.example"},
                        {"X-Hemlockflow-Attempt-Id", call->id},
                        {"X-Hemlockflow-Deadline-Ms", std::to_string(callDeadline.count())},
                        {"X-Hemlockflow-Tenant", "forged"},
                        {"Api-Key", call->key}};
    if (call->isStream()) {
        call->isTainted = this->hasTaintedPart && this->chance(taintedPercent);
        const std::string part =
            call->isTainted ? taintedPartId : "c0de" + std::to_string(this->below(soundParts)) + ":400";
        exchange.headers.add("X-Hemlockflow-Model", "m");
        exchange.headers.add("X-Hemlockflow-Token-Usage", "1250,18");
        exchange.headers.add("X-Hemlockflow-Prompt-Prefix",
                             std::string(sharedPart) + "," + part + ",1" + std::to_string(this->calls.size()) + ":50");
    }
    exchange.body = call->sentBody;
    exchange.timeout = callDeadline + timeoutSlack;
    HttpCallHooks hooks;
    hooks.head = [this, call](int status, const HttpHeaders &headers) {
        call->status = status;
        call->headers = headers;
        this->headArrived(*call);
    };
    hooks.data = [call](std::string_view bytes) { call->body += bytes; };
    hooks.done = [this, call](const HttpOutcome &outcome) { this->callEnded(call, outcome); };
    call->exchange = this->http.client().start(std::move(exchange), std::move(hooks));
    if (this->chance(5))
        this->at(call->sent + std::chrono::milliseconds(this->below(600)), [this, call] { this->cancelCall(call); });
}

RelaySoak::Kind RelaySoak::chooseKind()
{
    // Retries are in demand where answers are errors.
    if (!this->failingServices.empty() && this->chance(60))
        return this->isFailing(plainService) ? Kind::Lookup : Kind::ResumableStream;
    return static_cast<Kind>(this->below(4));
}

void RelaySoak::makeDeadly(Call &call) const
{
    constexpr int kinds = 4;
    call.isDeadly = true;
    call.kind = static_cast<Kind>(this->settings.seed / 2 % kinds);
    call.key = permanentKeys.begin()->first;
    call.sentBody = deadlyName;
}

std::string RelaySoak::chooseKey()
{
    auto key = permanentKeys.begin();
    std::advance(key, this->below(static_cast<int>(permanentKeys.size())));
    const int rotating = this->rotatingKeys.empty() ? 0 : this->below(10);
    // One call in ten has the newest rotating key, one any other one, which was withdrawn.
    if (rotating == 1)
        return this->rotatingKeys.back();
    if (rotating == 2)
        return this->rotatingKeys[static_cast<std::size_t>(this->below(static_cast<int>(this->rotatingKeys.size())))];
    return key->first;
}

void RelaySoak::cancelCall(const std::shared_ptr<Call> &call)
{
    if (call->ended)
        return;
    const Time now = std::chrono::steady_clock::now();
    this->http.client().cancel(call->exchange);
    call->cancelled = now;
    call->ended = now;
    this->count("cancelled");
    this->at(now + cancelSlack, [this, call, now] {
        if (call->runs == 0 || call->isDisturbed || this->vms[call->vm].disturbedUntil + contactTime > now)
            return;
        this->count("cancelled while running");
        if (call->openRuns > 0)
            this->count("still at work after cancellation");
    });
}

void RelaySoak::requestArrived(SoakUpstream &upstream, const HttpRequest &request)
{
    const auto call = this->calls.find(request.headers.value("X-Hemlockflow-Attempt-Id"));
    if (call == this->calls.end())
        return;
    if (++call->second->arrivals > 1)
        this->retryWindows.addRetry(upstream.service, std::chrono::steady_clock::now());
    if (request.headers.value("X-Hemlockflow-Expect-Instance") == upstream.id) {
        const auto finding = this->notices.requestArrived(
            this->vms[call->second->vm].name, upstream.id, call->second->sent, std::chrono::steady_clock::now());
        if (finding)
            this->violate(finding->rule, finding->text, call->second.get());
    }
    if (call->second->isTainted)
        this->checkCrashingArrival(this->taintedPart, *call->second);
    if (call->second->isDeadly)
        this->checkCrashingArrival(this->deadlyRequest, *call->second);
    if (this->limits.contains(upstream.id))
        this->checkLimit(upstream, call->second->vm);
}

void RelaySoak::answerSent(SoakUpstream &upstream, const HttpRequest &request, int status)
{
    const auto found = this->calls.find(request.headers.value("X-Hemlockflow-Attempt-Id"));
    if (found == this->calls.end())
        return;
    Call &call = *found->second;
    call.upstreamStatuses.insert(status);
    call.leavingUpstream = upstream.isLeaving ? upstream.id : "";
    const Time now = std::chrono::steady_clock::now();
    if (status != 503 || upstream.pause().count() == 0 || upstream.cutUntil > now)
        return;
    this->count("turned away for a pause");
    this->notices.turnedAway(this->vms[call.vm].name, upstream.id, now, upstream.pause());
}

void RelaySoak::headArrived(Call &call)
{
    if (call.leavingUpstream.empty() || !call.headers.has(signatureField))
        return;
    this->count("answers of leaving upstreams");
    this->notices.leavingPassedOn(this->vms[call.vm].name, call.leavingUpstream, std::chrono::steady_clock::now());
}

void RelaySoak::checkLimit(const SoakUpstream &upstream, std::size_t index)
{
    NamedLimit &limit = this->limits.at(upstream.id);
    const Time now = std::chrono::steady_clock::now();
    const Time told = limit.told.try_emplace(index, now).first->second;
    const Vm &vm = this->vms[index];
    if (now < limit.since + contactTime || now < told + limitNotice || !this->isInTouch(vm, now))
        return;
    limit.arrivals.push_back(now);
    while (limit.arrivals.front() < now - limitWindow)
        limit.arrivals.pop_front();
    const double allowed = limitTolerance * upstream.rateLimit * limitWindow.count() + limitSlack;
    if (static_cast<double>(limit.arrivals.size()) > allowed)
        this->violate("LIMIT",
                      upstream.id + " named a limit of " + std::to_string(upstream.rateLimit) + " a second and got "
                          + std::to_string(limit.arrivals.size()) + " requests in 4 s");
}

void RelaySoak::checkCrashingArrival(CrashCause &cause, const Call &call)
{
    const Time now = std::chrono::steady_clock::now();
    this->count("passed on with a crashing " + cause.name);
    if (cause.crashes.size() < cause.crashLimit)
        return;
    const Time known = cause.crashes[cause.crashLimit - 1] + contactTime;
    if (now < known || !this->isInTouch(this->vms[call.vm], now))
        return;
    if (++cause.lateArrivals > crashingSlack)
        this->violate("BUDGET", "a " + cause.name + " that crashes upstreams was passed on", &call);
}

void RelaySoak::requestBegan(SoakUpstream &upstream, const HttpRequest &request, SoakUpstream::Behavior behavior)
{
    const std::string id = request.headers.value("X-Hemlockflow-Attempt-Id");
    const auto found = this->calls.find(id);
    if (found == this->calls.end())
        return this->violate("UNASKED", "a request with the unknown identifier " + id + " ran");
    Call &call = *found->second;
    const Vm &vm = this->vms[call.vm];
    const Time now = std::chrono::steady_clock::now();
    ++call.runs;
    ++call.openRuns;
    call.upstream = &upstream;
    const bool isSound = behavior == SoakUpstream::Behavior::Sound || behavior == SoakUpstream::Behavior::Slow;
    call.isDisturbed = call.isDisturbed || !isSound || upstream.isDisturbed(call.sent);
    if (call.runs > 1 && (call.kind == Kind::Booking || call.kind == Kind::Stream))
        this->violate("TWICE", "the request ran again", &call);
    if (call.isRefused)
        this->violate("REFUSED", "the request ran after it was refused as not run", &call);
    if (request.headers.value("X-Hemlockflow-Tenant") != call.account || request.headers.has("Api-Key")
        || request.body != call.sentBody)
        this->violate("UNASKED", "the account, the key or the body is not as it should be", &call);
    const ApiKey &key = this->keys.at(call.key);
    this->count("runs");
    if (key.withdrawn && vm.started > *key.withdrawn && !this->startedFromCopy(vm))
        this->violate("ROUTE", "a VM that started after a key was withdrawn passed it", &call);
    else if (key.withdrawn && call.sent > *key.withdrawn + configBound && this->isInTouch(vm, *key.withdrawn))
        this->violate("CONFIG", "a request with a withdrawn key ran", &call);
    const auto left = this->leftUpstreams.find(upstream.id);
    if (left == this->leftUpstreams.end())
        return;
    if (vm.started > left->second && !this->startedFromCopy(vm))
        this->violate("DRAIN", "a VM that started after " + upstream.id + " had left used it", &call);
    else if (now > left->second + drainBound && !call.isDisturbed && this->isInTouch(vm, left->second))
        this->violate("DRAIN", upstream.id + " got a request too late", &call);
}

void RelaySoak::callEnded(const std::shared_ptr<Call> &call, const HttpOutcome &outcome)
{
    const Time now = std::chrono::steady_clock::now();
    call->ended = now;
    call->status = outcome.status;
    const bool isSuccess = outcome.status >= 200 && outcome.status < 300;
    this->checkSignature(*call);
    if (isSuccess)
        this->checkAnswer(*call, outcome.isComplete());
    if (isSuccess && outcome.isComplete())
        return this->count("answered");
    if (outcome.isComplete())
        this->count("status " + std::to_string(outcome.status));
    else
        this->count(isSuccess ? "broken off" : "no answer");
    if (now - call->sent > routeTimeout + timeoutSlack && !call->isDisturbed)
        this->count("answered too late");
    if (now - call->sent > routeTimeout)
        this->count("lasted to the time limit");
    const std::set<int> promises = {408, 421, 429, 503};
    call->isRefused = promises.contains(outcome.status) && outcome.isComplete();
    if (call->isRefused && call->runs > 0 && (call->kind == Kind::Booking || call->kind == Kind::Stream))
        this->violate("REFUSED", "the request was refused as not run and has run", call.get());
    if (outcome.status == 401)
        this->checkUnauthorized(*call);
    if (outcome.status == 404 || outcome.status == 400)
        this->violate("DENIED", "status " + std::to_string(outcome.status), call.get());
    if (!outcome.isComplete())
        this->checkLost(*call, outcome);
}

void RelaySoak::checkAnswer(const Call &call, bool isComplete)
{
    const std::string whole = call.isStream() ? soakEvents(call.id, 1) : soakAnswer(call.id);
    const bool isWhole = call.body == whole;
    if (isComplete && call.runs == 0)
        this->violate("MIXED", "the request was answered and has not run", &call);
    else if (!call.upstreamStatuses.contains(200))
        this->violate("MIXED", "no upstream answered with success", &call);
    if (isComplete ? !isWhole : !whole.starts_with(call.body))
        this->violate("MIXED",
                      (isComplete ? "complete, not the whole body: " : "broken off, not its beginning: ") + call.body,
                      &call);
}

void RelaySoak::checkSignature(const Call &call)
{
    const bool isSuccess = call.status >= 200 && call.status < 300;
    const std::string signature = call.headers.value(signatureField);
    if (signature.empty() ? isSuccess : signature != "signature of " + call.id)
        this->violate("MIXED", "the signature of the answer is '" + signature + "'", &call);
    if (!signature.empty() && !call.upstreamStatuses.contains(call.status))
        this->violate("MIXED", "a signed answer has another status than those of the upstreams", &call);
}

void RelaySoak::checkRetries()
{
    for (const RetryWindows::Window &window : this->retryWindows.worstWindows()) {
        this->report.counts["most retries in 10 s at " + window.service] = window.retries;
        this->report.counts["retries allowed then at " + window.service] = static_cast<int>(window.allowed);
        if (window.retries > window.allowed)
            this->violate("BUDGET",
                          window.service + " got " + std::to_string(window.retries) + " retries in 10 s, "
                              + std::to_string(window.allowed) + " allowed");
    }
}

void RelaySoak::checkUnauthorized(const Call &call)
{
    const ApiKey &key = this->keys.at(call.key);
    if (permanentKeys.contains(call.key))
        return this->violate("DENIED", "a key that is always valid was refused", &call);
    if (key.withdrawn && call.sent > *key.withdrawn + configBound
        && this->isInTouch(this->vms[call.vm], *key.withdrawn))
        this->count("withdrawn key refused in time");
    const bool isOld = call.sent > key.added + configBound && this->isInTouch(this->vms[call.vm], key.added);
    if (isOld && !key.withdrawn)
        this->violate("CONFIG", "a new key was refused", &call);
}

void RelaySoak::checkLost(const Call &call, const HttpOutcome &outcome)
{
    const Vm &vm = this->vms[call.vm];
    const Time now = std::chrono::steady_clock::now();
    if (call.isDisturbed || outcome.failure == HttpFailure::Connect || vm.disturbedUntil + contactTime > call.sent)
        return;
    if (vm.terminated && now > *vm.terminated + graceTime * 5 / 6)
        return;
    if (now - call.sent > routeTimeout)
        return;
    if (call.runs > 0)
        this->violate("LOST", "cut off while it ran: " + outcome.error, &call);
    else if (now - call.sent > lossSlack)
        this->violate("LOST", "cut off before it was sent on: " + outcome.error, &call);
}

void RelaySoak::checkRates()
{
    auto &counts = this->report.counts;
    constexpr int minSample = 8;
    if (counts["cancelled while running"] >= minSample
        && counts["still at work after cancellation"] * 4 > counts["cancelled while running"])
        this->violate("GONE", "upstreams went on after callers had left");
    if (counts["lasted to the time limit"] >= minSample
        && counts["answered too late"] * 2 > counts["lasted to the time limit"])
        this->violate("CONFIG", "calls got no answer at their time limit");
    for (const auto &[id, call] : this->calls) {
        if (!call->ended)
            this->violate("CONFIG", "the call never ended", call.get());
    }
    this->checkRetries();
    if (!this->taintedPart.crashes.empty())
        this->checkSoundStreams();
}

void RelaySoak::checkSoundStreams()
{
    constexpr int minSample = 20;
    const std::vector<Time> &crashes = this->taintedPart.crashes;
    const std::size_t last = std::min(crashes.size(), this->taintedPart.crashLimit) - 1;
    const Time known = crashes[last] + 2 * contactTime;
    int sentBefore = 0;
    int ranBefore = 0;
    int sentAfter = 0;
    int ranAfter = 0;
    for (const auto &[id, call] : this->calls) {
        if (!call->isStream() || !call->wasInTouch || call->isTainted || call->isDisturbed || call->isServiceFailing
            || call->cancelled)
            continue;
        const bool isBefore = call->sent < crashes.front();
        if (!isBefore && call->sent < known)
            continue;
        ++(isBefore ? sentBefore : sentAfter);
        if (call->runs > 0)
            ++(isBefore ? ranBefore : ranAfter);
    }
    this->report.counts["sound streams after the crashes"] = sentAfter;
    if (sentBefore >= minSample && sentAfter >= minSample && 2 * ranAfter * sentBefore < ranBefore * sentAfter)
        this->violate("LOST",
                      std::to_string(ranAfter) + " of " + std::to_string(sentAfter)
                          + " sound streams ran after a prompt part had crashed upstreams");
}

void RelaySoak::handleDuty(const HttpRequest &request, const HttpResponderPtr &responder)
{
    const json body = json::parse(request.body);
    const std::string holder = request.headers.value("X-Hemlockflow-Lease-Holder");
    const std::int64_t token = std::stoll(request.headers.value("X-Hemlockflow-Fencing-Token"));
    const Time now = std::chrono::steady_clock::now();
    this->count("usage report");
    const std::string holderName = this->tokenHolders.try_emplace(token, holder).first->second;
    if (holderName != holder)
        this->violate("ONE", holderName + " and " + holder + " sent the fencing token " + std::to_string(token));
    const auto vm = std::find_if(this->vms.begin(), this->vms.end(), [&](const Vm &v) { return v.name == holder; });
    const bool isThawing = vm != this->vms.end() && now - vm->resumed < thawTime;
    if (token < this->highestToken && !isThawing && now > this->storeDisturbedUntil + contactTime)
        this->violate("ONE", holder + " sent an old fencing token");
    this->highestToken = std::max(this->highestToken, token);
    const json counts = body.at("counts");
    const auto known = this->reportedWindows.try_emplace(body.at("window").get<std::int64_t>(), counts);
    if (known.first->second != counts)
        this->violate("ONE", "two reports for one window differ");
    responder->reply(200, {}, {});
}

bool RelaySoak::isInTouch(const Vm &vm, Time since) const
{
    // A fault that began before the bound was over, or ended shortly before, delays what the VM learns.
    return vm.process && !vm.terminated && vm.started + contactTime < since && vm.disturbedUntil + contactTime < since
        && this->storeDisturbedUntil + contactTime < since;
}

bool RelaySoak::startedFromCopy(const Vm &vm) const
{
    return std::any_of(this->copyTimes.begin(), this->copyTimes.end(), [&vm](const auto &time) {
        return vm.started >= time.first && vm.started <= time.second;
    });
}

void RelaySoak::violate(const std::string &rule, const std::string &what, const Call *call)
{
    std::string line = rule + ": " + what;
    if (call) {
        const auto age = std::chrono::steady_clock::now() - call->sent;
        line += " (call " + call->id + " at " + this->vms[call->vm].name + ", "
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count())
            + " ms after it was sent" + ", runs " + std::to_string(call->runs)
            + (call->oddForm >= 0 ? ", answer: " + oddAnswerName(call->oddForm) : "")
            + (call->upstream ? " at " + call->upstream->id : "") + ", status " + std::to_string(call->status) + ")";
    }
    this->report.violations.push_back(line);
}

void RelaySoak::count(const std::string &name)
{
    ++this->report.counts[name];
}

int RelaySoak::below(int bound)
{
    return static_cast<int>(this->random() % static_cast<std::uint32_t>(bound));
}

bool RelaySoak::chance(int percent)
{
    constexpr int whole = 100;
    return this->below(whole) < percent;
}

} // namespace hemlock
