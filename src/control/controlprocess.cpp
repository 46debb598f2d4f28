#include "controlprocess.h"

#include "loadreport.h"
#include "logger.h"

#include <csignal>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds tickInterval{20};
constexpr std::chrono::milliseconds placerInterval{500};
constexpr std::chrono::milliseconds storeTimeout{1000};
constexpr std::chrono::milliseconds cloudTimeout{1000};
/// Several times the round trip between zones; a slower peer counts as unreachable for control messages.
constexpr std::chrono::milliseconds rpcTimeout{1000};
constexpr std::chrono::milliseconds probeTimeout{500};
/// Time to send the last messages of a leaving node before the process stops.
constexpr std::chrono::milliseconds leaveDelay{100};

HttpServerSettings serverSettings(const json &settings)
{
    HttpServerSettings server;
    server.address = settings.at("listen").at("address");
    server.port = settings.at("listen").at("port");
    return server;
}

} // namespace

ControlProcess::ControlProcess(const json &settings, json documentSchema, json upstreamChart)
    : settings(settings)
    , http(this->loop)
    , kv(this->http, settings.at("store"), storeTimeout)
    , rpcServer(ControlAuth(settings.at("controlKey")))
    , rpcClient(this->http, ControlAuth(settings.at("controlKey")))
    , server(this->loop,
             serverSettings(settings),
             [this](const HttpRequest &request, const HttpResponderPtr &responder) {
                 if (request.method == "POST" && request.path == rpcPath)
                     return this->rpcServer.handle(request, responder);
                 if (request.path == "/healthz")
                     return responder->reply(200, {}, "ok\n");
                 responder->reply(404, {}, json{{"error", "unknown path"}}.dump());
             })
    , randomEngine(std::random_device()())
    , timer(this->loop)
    , signals(this->loop, SIGTERM, SIGINT)
{
    this->nodeSettings.self.id = settings.at("id");
    this->nodeSettings.self.zone.name = settings.at("zone");
    this->nodeSettings.self.entryControlAddress = settings.at("entryControlAddress");
    this->nodeSettings.seeds = settings.value("seeds", std::vector<std::string>());
    this->nodeSettings.documentSchema = std::move(documentSchema);
    this->nodeSettings.upstreamChart = std::move(upstreamChart);
    for (const std::string &method : ControlNode::methods())
        this->rpcServer.addMethod(method,
                                  [this, method](const json &params) { return this->node->answer(method, params); });
}

void ControlProcess::run()
{
    const std::string address = this->server.start();
    this->nodeSettings.self.controlAddress = address;
    this->node = std::make_unique<ControlNode>(this->nodeSettings, this->nodeIo());
    this->placer = std::make_unique<Placer>(makeKvAccess(this->kv), this->nodeSettings.self.id, this->placerIo());
    announceAddress("control", address);
    this->signals.async_wait([this](const std::error_code &error, int) {
        if (!error)
            this->stop();
    });
    this->tick();
    this->loop.run();
}

ControlIo ControlProcess::nodeIo()
{
    ControlIo io;
    io.kv = makeKvAccess(this->kv);
    io.cloudGet = [this](const std::string &path, std::function<void(const json &, const std::string &)> done) {
        this->cloudGet(path, std::move(done));
    };
    io.call = [this](const std::string &address,
                     const std::string &method,
                     const json &params,
                     std::function<void(const RpcOutcome &)> done) {
        this->rpcClient.call(address, method, params, rpcTimeout, std::move(done));
    };
    io.probe = [this](const std::string &address, std::function<void(bool)> done) {
        this->probe(address, std::move(done));
    };
    io.now = [] { return std::chrono::steady_clock::now(); };
    io.wallClock = [] { return std::chrono::system_clock::now(); };
    io.random = [this] { return std::uniform_real_distribution<double>(0.0, 1.0)(this->randomEngine); };
    io.log = [](LogLevel level, std::string_view event, const json &fields) { logEvent(level, event, fields); };
    return io;
}

