#include "enginestandin.h"

#include "jsonreply.h"
#include "logger.h"
#include "standinprogram.h"

#include <cmath>
#include <cstdlib>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds defaultRetentionTime{30000};
constexpr std::size_t defaultCacheBlocks = 4096;
/// Reported size in bytes of the KV cache (attention keys and values) of one prefix cache block.
constexpr std::size_t kvBytesPerBlock = std::size_t{cacheBlockBytes} * 1024;
constexpr std::string_view attemptsPath = "/v1/attempts/";
constexpr int microsecondsPerMillisecond = 1000;

BatchSettings parseBatchSettings(const json &settings)
{
    BatchSettings batch;
    batch.maxBatch = settings.value("maxBatch", batch.maxBatch);
    if (const auto step = settings.find("stepMs"); step != settings.end())
        batch.stepDuration = std::chrono::microseconds(std::llround(step->get<double>() * microsecondsPerMillisecond));
    batch.batchGrowth = settings.value("batchGrowth", batch.batchGrowth);
    batch.prefillTokensPerStep = settings.value("prefillTokensPerStep", batch.prefillTokensPerStep);
    batch.prefillGrowth = settings.value("prefillGrowth", batch.prefillGrowth);
    return batch;
}

EngineState parseEngineState(const json &settings)
{
    EngineState state;
    state.model = settings.value("model", "");
    state.version = settings.value("version", "1");
    state.role = settings.value("role", state.role);
    return state;
}

std::chrono::milliseconds readMilliseconds(const json &settings, const char *name, std::int64_t fallback)
{
    return std::chrono::milliseconds(settings.value(name, fallback));
}

} // namespace

EngineStandin::EngineStandin(asio::io_context &loop, const json &settings)
    : loop(loop)
    , http(loop)
    , settings(settings)
    , vocabulary(settings.value("vocabulary", std::vector<std::string>{}))
    , crashMarker(settings.value("crashMarker", ""))
    , retentionTime(readMilliseconds(settings, "keepMs", defaultRetentionTime.count()))
    , weightStore(settings.value("weightStore", ""))
    , scheduler(parseBatchSettings(settings))
    , cacheEvents(readMilliseconds(settings, "cacheEventDelayMs", 0), settings.value("cacheEventGapEvery", 0U))
    , cache(settings.value("cacheBlocks", defaultCacheBlocks),
            [this](const std::string &key, bool isStored) {
                this->cacheEvents.add(key, isStored, std::chrono::steady_clock::now());
            })
    , load(readMilliseconds(settings, "loadLagMs", 0))
    , orders(parseEngineState(settings), settings.value("fencing", "ignored") == "checked")
    , stepTimer(loop)
{
    this->server = std::make_unique<HttpServer>(
        loop, listenSettings(settings), [this](const HttpRequest &request, const HttpResponderPtr &responder) {
            this->handle(request, responder);
        });
}

std::string EngineStandin::start()
{
    return this->server->start();
}

void EngineStandin::handle(const HttpRequest &request, const HttpResponderPtr &responder)
{
    try {
        this->route(request, responder);
    } catch (const std::exception &error) {
        replyError(*responder, 400, error.what());
    }
}

void EngineStandin::route(const HttpRequest &request, const HttpResponderPtr &responder)
{
    const std::string &path = request.path;
    const bool isPost = request.method == "POST";
    if (path == "/v1/completions" && isPost) {
        const auto completion = parseCompletion(parseBody(request), request.headers.value("X-Attempt-Id"));
        if (completion.resumesStream)
            this->resume(completion, responder);
        else
            this->complete(completion, responder);
    } else if (path.starts_with(attemptsPath) && request.method == "DELETE") {
        const bool wasFound = this->cancel(path.substr(attemptsPath.size()));
        replyJson(*responder, wasFound ? 200 : 404, json::object());
    } else if (path == "/load") {
        replyJson(*responder, 200, this->loadJson());
    } else if (path == "/cache/events") {
        const auto after = std::strtoull(request.queryValue("after").c_str(), nullptr, 10);
        replyJson(*responder, 200, this->cacheEvents.eventsAfter(after, std::chrono::steady_clock::now()));
    } else if (path == "/cache/export" && isPost) {
        this->exportCache(parseBody(request), *responder);
    } else if (path == "/cache/import" && isPost) {
        this->importCache(parseBody(request), *responder);
    } else if (path == "/orders") {
        if (isPost)
            this->receiveOrder(parseBody(request), responder);
        else
            replyJson(*responder, 200, this->orders.report());
    } else if (path == "/faults" && isPost) {
        this->updateFaults(parseBody(request));
        replyJson(*responder, 200, json::object());
    } else if (path == "/healthz") {
        replyJson(*responder, this->activeWeightLoads == 0 ? 200 : 503, json::object());
    } else {
        replyError(*responder, 404, "unknown path " + path);
    }
}

