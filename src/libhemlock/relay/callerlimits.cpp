#include "relay/callerlimits.h"

#include "bufferpool.h"
#include "httpclient.h"
#include "metrics.h"
#include "relay/relayconfig.h"
#include "relay/relaycontext.h"
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

/// Memory of the process without any caller or answer.
constexpr double processBytes = 18e6;

/// Shares of the remaining memory; what is left over is for copies that exist for a moment and for gaps between blocks.
constexpr double callerShare = 0.4; ///< Connections, requests and responses of callers.
constexpr double unreadShare = 0.3; ///< Received bytes in the kernel, which count as memory of the process.
constexpr double answerShare = 0.15; ///< Answers of upstreams.

/// Share of the unread bytes that is for connections that are not accepted yet.
constexpr double waitingShare = 1.0 / 3.0;

/// Share of the connections that are not accepted yet that is for one of the listeners beside that of callers.
constexpr double otherListenerShare = 1.0 / 8.0;

constexpr double minWaitingConnections = 16.0;

/// The most that the kernel keeps for a connection with callerReceiveBufferBytes that is not read.
constexpr double unreadConnectionBytes = 1.25 * callerReceiveBufferBytes;

double availableBytes(const RelaySettings &settings)
{
    return std::max(0.0, static_cast<double>(settings.memoryBytes) - processBytes);
}

} // namespace

IncomingLimits callerLimits(const RelaySettings &settings, const RelayConfig *config)
{
    IncomingLimits limits;
    limits.bodyTimeout = bodyTimeout;
    if (settings.maxSockets > 0) {
        const std::size_t callerSockets = settings.maxSockets - std::min(settings.maxSockets, otherSockets);
        limits.maxConnections = std::max(minCallers, callerSockets / socketsPerCaller);
    }
    if (settings.memoryBytes > 0) {
        const double available = availableBytes(settings);
        // A limit of 0 would be none.
        limits.memoryBytes = std::max<std::size_t>(1, static_cast<std::size_t>(available * callerShare));
        const double unread = available * unreadShare * (1.0 - waitingShare) / unreadConnectionBytes;
        const std::size_t readable = std::max(minCallers, static_cast<std::size_t>(unread));
        limits.maxConnections = limits.maxConnections == 0 ? readable : std::min(limits.maxConnections, readable);
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

WaitingConnections maxWaitingConnections(const RelaySettings &settings)
{
    WaitingConnections waiting;
    if (settings.memoryBytes == 0)
        return waiting;
    const double all = availableBytes(settings) * unreadShare * waitingShare / unreadConnectionBytes;
    const double other = std::max(minWaitingConnections, all * otherListenerShare);
    waiting.callers = static_cast<std::size_t>(std::max(minWaitingConnections, all - 2.0 * other));
    waiting.others = static_cast<std::size_t>(other);
    return waiting;
}

std::optional<std::size_t> answerBufferBytes(const RelaySettings &settings)
{
    if (settings.memoryBytes == 0)
        return std::nullopt;
    return std::min(RelayContext::answerBufferCapacity,
                    static_cast<std::size_t>(availableBytes(settings) * answerShare));
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
