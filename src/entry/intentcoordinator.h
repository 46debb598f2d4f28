#pragma once

#include "controlauth.h"
#include "intentlog.h"
#include "kvclient.h"
#include "peercall.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace hemlock {

struct IntentCoordinatorSettings
{
    std::string store; ///< "IP:PORT" of the key-value store.
    std::string controlKey;
    std::string vm; ///< Identifier of the entry VM, a part of the instance identifier.
    IntentLogSettings log; ///< The gate sets the instance and the address.
};

/// Connects an entry process with the intent log: the store, time, and calls forwarded between entry processes.
class IntentCoordinator
{
public:
    IntentCoordinator(asio::io_context &loop, HttpClient &http, const IntentCoordinatorSettings &settings);
    ~IntentCoordinator();

    IntentCoordinator(const IntentCoordinator &) = delete;
    IntentCoordinator &operator=(const IntentCoordinator &) = delete;

    /// Starts to decide on calls. @p controlAddress is where peers reach this process, "IP:PORT".
    void start(const std::string &controlAddress);

    void submit(const IntentRequest &request, std::function<void(const IntentDecision &)> decided);
    void complete(const IntentRequest &request, Verdict verdict, const StoredAnswer &answer);

    /// Passes a call on to the owner of its key. A call whose owner is lost meanwhile ends without an answer.
    void forward(const std::string &ownerAddress,
                 const IntentRequest &intent,
                 const HttpRequest &request,
                 std::function<void(const ForwardOutcome &)> done);

    /// Takes a message of a peer at a path that begins with "/peer/".
    void handlePeer(const HttpRequest &request, const HttpResponderPtr &responder, const RunPeerCall &run) const;

    /// As IntentLog::release().
    void release(std::chrono::milliseconds limit, std::function<void()> done);

    const IntentLogStats &stats() const;

private:
    class ForwardedCall;

    asio::io_context &loop;
    HttpClient &http;
    IntentCoordinatorSettings settings;
    ControlAuth auth;
    KvClient store;
    std::shared_ptr<IntentLog> log; ///< Forwardings in progress hold weak references.
};

} // namespace hemlock
