#pragma once

#include "httpclient.h"
#include "httpmessage.h"
#include "relay/relayconfig.h"
#include "relay/relayrequest.h"
#include "relay/usageledger.h"
#include "rollout/rolloutrecord.h"
#include "upstream.h"
#include "verdict.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <variant>

namespace hemlock {

/// Identifies the elected process that performs fleet-wide duties. The fencing token rejects a former holder.
struct DutyLease
{
    std::string holder; ///< Identifier of the elected process.
    std::int64_t fencingToken = 0;
};

/// Desired number of upstreams of one service in one availability zone.
struct UpstreamOrder
{
    std::string service;
    std::string zone;
    int count = 0;
    bool isReclaimable = false;

    bool operator<(const UpstreamOrder &other) const
    {
        return std::tie(this->service, this->zone, this->count, this->isReclaimable)
            < std::tie(other.service, other.zone, other.count, other.isReclaimable);
    }
};

/// Result of a platform call made as part of a fleet-wide duty.
enum class DutyResult {
    Accepted,
    Refused, ///< Rejected; a retry is rejected as well unless something else has changed.
    Unknown, ///< No answer or a temporary failure; may be retried.
};

/// Callbacks that encode and decode requests, configuration and duty calls. A platform adapter provides them; they
/// contain no policy.
struct RelayTransport
{
    std::function<std::variant<RelayRequest, RequestError>(HttpRequest request)> decodeRequest;
    std::function<HttpCall(const RelayRequest &request, const RelayAttempt &attempt)> encodeAttempt;
    std::function<RelayAnswer(const HttpHeaders &headers)> decodeAnswer;

    /// Throws std::exception with a message for the log when the value is invalid.
    std::function<RelayConfig(const std::string &value)> decodeConfig;
    std::function<Upstream(const std::string &id, const std::string &value)> decodeUpstream;
    /// Version of an upstream by its entry; empty if it has none.
    std::function<std::string(const std::string &value)> decodeVersion;
    std::function<RolloutOrder(const std::string &value)> decodeRollout;

    std::function<std::string(RolloutPhase phase, const std::string &target)> encodeRolloutStatus;

    std::function<void(
        const DutyLease &lease, std::int64_t window, const UsageCounts &counts, std::function<void(DutyResult)> done)>
        reportUsage;
    std::function<void(const DutyLease &lease, const UpstreamOrder &order, std::function<void(DutyResult)> done)>
        orderUpstreams;
};

} // namespace hemlock
