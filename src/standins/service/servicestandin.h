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

/// Faults of a service; a count applies to that many next calls.
struct ServiceFaults
{
    std::chrono::milliseconds delay{0}; ///< Before each call runs.
    std::chrono::milliseconds answerDelay{0}; ///< Between the run of a call and its answer.
    int closeBefore = 0; ///< The connection closes and the call has not run.
    int closeAfter = 0; ///< The connection closes after the call has run.
    int refuse = 0; ///< 503 with {"verdict":"not-run"}.
};

/// Transactional application with a ledger. A POST runs; a GET reads what the latest POST on its path has set.
/// Several workers of a service share their state through the "database" of their settings, another such process.
class ServiceStandin
{
public:
    ServiceStandin(asio::io_context &loop, const nlohmann::json &settings);

    /// Starts to listen and returns "ADDRESS:PORT".
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
    std::string database;
    ServiceFaults faults;
    Ledger ledger;
    int inFlight = 0;
    std::unique_ptr<HttpServer> server;
};

} // namespace hemlock
