#pragma once

#include "entrycontext.h"
#include "gateway.h"
#include "httpserver.h"
#include "intentcoordinator.h"
#include "loadpoller.h"
#include "rpc.h"
#include "shareexchange.h"
#include "streamhandover.h"

#include <asio.hpp>

namespace hemlock {

/// The entry process: the server for callers, the control server and the graceful shutdown, on one Asio loop.
class EntryProcess
{
public:
    EntryProcess(asio::io_context &loop, const EntrySettings &settings);

    /// Starts both servers and announces their addresses.
    void start();

    /// Starts the graceful shutdown: reports as draining, hands streams over, stops accepting connections after
    /// drainNotice, and stops the loop after the last open call.
    void drain();

private:
    void handleControl(const HttpRequest &request, const HttpResponderPtr &responder);
    void addMethods();
    nlohmann::json applySnapshot(const nlohmann::json &params);
    nlohmann::json report();
    nlohmann::json quarantineDelta(const nlohmann::json &params);
    nlohmann::json applyQuarantine(const nlohmann::json &params);
    nlohmann::json explain(const nlohmann::json &params) const;
    void setDefaultHandlers();
    void useIntentLog();
    void releaseIntents();
    void awaitSignal();
    void handOverStreams();
    void checkProgress();
    void tickAdmission();
    void exchangeShares();
    void stopWhenIdle();

    asio::io_context &loop;
    EntryContext context;
    Gateway gateway;
    std::unique_ptr<IntentCoordinator> intentCoordinator; ///< nullptr if no store is configured.
    RpcServer rpcServer;
    RpcClient peerClient;
    StreamHandover handover;
    HttpServer callerServer;
    HttpServer controlServer;
    asio::signal_set signals;
    asio::steady_timer drainTimer;
    asio::steady_timer handoverTimer;
    asio::steady_timer progressTimer;
    LoadPoller loadPoller;
    asio::steady_timer admissionTimer;
    asio::steady_timer sharesTimer;
    RandomEngine random;
    ShareExchange shares;
    bool hasReleasedIntents = true;
    bool hasDrainNoticePassed = false; ///< drainNotice has passed, so the balancer has seen that this process drains.
};

} // namespace hemlock
