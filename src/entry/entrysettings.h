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

/// Address on which a server listens.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0; ///< 0 lets the system choose a free port.
};

/// Settings of hemlock-entry; see schemas/entry.json.
struct EntrySettings
{
    std::string id; ///< Identifier of the entry VM.
    AvailabilityZone zone;
    Endpoint listen; ///< Endpoint for callers.
    Endpoint control; ///< Endpoint for control processes and peers.
    std::string controlKey; ///< Shared key that signs messages between control and entry processes.
    std::string store; ///< "IP:PORT" of the key-value store; empty when there is none.
    std::string policy = "prefix-affinity"; ///< Name of the routing policy.
    IntentLogSettings intents;
    std::chrono::milliseconds releaseLimit{30000}; ///< Time limit of a graceful shutdown for non-repeatable calls.
    bool unsafeIntents = false; ///< For tests: dispatch non-repeatable calls without a durable intent.
    std::size_t maxBodyBytes = std::size_t{8} * 1024 * 1024;
    std::size_t maxPendingBytes = std::size_t{256} * 1024; ///< Unread bytes per stream before it is cut off.
    std::chrono::milliseconds drainNotice{1000}; ///< Time in which the balancer notices the draining.
    CallerLimits limits;
};

/// @p json must be valid against the schema.
EntrySettings parseEntrySettings(const nlohmann::json &json);

} // namespace hemlock