void EngineStandin::complete(const CompletionRequest &request, const HttpResponderPtr &responder)
{
    if (this->activeWeightLoads > 0) {
        replyJson(*responder, 503, {{"verdict", "not-run"}, {"error", "weights are being loaded"}});
        return;
    }
    // A repeated attempt must not generate a second time; the new reader replaces the previous one.
    if (const auto known = this->streams.find(request.attempt); known != this->streams.end()) {
        this->attach(known->second, responder, request.resumeTokens.size(), request.stream);
        return;
    }
    const auto stream = std::make_shared<EngineStream>(this->loop, request, this->vocabulary);
    this->streams[request.attempt] = stream;
    const std::string context = stream->contextText();
    const auto keys = cacheBlockKeys(context);
    stream->promptTokens = countTokens(context);
    stream->cachedTokens = this->cache.match(keys) * cacheBlockBytes / bytesPerToken;
    const std::size_t resumed = request.resumeTokens.size();
    const std::size_t tokens = request.maxTokens > resumed ? request.maxTokens - resumed : 0;
    this->scheduler.add(request.attempt, request.priority, stream->promptTokens - stream->cachedTokens, tokens);
    this->attach(stream, responder, resumed, request.stream);
    this->recordLoad();
    this->scheduleStep();
}

void EngineStandin::resume(const CompletionRequest &request, const HttpResponderPtr &responder)
{
    const auto known = this->streams.find(request.attempt);
    if (known == this->streams.end()) {
        replyJson(*responder, 404, {{"verdict", "not-run"}, {"error", "unknown attempt " + request.attempt}});
        return;
    }
    this->attach(known->second, responder, request.resumeFrom, request.stream);
}

void EngineStandin::attach(const std::shared_ptr<EngineStream> &stream,
                           const HttpResponderPtr &responder,
                           std::size_t afterIndex,
                           bool asEventStream)
{
    stream->retentionTimer.cancel();
    responder->setDisconnectHook([this, weakStream = std::weak_ptr(stream), weakResponder = std::weak_ptr(responder)] {
        const auto stream = weakStream.lock();
        if (stream && stream->detach(weakResponder.lock()))
            this->startRetentionTimer(stream);
    });
    stream->attach(responder, afterIndex, asEventStream);
    if (!stream->hasReader())
        this->startRetentionTimer(stream);
}

void EngineStandin::startRetentionTimer(const std::shared_ptr<EngineStream> &stream)
{
    stream->retentionTimer.expires_after(this->retentionTime);
    stream->retentionTimer.async_wait([this, attempt = stream->request.attempt](const asio::error_code &error) {
        if (!error)
            this->cancel(attempt);
    });
}

bool EngineStandin::cancel(const std::string &attempt)
{
    const auto found = this->streams.find(attempt);
    if (found == this->streams.end())
        return false;
    found->second->retentionTimer.cancel();
    this->scheduler.remove(attempt);
    this->streams.erase(found);
    this->recordLoad();
    return true;
}

void EngineStandin::scheduleStep()
{
    if (this->isStepScheduled || this->isStalled || this->scheduler.isIdle())
        return;
    this->isStepScheduled = true;
    // The step is posted, so that requests which arrive together share it.
    asio::post(this->loop, [this] { this->runStep(); });
}

void EngineStandin::runStep()
{
    const auto step = this->scheduler.step();
    for (const std::string &attempt : step.admitted)
        this->admit(attempt);
    if (step.duration.count() == 0) {
        asio::post(this->loop, [this, step] { this->finishStep(step); });
        return;
    }
    this->stepTimer.expires_after(step.duration);
    this->stepTimer.async_wait([this, step](const asio::error_code &) { this->finishStep(step); });
}

void EngineStandin::admit(const std::string &attempt)
{
    const auto &stream = this->streams.at(attempt);
    const bool crashes =
        !this->crashMarker.empty() && stream->request.prompt.find(this->crashMarker) != std::string::npos;
    if (crashes) {
        logEvent(LogLevel::Error, "crash marker found", {{"attempt", attempt}});
        std::_Exit(1);
    }
    this->cache.insert(cacheBlockKeys(stream->contextText()));
}

