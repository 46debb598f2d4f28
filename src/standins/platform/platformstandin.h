#pragma once

#include "cloudvms.h"
#include "httpclient.h"
#include "httpserver.h"
#include "kvgateway.h"
#include "weightstore.h"

#include <nlohmann/json.hpp>

#include <asio.hpp>

#include <memory>
#include <string>

namespace hemlock {

/// Simulated platform: key-value store, cloud API with the VM list, and weight store in one process.
class PlatformStandin
{
public:
    PlatformStandin(asio::io_context &loop, const nlohmann::json &settings);

    /// Starts listening and returns "ADDRESS:PORT".
    std::string start();

private:
    void handle(const HttpRequest &request, const HttpResponderPtr &responder);
    void route(const HttpRequest &request, const HttpResponderPtr &responder);
    void handleVms(const HttpRequest &request, HttpResponder &responder);
    void handleReclaim(const nlohmann::json &body, HttpResponder &responder);
    void addSpare(const nlohmann::json &body, HttpResponder &responder);
    void startVm(const nlohmann::json &body, HttpResponder &responder);
    void terminateVm(const std::string &id, HttpResponder &responder);
    void updateFaults(const nlohmann::json &body);
    nlohmann::json faults() const;
    nlohmann::json notices(std::int64_t after) const;
    void loadVms(const nlohmann::json &settings);
    void scheduleReclaimCheck();
    void stopProcess(const CloudVm &vm);

    asio::io_context &loop;
    HttpClient http;
    KvGateway kvGateway;
    CloudVms vms;
    WeightStore weightStore;
    asio::steady_timer reclaimTimer;
    bool stopsProcesses;
    bool refusesStarts = false;
    std::int64_t listLagMs;
    std::unique_ptr<HttpServer> server;
};

} // namespace hemlock
