#pragma once

#include "httpclient.h"
#include "httpserver.h"

#include <nlohmann/json.hpp>

#include <asio.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace hemlock {

class Relay;

/// TCP load balancer: forwards connections round-robin to the targets whose /healthz answers 200.
/// Its admin address serves GET and POST /targets.
class BalancerStandin
{
public:
    BalancerStandin(asio::io_context &loop, const nlohmann::json &settings);

    /// Starts listening, announces the admin address and returns the "ADDRESS:PORT" that accepts callers.
    std::string start();

private:
    struct Target
    {
        std::string address; ///< "IP:PORT".
        bool isHealthy = false;
    };

    void accept();
    void connectRelay(const std::shared_ptr<Relay> &relay, std::size_t triesLeft);
    const Target *nextHealthy();
    void setTargets(const std::vector<std::string> &addresses);
    void checkHealth();
    void checkTarget(const std::string &address);
    void setHealthy(const std::string &address, bool isHealthy);
    void handleAdmin(const HttpRequest &request, HttpResponder &responder);
    nlohmann::json targetsJson() const;

    asio::io_context &loop;
    HttpClient http;
    HttpServerSettings listenAddress;
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer healthTimer;
    std::chrono::milliseconds healthInterval;
    std::vector<Target> targets;
    std::size_t nextTargetIndex = 0;
    HttpServer admin;
};

} // namespace hemlock
