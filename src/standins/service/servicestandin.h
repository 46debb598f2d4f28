#pragma once

#include "httpclient.h"
#include "httpserver.h"
#include "ledger.h"

#include <nlohmann/json.hpp>

#include <asio.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace hemlock {

/// Injected faults of a service. A count applies to that many upcoming calls.
struct ServiceFaults
{
    std::chrono::milliseconds delay{0}; ///< Delay before each call is executed.
    std::chrono::milliseconds answerDelay{0}; ///< Delay between the execution of a call and its response.
    int closeBefore = 0; ///< The connection closes and the call is not executed.
    int closeAfter = 0; ///< The connection closes after the call was executed.
    int refuse = 0; ///< The call gets 503 with {"verdict":"not-run"}.
};

/// Simulated transactional service that records its calls in a ledger. A POST is executed; a GET returns the body of
/// the latest POST to its path. Workers of one service share state through another ServiceStandin process, whose URL is
/// the "database" of their settings.
class ServiceStandin
{
public:
    ServiceStandin(asio::io_context &loop, const nlohmann::json &settings);

    /// Starts listening and returns "ADDRESS:PORT".
    std::string start();

private:
    void handle(const HttpRequest &request, const HttpResponderPtr &responder);
    void route(const HttpRequest &request, const HttpResponderPtr &responder);
    void handleCall(const HttpRequest &request, const HttpResponderPtr &responder);
    void sendAnswer(const HttpRequest &request, const HttpResponderPtr &responder, const nlohmann::json &answer);
    nlohmann::json execute(const LedgerEntry &call);
    nlohmann::json readState(const std::string &path) const;
    void callDatabase(HttpCall call, std::function<void(const nlohmann::json &)> done);
    void updateFaults(const nlohmann::json &body);
    nlohmann::json faultsJson() const;
    void runDelayed(std::chrono::milliseconds delay, std::function<void()> action);

    asio::io_context &loop;
    HttpClient http;
    std::string database; ///< URL of the process whose ledger the workers share; if empty, the own ledger is read.
    ServiceFaults faults;
    Ledger ledger;
    int inFlight = 0;
    std::unique_ptr<HttpServer> server;
};

} // namespace hemlock
