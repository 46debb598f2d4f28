#pragma once

#include "httpserver.h"

namespace hemlock {

class Metrics;
struct RelayConfig;
struct RelaySettings;

/// Limits for the callers of a relay process, from its VM and the configuration in force; null if there is none yet.
IncomingLimits callerLimits(const RelaySettings &settings, const RelayConfig *config);

/// Sets the counters of refused callers.
void reportRefusedCallers(const HttpServer &server, Metrics &metrics);

} // namespace hemlock
