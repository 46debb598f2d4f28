#pragma once

#include "bufferpool.h"
#include "httpclient.h"
#include "metrics.h"
#include "quarantine.h"
#include "relay/accountquota.h"
#include "relay/crashevidence.h"
#include "relay/relayscheduler.h"
#include "relay/relaytransport.h"
#include "relay/repeatedanswers.h"
#include "relay/usageledger.h"
#include "retrybudget.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace asio {
class io_context;
}

namespace hemlock {

/// Age and revision of the known list of upstreams.
struct UpstreamListFreshness
{
    std::int64_t revision = 0; ///< Revision of the store that the list was read at.
    std::chrono::milliseconds age{0}; ///< Time since the store last answered a read of the list.
};

/// Services and callbacks shared by all relayed calls of a process.
struct RelayContext
{
    asio::io_context &loop;
    HttpClient &http;
    const RelayTransport &transport;
    RelayScheduler &scheduler;
    AccountQuota &quota;
    RetryBudget &retryBudget;
    Quarantine &quarantine; ///< For its subjects see RequestSuspects.
    UsageLedger &usage;
    Metrics &metrics;
    /// Whether a new call is accepted that may take until @p timeLimit from now; false when that is more than what is
    /// left before the process exits.
    std::function<bool(std::chrono::milliseconds timeLimit, bool isResumable)> acceptsCall;
    RouteTablePtr routes; ///< Null until the first configuration was read.
    std::chrono::seconds idleLimit{10}; ///< Connections to upstreams that were idle for longer are not reused.
    std::function<std::size_t()> peerCount; ///< Number of other entry VMs.
    std::function<std::chrono::steady_clock::time_point()> now;
    std::function<std::chrono::system_clock::time_point()> wallTime;

    std::function<UpstreamListFreshness()> upstreamListFreshness;

    /// Called when the connection for an attempt failed.
    std::function<void(const Upstream &upstream)> connectionFailed;

    /// Requests the trial of a refused subject, as by SuspectRecords::requestTrial().
    std::function<void(
        const std::string &subject,
        const std::function<void(std::optional<std::chrono::steady_clock::time_point> validUntil)> &done)>
        requestTrial;

    /// Called when a prompt was sent, with the number of its tokens that the upstream has to compute.
    std::function<void(double tokens)> promptSent;

    /// Called when an attempt of a request is sent.
    std::function<void(const std::string &request, const Upstream &upstream, bool isFirst)> attemptStarted =
        [](const std::string &, const Upstream &, bool) {};

    /// Called when an attempt of a request has ended, with the end as it is evidence of a crash.
    std::function<void(const std::string &request, const std::string &route, const AttemptEnd &end)> attemptEnded =
        [](const std::string &, const std::string &, const AttemptEnd &) {};

    /// Bytes that the answers of upstreams may take together.
    static constexpr std::size_t answerBufferCapacity = std::size_t{32} * 1024 * 1024;
    std::shared_ptr<BufferPool> answerBuffers = std::make_shared<BufferPool>(answerBufferCapacity);

    RepeatedAnswers repeatedAnswers;
};

} // namespace hemlock
