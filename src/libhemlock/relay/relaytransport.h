#pragma once

#include "httpclient.h"
#include "httpmessage.h"
#include "relay/relayconfig.h"
#include "relay/relayrequest.h"
#include "relay/usageledger.h"
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

/// Proof of the right to act for the whole system.
struct DutyLease
{
    std::string holder;
    std::int64_t fencingToken = 0;
};

/// Wanted number of upstreams of one service in one availability zone.
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

/// How the platform took a duty call.
enum class DutyResult {
    Accepted,
    Refused, ///< For good, or until something else changes.
    Unknown, ///< No answer, or not now.
};

/// How requests, configuration and duties look on the wire; filled by an adapter. The hooks decide nothing.
struct RelayTransport
{
    std::function<std::variant<RelayRequest, RequestError>(HttpRequest request)> decodeRequest;
    std::function<HttpCall(const RelayRequest &request, const RelayAttempt &attempt)> encodeAttempt;
    std::function<RelayAnswer(const HttpHeaders &headers)> decodeAnswer;

    /// Throws std::exception with a text for the log when the value cannot be used.
    std::function<RelayConfig(const std::string &value)> decodeConfig;
    std::function<Upstream(const std::string &id, const std::string &value)> decodeUpstream;

    std::function<void(
        const DutyLease &lease, std::int64_t window, const UsageCounts &counts, std::function<void(DutyResult)> done)>
        reportUsage;
    std::function<void(const DutyLease &lease, const UpstreamOrder &order, std::function<void(DutyResult)> done)>
        orderUpstreams;
};

} // namespace hemlock
