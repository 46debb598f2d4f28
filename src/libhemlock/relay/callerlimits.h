#pragma once

#include "httpserver.h"

#include <cstddef>
#include <optional>

namespace hemlock {

class Metrics;
struct RelayConfig;
struct RelaySettings;

/// Limits for the callers of a relay process, from its VM and the configuration in force; null if there is none yet.
IncomingLimits callerLimits(const RelaySettings &settings, const RelayConfig *config);

/// Connections that may wait at a listener until they are accepted; 0 for the limit of the system.
struct WaitingConnections
{
    std::size_t callers = 0;
    std::size_t others = 0; ///< At each of the listeners for readiness and control.
};

WaitingConnections maxWaitingConnections(const RelaySettings &settings);

/// Memory for the answers of upstreams; nullopt to keep the default of RelayContext.
std::optional<std::size_t> answerBufferBytes(const RelaySettings &settings);

/// Connections to upstreams that are kept open, so that all sockets stay within the settings; nullopt to keep the
/// default of HttpClient.
std::optional<std::size_t> maxUpstreamConnections(const RelaySettings &settings);

/// Sets the counters of refused callers.
void reportRefusedCallers(const HttpServer &server, Metrics &metrics);

} // namespace hemlock