void EngineStandin::finishStep(const BatchScheduler::Step &step)
{
    for (const std::string &attempt : step.emitted) {
        // The attempt may have been cancelled during the step.
        if (const auto found = this->streams.find(attempt); found != this->streams.end())
            found->second->emitToken();
    }
    for (const std::string &attempt : step.finished) {
        const auto found = this->streams.find(attempt);
        if (found == this->streams.end())
            continue;
        EngineStream &stream = *found->second;
        this->cache.insert(cacheBlockKeys(stream.contextText()));
        stream.finish({{"prompt_tokens", stream.promptTokens},
                       {"cached_tokens", stream.cachedTokens},
                       {"recomputed_tokens", stream.promptTokens - stream.cachedTokens}});
        this->startRetentionTimer(found->second);
    }
    this->isStepScheduled = false;
    this->recordLoad();
    this->scheduleStep();
}

void EngineStandin::recordLoad()
{
    this->load.set({this->scheduler.running(), this->scheduler.waiting(), this->cache.size()},
                   std::chrono::steady_clock::now());
}

json EngineStandin::loadJson()
{
    const Load reported = this->load.value(std::chrono::steady_clock::now());
    return {{"inFlight", reported.running + reported.waiting},
            {"running", reported.running},
            {"waiting", reported.waiting},
            {"cachedBlocks", reported.cachedBlocks}};
}

void EngineStandin::exportCache(const json &body, HttpResponder &responder)
{
    std::string context = body.value("prompt", "");
    if (const auto found = this->streams.find(body.value("attempt", "")); found != this->streams.end())
        context = found->second->contextText();
    auto keys = cacheBlockKeys(context);
    keys.resize(this->cache.match(keys));
    replyJson(responder,
              200,
              {{"model", this->orders.state().model},
               {"version", this->orders.state().version},
               {"blocks", keys},
               {"tokens", keys.size() * cacheBlockBytes / bytesPerToken},
               {"bytes", keys.size() * kvBytesPerBlock}});
}

void EngineStandin::importCache(const json &body, HttpResponder &responder)
{
    const EngineState &state = this->orders.state();
    if (body.value("model", state.model) != state.model || body.value("version", state.version) != state.version) {
        replyError(responder, 409, "the cache belongs to another model or version");
        return;
    }
    const auto keys = body.at("blocks").get<std::vector<std::string>>();
    this->cache.insert(keys);
    replyJson(responder, 200, {{"imported", keys.size()}});
}

void EngineStandin::receiveOrder(const json &order, const HttpResponderPtr &responder)
{
    if (this->orderDelay.count() == 0) {
        this->applyOrder(order, responder);
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(this->loop, this->orderDelay);
    timer->async_wait([this, timer, order, responder](const asio::error_code &error) {
        if (!error)
            this->applyOrder(order, responder);
    });
}

void EngineStandin::applyOrder(const json &order, const HttpResponderPtr &responder)
{
    const auto result = this->orders.apply(order);
    if (!result.isAccepted) {
        replyError(*responder, 409, result.error);
        return;
    }
    logEvent(LogLevel::Info, "order accepted", order);
    if (result.changesModel && !this->weightStore.empty()) {
        this->loadWeights(responder);
        return;
    }
    replyJson(*responder, 200, this->orders.report());
}

void EngineStandin::loadWeights(const HttpResponderPtr &responder)
{
    ++this->activeWeightLoads;
    HttpCall call;
    call.url = this->weightStore + "/weights/" + this->orders.state().model;
    HttpCallHooks hooks;
    hooks.done = [this, responder](const HttpOutcome &outcome) {
        --this->activeWeightLoads;
        if (outcome.isComplete() && outcome.status == 200)
            replyJson(*responder, 200, this->orders.report());
        else
            replyError(*responder, 502, "the weight store answered " + std::to_string(outcome.status));
    };
    this->http.start(std::move(call), std::move(hooks));
}

void EngineStandin::updateFaults(const json &body)
{
    if (body.value("exit", false))
        std::_Exit(1);
    this->isStalled = body.value("stall", this->isStalled);
    this->orderDelay = readMilliseconds(body, "orderDelayMs", this->orderDelay.count());
    if (body.contains("loadLagMs"))
        this->load.setLag(readMilliseconds(body, "loadLagMs", 0));
    if (body.contains("cacheEventDelayMs"))
        this->cacheEvents.setDelay(readMilliseconds(body, "cacheEventDelayMs", 0));
    if (body.contains("cacheEventGapEvery"))
        this->cacheEvents.setDropEveryNth(body.at("cacheEventGapEvery"));
    this->scheduleStep();
}

} // namespace hemlock
