#include "relayvm.h"

#include "freeports.h"

#include <filesystem>
#include <utility>

namespace hemlock {

RelayVm::RelayVm(const RelayVmLimits &limits, HttpHandler upstreamHandler)
    : upstream(this->http.loop(), {}, std::move(upstreamHandler))
{
    for (const char *name : {"front", "ready", "control", "peers"})
        this->ports[name] = freePort();
    this->relay =
        &this->processes.start("hemlock-relay",
                               "relay",
                               {{"node-name", "vm"},
                                {"zone", "zone-a"},
                                {"ip", "127.0.0.1"},
                                {"listen",
                                 {{"front", this->address("front")},
                                  {"ready", this->address("ready")},
                                  {"control", this->address("control")}}},
                                {"port-range", {this->ports["peers"]}},
                                {"limits", {{"memory-mb", limits.memoryMb}, {"max-fds", limits.maxDescriptors}}},
                                {"platform", {{"address", this->store.start()}}}});
    this->writeConfiguration(limits.headTimeout);
    this->relay->waitForEvent("start");
    this->isServed("front");
}

void RelayVm::writeConfiguration(std::chrono::milliseconds headTimeout)
{
    const nlohmann::json route = {{"name", "lookup"},
                                  {"hostname", "test.example"},
                                  {"path-prefix", "/"},
                                  {"kind", "idempotent"},
                                  {"service", "lookup"},
                                  {"timeout-ms", 20000},
                                  {"target-latency-ms", 10000},
                                  {"public", true}};
    const nlohmann::json config = {{"version", 1},
                                   {"routes", {route}},
                                   {"services", {{{"name", "lookup"}}}},
                                   {"limits",
                                    {{"max-header-bytes", 16384},
                                     {"max-body-bytes", 4194304},
                                     {"header-timeout-ms", headTimeout.count()},
                                     {"idle-timeout-ms", 15000}}}};
    const nlohmann::json entry = {{"service", "lookup"},
                                  {"address", this->upstream.start()},
                                  {"zone", "zone-a"},
                                  {"state", "ready"},
                                  {"slots", 16},
                                  {"born", 1}};
    this->store.put("op/config", config.dump());
    this->store.put("servers/upstream", entry.dump());
}

void RelayVm::answerWhole(const HttpRequest &request, const HttpResponderPtr &responder, std::string body)
{
    const std::string id = request.headers.value("X-Hemlockflow-Attempt-Id");
    responder->reply(200,
                     {{"X-Hemlockflow-Attempt-Id", id}, {"X-Hemlockflow-Response-Signature", "signature of " + id}},
                     std::move(body));
}

std::string RelayVm::address(const std::string &listener) const
{
    return "127.0.0.1:" + std::to_string(this->ports.at(listener));
}

int RelayVm::requestStatus(const std::string &listener, std::string body)
{
    HttpCall call;
    if (!body.empty())
        call.method = "POST";
    call.body = std::move(body);
    call.url = "http://" + this->address(listener) + "/metrics";
    call.headers = {{"Host", "test.example"},
                    {"X-Hemlockflow-Attempt-Id", "attempt-" + std::to_string(++this->requests)},
                    {"X-Hemlockflow-Deadline-Ms", "20000"}};
    call.forcesNewConnection = true;
    call.closesConnection = true;
    return this->http.call(std::move(call)).status;
}

bool RelayVm::isServed(const std::string &listener, const std::string &body)
{
    const auto end = std::chrono::steady_clock::now() + eventTimeout;
    while (std::chrono::steady_clock::now() < end) {
        if (this->requestStatus(listener, body) == 200)
            return true;
    }
    return false;
}

long RelayVm::openSockets() const
{
    long count = 0;
    for (const auto &entry :
         std::filesystem::directory_iterator("/proc/" + std::to_string(this->relay->id()) + "/fd")) {
        std::error_code ignored;
        count += std::filesystem::read_symlink(entry, ignored).string().starts_with("socket:") ? 1 : 0;
    }
    return count;
}

} // namespace hemlock
