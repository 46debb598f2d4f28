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

/// Settings of an IntentCoordinator.
struct IntentCoordinatorSettings
{
    std::string store; ///< "IP:PORT" of the key-value store.
    std::string controlKey;
    std::string vm; ///< Identifier of the entry VM, a part of the instance identifier.
    IntentLogSettings log; ///< The coordinator sets the instance and the address.
};

/// Connects the intent log of an entry process with the key-value store and the timers, and forwards calls between
/// entry processes.
class IntentCoordinator
{
public:
    IntentCoordinator(asio::io_context &loop, HttpClient &http, const IntentCoordinatorSettings &settings);
    ~IntentCoordinator();

    IntentCoordinator(const IntentCoordinator &) = delete;
    IntentCoordinator &operator=(const IntentCoordinator &) = delete;

    /// Creates the intent log; required before submit(). @p controlAddress is the address for peers, "IP:PORT".
    void start(const std::string &controlAddress);

    /// See IntentLog::submit().
    void submit(const IntentRequest &request, std::function<void(const IntentDecision &)> onDecided);

    /// See IntentLog::complete().
    void complete(const IntentRequest &request, Verdict verdict, const StoredAnswer &answer);

    /// Forwards a call to the owner of its key. If the owner loses the slot meanwhile, the outcome has no answer.
    void forward(const std::string &ownerAddress,
                 const IntentRequest &intent,
                 const HttpRequest &request,
                 std::function<void(const ForwardOutcome &)> done);

    /// Handles a message from a peer; paths begin with "/peer/". Checks the signature and runs forwarded calls.
    void handlePeerMessage(const HttpRequest &request, const HttpResponderPtr &responder, const RunPeerCall &run) const;

    /// See IntentLog::release().
    void release(std::chrono::milliseconds limit, std::function<void()> done);

    const IntentLogStats &stats() const;

private:
    class ForwardedCall;

    asio::io_context &loop;
    HttpClient &http;
    IntentCoordinatorSettings settings;
    ControlAuth auth;
    KvClient store;
    std::shared_ptr<IntentLog> log; ///< Forwarded calls in progress hold weak references.
};

} // namespace hemlock
