#pragma once

#include "batchscheduler.h"
#include "cacheeventlog.h"
#include "enginestream.h"
#include "httpclient.h"
#include "httpserver.h"
#include "laggingvalue.h"
#include "orderlog.h"
#include "prefixcache.h"

#include <nlohmann/json.hpp>

#include <asio.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hemlock {

/// Simulated inference engine with continuous batching, a limited prefix cache, resumable streams, and orders that set
/// its model, version, role and adapters.
class EngineStandin
{
public:
    EngineStandin(asio::io_context &loop, const nlohmann::json &settings);

    /// Starts listening and returns "ADDRESS:PORT".
    std::string start();

private:
    struct Load
    {
        std::size_t running = 0;
        std::size_t waiting = 0;
        std::size_t cachedBlocks = 0;
    };

    void handle(const HttpRequest &request, const HttpResponderPtr &responder);
    void route(const HttpRequest &request, const HttpResponderPtr &responder);
    void complete(const CompletionRequest &request, const HttpResponderPtr &responder);
    void resume(const CompletionRequest &request, const HttpResponderPtr &responder);
    void attach(const std::shared_ptr<EngineStream> &stream,
                const HttpResponderPtr &responder,
                std::size_t afterIndex,
                bool asEventStream);
    void startRetentionTimer(const std::shared_ptr<EngineStream> &stream);
    bool cancel(const std::string &attempt);
    void exportCache(const nlohmann::json &body, HttpResponder &responder);
    void importCache(const nlohmann::json &body, HttpResponder &responder);
    void receiveOrder(const nlohmann::json &order, const HttpResponderPtr &responder);
    void applyOrder(const nlohmann::json &order, const HttpResponderPtr &responder);
    void loadWeights(const HttpResponderPtr &responder);
    void updateFaults(const nlohmann::json &body);
    nlohmann::json loadJson();

    void scheduleStep();
    void runStep();
    void finishStep(const BatchScheduler::Step &step);
    void admit(const std::string &attempt);
    void recordLoad();

    asio::io_context &loop;
    HttpClient http;
    nlohmann::json settings;
    std::vector<std::string> vocabulary;
    std::string crashMarker; ///< The process exits when it admits a prompt with this text; empty for never.
    std::chrono::milliseconds retentionTime;
    std::chrono::milliseconds orderDelay{0};
    std::string weightStore; ///< URL of the weight store; if empty, weights need no loading.
    BatchScheduler scheduler;
    CacheEventLog cacheEvents;
    PrefixCache cache;
    LaggingValue<Load> load;
    OrderLog orders;
    asio::steady_timer stepTimer;
    bool isStepScheduled = false;
    bool isStalled = false;
    int activeWeightLoads = 0;
    std::map<std::string, std::shared_ptr<EngineStream>> streams;
    std::unique_ptr<HttpServer> server;
};

} // namespace hemlock
