#pragma once

#include "controlnode.h"
#include "httpclient.h"
#include "httpserver.h"
#include "kvclient.h"
#include "placer.h"
#include "rpc.h"

#include <nlohmann/json.hpp>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <memory>
#include <random>

namespace hemlock {

/// Connects a ControlNode to the network, the clock and the signals of its process.
class ControlProcess
{
public:
    /// @p settings must be valid against schemas/control.json.
    ControlProcess(const nlohmann::json &settings, nlohmann::json documentSchema, nlohmann::json upstreamChart);

    /// Runs until SIGTERM or SIGINT.
    void run();

private:
    ControlIo nodeIo();
    void cloudGet(const std::string &path, std::function<void(const nlohmann::json &, const std::string &)> done);
    PlacerIo placerIo();
    void callCloud(const std::string &method,
                   const std::string &path,
                   const nlohmann::json &body,
                   std::function<void(const CloudAnswer &)> done);
    void tickPlacer();
    void probe(const std::string &address, std::function<void(bool)> done);
    void tick();
    void stop();

    nlohmann::json settings;
    ControlNodeSettings nodeSettings;
    asio::io_context loop;
    HttpClient http;
    KvClient kv;
    RpcServer rpcServer;
    RpcClient rpcClient;
    HttpServer server;
    std::mt19937_64 randomEngine;
    asio::steady_timer timer;
    asio::signal_set signals;
    std::unique_ptr<ControlNode> node;
    std::unique_ptr<Placer> placer;
    PeriodicTask placerTask;
};

} // namespace hemlock
