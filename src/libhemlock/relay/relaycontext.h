#pragma once

#include "httpclient.h"
#include "metrics.h"
#include "quarantine.h"
#include "relay/accountquota.h"
#include "relay/relayscheduler.h"
#include "relay/relaytransport.h"
#include "relay/usageledger.h"
#include "retrybudget.h"

#include <functional>

namespace asio {
class io_context;
}

namespace hemlock {

/// How new the list of upstreams is.
struct UpstreamListFreshness
{
    std::int64_t revision = 0; ///< Of the store.
    std::chrono::milliseconds age{0}; ///< Since the store last answered a read of it.
};

/// What the relayed calls of a process share.
struct RelayContext
{
    asio::io_context &loop;
    HttpClient &http;
    const RelayTransport &transport;
    RelayScheduler &scheduler;
    AccountQuota &quota;
    RetryBudget &retries;
    Quarantine &quarantine;
    UsageLedger &usage;
    Metrics &metrics;
    /// Whether a call of this kind may still begin; false near the end of a process.
    std::function<bool(CallKind kind)> accepts;
    RouteTablePtr routes; ///< Null before the first configuration.
    std::chrono::seconds idleLimit{10}; ///< Idle connections to upstreams are not used for longer.
    std::function<std::size_t()> peerCount; ///< Number of other entry VMs.
    std::function<std::chrono::steady_clock::time_point()> now;
    std::function<std::chrono::system_clock::time_point()> wallTime;

    std::function<UpstreamListFreshness()> upstreamListFreshness;

    /// An attempt ended without an answer while this upstream ran the request.
    std::function<void(const Upstream &upstream, const std::string &fingerprint)> connectionFailed;

    /// A prompt of which this many tokens are to be computed was sent.
    std::function<void(double tokens)> promptSent;
};

} // namespace hemlock
