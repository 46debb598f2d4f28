#include "platformstandin.h"

#include "jsonreply.h"
#include "logger.h"
#include "standinprogram.h"

namespace hemlock {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds reclaimCheckInterval{20};
constexpr std::string_view vmsPath = "/cloud/v1/vms";
constexpr std::string_view sparesPath = "/cloud/v1/spares";
constexpr std::string_view weightsPath = "/weights/";

KvLimits parseLimits(const json &settings)
{
    KvLimits limits;
    const json limitsJson = settings.value("limits", json::object());
    limits.writesPerSecond = limitsJson.value("writesPerSecond", limits.writesPerSecond);
    limits.readsPerSecond = limitsJson.value("readsPerSecond", limits.readsPerSecond);
    limits.maxValueBytes = limitsJson.value("maxValueBytes", limits.maxValueBytes);
    return limits;
}

std::int64_t unixMilliseconds(std::chrono::steady_clock::time_point time)
{
    const auto untilTime = time - std::chrono::steady_clock::now();
    const auto wall = std::chrono::system_clock::now().time_since_epoch() + untilTime;
    return std::chrono::duration_cast<std::chrono::milliseconds>(wall).count();
}

} // namespace

PlatformStandin::PlatformStandin(asio::io_context &loop, const json &settings)
    : loop(loop)
    , http(loop)
    , kvGateway(loop, parseLimits(settings))
    , vms(std::chrono::milliseconds(settings.value("listLagMs", 0)))
    , weightStore(loop, settings.value("weights", json::object()))
    , reclaimTimer(loop)
    , stopsProcesses(settings.value("endsProcesses", false))
    , listLagMs(settings.value("listLagMs", 0))
{
    this->loadVms(settings);
    this->server = std::make_unique<HttpServer>(
        loop, listenSettings(settings), [this](const HttpRequest &request, const HttpResponderPtr &responder) {
            this->handle(request, responder);
        });
    this->scheduleReclaimCheck();
}

std::string PlatformStandin::start()
{
    return this->server->start();
}

void PlatformStandin::loadVms(const json &settings)
{
    for (const json &price : settings.value("prices", json::array()))
        this->vms.setPrice(price.at("zone"), price.at("class"), price.at("reclaimable"), price.at("pricePerHour"));
    for (const json &vm : settings.value("vms", json::array()))
        this->vms.addLive(vm.get<CloudVm>());
    for (const json &vm : settings.value("spares", json::array()))
        this->vms.addSpare(vm.get<CloudVm>());
}

void PlatformStandin::handle(const HttpRequest &request, const HttpResponderPtr &responder)
{
    if (KvGateway::serves(request.path)) {
        this->kvGateway.handle(request, responder);
        return;
    }
    try {
        this->route(request, responder);
    } catch (const std::exception &error) {
        replyError(*responder, 400, error.what());
    }
}

void PlatformStandin::route(const HttpRequest &request, const HttpResponderPtr &responder)
{
    const std::string &path = request.path;
    if (path.starts_with(vmsPath))
        this->handleVms(request, *responder);
    else if (path.starts_with(weightsPath))
        this->weightStore.handle(path.substr(weightsPath.size()), responder);
    else if (path == sparesPath && request.method == "POST")
        this->addSpare(parseBody(request), *responder);
    else if (path == "/cloud/v1/prices")
        replyJson(*responder, 200, {{"prices", this->vms.prices()}});
    else if (path == "/cloud/v1/notices")
        replyJson(*responder, 200, this->notices(std::atoll(request.queryValue("after").c_str())));
    else if (path == "/cloud/v1/reclaims" && request.method == "POST")
        this->handleReclaim(parseBody(request), *responder);
    else if (path == "/stats")
        replyJson(*responder, 200, this->kvGateway.stats());
    else if (path == "/healthz")
        replyJson(*responder, 200, json::object());
    else if (path == "/faults") {
        if (request.method == "POST")
            this->updateFaults(parseBody(request));
        replyJson(*responder, 200, this->faults());
    } else
        replyError(*responder, 404, "unknown path " + path);
}

void PlatformStandin::handleVms(const HttpRequest &request, HttpResponder &responder)
{
    if (request.method == "GET")
        replyJson(responder, 200, {{"vms", this->vms.list(std::chrono::steady_clock::now())}});
    else if (request.method == "POST")
        this->startVm(parseBody(request), responder);
    else if (request.method == "DELETE" && request.path.size() > vmsPath.size() + 1)
        this->terminateVm(request.path.substr(vmsPath.size() + 1), responder);
    else
        replyError(responder, 405, "method not allowed");
}

