#pragma once

#include "callerrequest.h"
#include "httpserver.h"
#include "intentsettings.h"
#include "upstream.h"

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace hemlock {

struct Endpoint
{
    std::string address;
    std::uint16_t port = 0; ///< 0 asks the system for a free port.
};

/// Settings of hemlock-entry, as in schemas/entry.json.
struct EntrySettings
{
    std::string id; ///< Identifier of the entry VM.
    AvailabilityZone zone;
    Endpoint listen; ///< Serves callers.
    Endpoint control; ///< Serves the system's own processes.
    std::string controlKey;
    std::string store; ///< "IP:PORT" of the key-value store; empty when there is none.
    std::string policy = "prefix-affinity"; ///< Name of the routing policy.
    IntentLogSettings intents;
    std::chrono::milliseconds releaseLimit{30000}; ///< For the calls that may not repeat in a graceful shutdown.
    bool unsafeIntents = false; ///< For trials: dispatch calls that may not repeat without a durable intent.
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    std::size_t maxPendingBytes = std::size_t{256} * 1024; ///< Bytes a slow caller may leave unread in one stream.
    std::chrono::milliseconds drainNotice{1000}; ///< Time for the balancer to see that this process drains.
    CallerLimits limits;
};

/// Expects a value that the schema accepts.
EntrySettings parseEntrySettings(const nlohmann::json &json);

} // namespace hemlock