void ControlProcess::cloudGet(const std::string &path, std::function<void(const json &, const std::string &)> done)
{
    this->callCloud(
        "GET", path, nullptr, [done = std::move(done)](const CloudAnswer &answer) { done(answer.body, answer.error); });
}

PlacerIo ControlProcess::placerIo()
{
    PlacerIo io;
    io.cloud = [this](const std::string &method,
                      const std::string &path,
                      const json &body,
                      std::function<void(const CloudAnswer &)> done) {
        this->callCloud(method, path, body, std::move(done));
    };
    io.readLoad = [this](const std::string &address, std::function<void(std::optional<double>)> done) {
        readLoadReport(this->http, address, probeTimeout, std::move(done));
    };
    const ControlIo sharedIo = this->nodeIo();
    io.random = sharedIo.random;
    io.now = sharedIo.now;
    io.log = sharedIo.log;
    return io;
}

void ControlProcess::callCloud(const std::string &method,
                               const std::string &path,
                               const json &body,
                               std::function<void(const CloudAnswer &)> done)
{
    HttpCall call;
    call.method = method;
    call.url = endpointUrl(this->settings.at("cloud")) + path;
    call.body = body.is_null() ? "" : body.dump();
    call.timeout = cloudTimeout;
    HttpCallHooks hooks;
    hooks.done = [done = std::move(done)](const HttpOutcome &outcome) {
        CloudAnswer answer;
        if (!outcome.isComplete()) {
            // A call that was not sent is reported as status 503 (refused); any other failed call may have taken
            // effect.
            answer.status = outcome.verdict == Verdict::NotRun ? 503 : 0;
            answer.error = outcome.error;
            return done(answer);
        }
        answer.status = outcome.status;
        answer.body = json::parse(outcome.body, nullptr, false);
        if (outcome.status >= 300)
            answer.error = "cloud API answered " + std::to_string(outcome.status);
        else if (!answer.body.is_object())
            answer.error = "cloud API's answer is not a JSON object";
        if (!answer.body.is_object())
            answer.body = json::object();
        done(answer);
    };
    this->http.start(std::move(call), std::move(hooks));
}

void ControlProcess::tickPlacer()
{
    // Nodes that neither watch their zone nor hold the placer role do not need to collect the input of a plan.
    if (!this->node->isZoneWatcher() && !this->placer->isHeld())
        return;
    const double random = std::uniform_real_distribution<double>(0.0, 1.0)(this->randomEngine);
    if (!this->placerTask.isDue(std::chrono::steady_clock::now(), placerInterval, random))
        return;
    std::vector<PlacementRule> rules;
    for (const json &rule : this->node->placement())
        rules.push_back(rule.get<PlacementRule>());
    this->placer->tick(this->node->isZoneWatcher(), rules, this->node->upstreams());
}

void ControlProcess::probe(const std::string &address, std::function<void(bool)> done)
{
    HttpCall call;
    call.url = "http://" + address + std::string(loadPath);
    call.connectTimeout = probeTimeout;
    call.timeout = probeTimeout;
    HttpCallHooks hooks;
    hooks.done = [done = std::move(done)](const HttpOutcome &outcome) { done(outcome.isComplete()); };
    this->http.start(std::move(call), std::move(hooks));
}

void ControlProcess::tick()
{
    this->node->tick();
    this->tickPlacer();
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](const std::error_code &error) {
        if (!error)
            this->tick();
    });
}

void ControlProcess::stop()
{
    logEvent(LogLevel::Info, "stopping", json::object());
    this->placer->release();
    this->node->leave();
    this->timer.expires_after(leaveDelay);
    this->timer.async_wait([this](const std::error_code &error) {
        if (error)
            return;
        this->server.stopAccepting();
        this->loop.stop();
    });
}

} // namespace hemlock