void PlatformStandin::addSpare(const json &body, HttpResponder &responder)
{
    this->vms.addSpare(body.get<CloudVm>());
    replyJson(responder, 201, json::object());
}

void PlatformStandin::startVm(const json &body, HttpResponder &responder)
{
    const auto vm =
        this->refusesStarts ? std::nullopt : this->vms.start(body.get<CloudVm>(), std::chrono::steady_clock::now());
    if (!vm) {
        replyError(responder, 409, "no capacity");
        return;
    }
    logEvent(LogLevel::Info, "vm started", *vm);
    replyJson(responder, 201, *vm);
}

void PlatformStandin::terminateVm(const std::string &id, HttpResponder &responder)
{
    const auto vm = this->vms.find(id);
    if (!this->vms.terminate(id, std::chrono::steady_clock::now())) {
        replyError(responder, 404, "unknown VM " + id);
        return;
    }
    this->stopProcess(*vm);
    replyJson(responder, 200, json::object());
}

void PlatformStandin::handleReclaim(const json &body, HttpResponder &responder)
{
    const auto now = std::chrono::steady_clock::now();
    const std::chrono::milliseconds notice(body.at("noticeMs").get<std::int64_t>());
    std::vector<std::string> reclaimed;
    if (body.contains("zone"))
        reclaimed = this->vms.reclaimZone(body.at("zone"), body.value("onDemand", false), notice, now);
    else if (const std::string id = body.at("vm"); this->vms.reclaim(id, notice, now))
        reclaimed.push_back(id);
    logEvent(LogLevel::Info, "reclaim announced", {{"vms", reclaimed}, {"noticeMs", notice.count()}});
    replyJson(responder, 200, {{"vms", reclaimed}});
}

json PlatformStandin::notices(std::int64_t after) const
{
    json list = json::array();
    const auto now = std::chrono::steady_clock::now();
    for (const ReclaimNotice &notice : this->vms.noticesAfter(after)) {
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(notice.deadline - now);
        list.push_back({{"seq", notice.seq},
                        {"vm", notice.vm},
                        {"deadlineMs", unixMilliseconds(notice.deadline)},
                        {"leftMs", std::max<std::int64_t>(0, remaining.count())}});
    }
    return {{"notices", list}};
}

void PlatformStandin::updateFaults(const json &body)
{
    KvFaults faults = this->kvGateway.faults();
    faults.outage = body.value("outage", faults.outage);
    faults.delay = std::chrono::milliseconds(body.value("delayMs", faults.delay.count()));
    faults.loseAnswers = body.value("loseAnswers", faults.loseAnswers);
    this->kvGateway.setFaults(faults);
    this->refusesStarts = body.value("refuseStarts", this->refusesStarts);
    this->listLagMs = body.value("listLagMs", this->listLagMs);
    this->vms.setLag(std::chrono::milliseconds(this->listLagMs));
}

json PlatformStandin::faults() const
{
    const KvFaults &faults = this->kvGateway.faults();
    return {{"outage", faults.outage},
            {"delayMs", faults.delay.count()},
            {"loseAnswers", faults.loseAnswers},
            {"refuseStarts", this->refusesStarts},
            {"listLagMs", this->listLagMs}};
}

void PlatformStandin::scheduleReclaimCheck()
{
    this->reclaimTimer.expires_after(reclaimCheckInterval);
    this->reclaimTimer.async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        for (const CloudVm &vm : this->vms.terminateOverdue(std::chrono::steady_clock::now())) {
            logEvent(LogLevel::Info, "vm reclaimed", vm);
            this->stopProcess(vm);
        }
        this->scheduleReclaimCheck();
    });
}

void PlatformStandin::stopProcess(const CloudVm &vm)
{
    if (!this->stopsProcesses)
        return;
    HttpCall call;
    call.method = "POST";
    call.url = "http://" + vm.address + "/faults";
    call.body = json{{"exit", true}}.dump();
    HttpCallHooks hooks;
    hooks.done = [](const HttpOutcome &) {};
    this->http.start(std::move(call), std::move(hooks));
}

} // namespace hemlock
