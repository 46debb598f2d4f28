#include "balancerstandin.h"

#include "jsonreply.h"
#include "logger.h"
#include "relay.h"
#include "standinprogram.h"

#include <algorithm>

namespace hemlock {

using nlohmann::json;

namespace {

constexpr int defaultHealthIntervalMs = 200;
constexpr std::chrono::milliseconds healthTimeout{1000};

asio::ip::tcp::endpoint parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("\"" + address + "\" is not IP:PORT");
    const int port = std::stoi(address.substr(colon + 1));
    return {asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(port)};
}

} // namespace

BalancerStandin::BalancerStandin(asio::io_context &loop, const json &settings)
    : loop(loop)
    , http(loop)
    , listenAddress(listenSettings(settings))
    , acceptor(loop)
    , healthTimer(loop)
    , healthInterval(settings.value("healthIntervalMs", defaultHealthIntervalMs))
    , admin(loop,
            listenSettings({{"listen", settings.value("admin", json::object())}}),
            [this](const HttpRequest &request, const HttpResponderPtr &responder) {
                try {
                    this->handleAdmin(request, *responder);
                } catch (const std::exception &error) {
                    replyError(*responder, 400, error.what());
                }
            })
{
    this->setTargets(settings.value("targets", std::vector<std::string>{}));
}

std::string BalancerStandin::start()
{
    announceAddress("admin", this->admin.start());
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(this->listenAddress.address),
                                           this->listenAddress.port);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    this->accept();
    this->checkHealth();
    return this->listenAddress.address + ":" + std::to_string(this->acceptor.local_endpoint().port());
}

void BalancerStandin::accept()
{
    this->acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket caller) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            this->connectRelay(std::make_shared<Relay>(std::move(caller), this->loop), this->targets.size());
        this->accept();
    });
}

void BalancerStandin::connectRelay(const std::shared_ptr<Relay> &relay, std::size_t triesLeft)
{
    const Target *target = triesLeft == 0 ? nullptr : this->nextHealthy();
    if (target == nullptr) {
        relay->close();
        return;
    }
    relay->start(parseEndpoint(target->address), [this, triesLeft, address = target->address](const auto &failedRelay) {
        this->setHealthy(address, false);
        this->connectRelay(failedRelay, triesLeft - 1);
    });
}

const BalancerStandin::Target *BalancerStandin::nextHealthy()
{
    for (std::size_t tried = 0; tried < this->targets.size(); ++tried) {
        const Target &target = this->targets[this->nextTargetIndex++ % this->targets.size()];
        if (target.isHealthy)
            return &target;
    }
    return nullptr;
}

void BalancerStandin::setTargets(const std::vector<std::string> &addresses)
{
    std::vector<Target> newTargets;
    for (const std::string &address : addresses) {
        parseEndpoint(address);
        const auto known = std::find_if(this->targets.begin(), this->targets.end(), [&](const Target &target) {
            return target.address == address;
        });
        newTargets.push_back(known == this->targets.end() ? Target{address, false} : *known);
    }
    this->targets = std::move(newTargets);
}

void BalancerStandin::checkHealth()
{
    for (const Target &target : this->targets)
        this->checkTarget(target.address);
    this->healthTimer.expires_after(this->healthInterval);
    this->healthTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            this->checkHealth();
    });
}

void BalancerStandin::checkTarget(const std::string &address)
{
    HttpCall call;
    call.url = "http://" + address + "/healthz";
    call.timeout = healthTimeout;
    HttpCallHooks hooks;
    hooks.done = [this, address](const HttpOutcome &outcome) {
        this->setHealthy(address, outcome.isComplete() && outcome.status == 200);
    };
    this->http.start(std::move(call), std::move(hooks));
}

void BalancerStandin::setHealthy(const std::string &address, bool isHealthy)
{
    for (Target &target : this->targets) {
        if (target.address != address || target.isHealthy == isHealthy)
            continue;
        target.isHealthy = isHealthy;
        logEvent(LogLevel::Info, "target health changed", {{"target", address}, {"healthy", isHealthy}});
    }
}

void BalancerStandin::handleAdmin(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path != "/targets") {
        replyError(responder, 404, "unknown path " + request.path);
        return;
    }
    if (request.method == "POST") {
        this->setTargets(parseBody(request).at("targets").get<std::vector<std::string>>());
        for (const Target &target : this->targets)
            this->checkTarget(target.address);
    }
    replyJson(responder, 200, this->targetsJson());
}

json BalancerStandin::targetsJson() const
{
    json list = json::array();
    for (const Target &target : this->targets)
        list.push_back({{"address", target.address}, {"healthy", target.isHealthy}});
    return {{"targets", list}};
}

} // namespace hemlock
