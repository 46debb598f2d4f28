#include "relay/callerlimits.h"

#include "bufferpool.h"
#include "httpclient.h"
#include "metrics.h"
#include "relay/relayconfig.h"
#include "relay/relayprocess.h"

#include <algorithm>

namespace hemlock {

namespace {

/// Listeners, the datagram socket, connections to the store, the cloud and peers.
constexpr std::size_t otherSockets = 32;

/// A caller's connection, and one to an upstream for each of the two requests that RESTinio reads ahead on it.
constexpr std::size_t socketsPerCaller = 3;

constexpr std::size_t minCallers = 16;

/// The platform's limit until a configuration was read.
constexpr std::size_t defaultMaxHeadBytes = 16384;

/// A body in which nothing arrives for this long is given up. Callers' deadlines are shorter.
constexpr std::chrono::milliseconds bodyTimeout{60000};

} // namespace

IncomingLimits callerLimits(const RelaySettings &settings, const RelayConfig *config)
{
    IncomingLimits limits;
    limits.memoryBytes = settings.memoryBytes;
    limits.bodyTimeout = bodyTimeout;
    if (settings.maxSockets > 0) {
        const std::size_t callerSockets = settings.maxSockets - std::min(settings.maxSockets, otherSockets);
        limits.maxConnections = std::max(minCallers, callerSockets / socketsPerCaller);
    }
    if (config) {
        limits.maxBodyBytes = config->maxBodyBytes;
        limits.maxHeadBytes = config->maxHeadBytes;
        limits.headTimeout = config->headTimeout;
    }
    if (limits.maxHeadBytes == 0 && settings.memoryBytes > 0)
        limits.maxHeadBytes = defaultMaxHeadBytes;
    return limits;
}

std::optional<std::size_t> maxUpstreamConnections(const RelaySettings &settings)
{
    if (settings.maxSockets == 0)
        return std::nullopt;
    return std::min(HttpClient::defaultMaxConnections,
                    callerLimits(settings, nullptr).maxConnections * (socketsPerCaller - 1));
}

void reportRefusedCallers(const HttpServer &server, Metrics &metrics)
{
    const RefusedCallers &refused = server.refusedCallers();
    metrics.setTotal("hemlock_buffer_refusals_total",
                     "Requests and responses of callers that found no room in the buffers.",
                     server.buffers().refusalCount());
    metrics.setTotal("hemlock_large_heads_total",
                     "Requests whose head was longer than the configuration allows.",
                     refused.largeHeads);
    metrics.setTotal("hemlock_slow_heads_total",
                     "Requests whose head took longer than the configuration allows.",
                     refused.slowHeads);
    metrics.setTotal("hemlock_large_bodies_total",
                     "Requests whose body was longer than the configuration allows.",
                     refused.largeBodies);
    metrics.setTotal("hemlock_slow_bodies_total", "Requests whose body stopped for too long.", refused.slowBodies);
    metrics.setTotal("hemlock_stalled_callers_total",
                     "Connections of callers whose request or response stopped, closed for others that advance.",
                     refused.stalledConnections);
    metrics.setTotal(
        "hemlock_closed_callers_total",
        "Connections of callers that were closed because all together exceeded the memory or the descriptors.",
        refused.closedConnections);
}

} // namespace hemlock
