#pragma once

#include "relay/peerregistry.h"
#include "relay/relayscheduler.h"
#include "relay/usageledger.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace hemlock {

/// Load of one or more entry VMs on an upstream.
struct PeerLoad
{
    int requests = 0; ///< In flight.
    double pendingTokens = 0.0; ///< Prompt tokens that are still to be computed.
};

using PeerLoads = std::map<std::string, PeerLoad>; ///< By upstream.

/// State that an entry VM sends to its neighbours several times a second: to all peers in a small fleet, to those of
/// its availability zone in a large one. Messages carry running totals, so that the next one makes up for a lost one.
struct PeerUpdate
{
    std::string node;
    std::string runId; ///< Differs between two starts of the node.
    std::string zone;
    std::int64_t sequence = 0; ///< Grows with each message of a run.
    PeerRank rank;
    std::chrono::system_clock::time_point timeOfDay; ///< Sender's clock at the time of sending.
    std::map<std::string, double> quotaTotals; ///< Units admitted since the start, by client account.
    PeerLoads loads;
    std::map<std::string, double> demand; ///< Prompt tokens that requests needed computed since the start, by service.
    std::map<std::int64_t, UsageCounts> usage; ///< By index of the wall clock window.
    std::vector<CachedParts> cachedParts; ///< Sent to upstreams since the last message but one.
    nlohmann::json quarantine; ///< As by Quarantine::delta().
    nlohmann::json upstreamNotices; ///< As by UpstreamNotices::encode(); earlier versions lack some kinds.
};

/// Sums over all entry VMs of an availability zone, as seen by one of them. The size does not grow with the number of
/// VMs.
struct ZoneUpdate
{
    std::string zone;
    std::string runId; ///< Of the sender; differs between two starts of the node.
    std::int64_t sequence = 0; ///< Grows with each message of a run.
    std::size_t vms = 0; ///< VMs of the zone that the sender receives updates from, itself included.
    std::map<std::string, double> quotaTotals; ///< Units admitted since the sender's start, by client account.
    PeerLoads loads;
    std::map<std::string, double> demand; ///< Prompt tokens since the sender's start, by service.
    nlohmann::json quarantine; ///< As by Quarantine::delta().
    nlohmann::json upstreamNotices; ///< As by UpstreamNotices::encode(); earlier versions lack some kinds.
};

/// Usage counts that an entry VM of a large fleet sends to the duty holder only. While a roll-out runs, VMs of any
/// fleet send reports to the holder in such messages, which earlier versions read as ones without usage, and get its
/// answers.
struct UsageUpdate
{
    std::string runId; ///< Of the sender.
    std::map<std::int64_t, UsageCounts> usage; ///< By index of the wall clock window.
    nlohmann::json rolloutReport = nullptr; ///< As by RolloutGate::report().
    nlohmann::json rolloutAnswer = nullptr; ///< As by RolloutDecider::answer().
    std::string node = {}; ///< Sender of a report.
};

void to_json(nlohmann::json &json, const PeerUpdate &update);
void from_json(const nlohmann::json &json, PeerUpdate &update);
void to_json(nlohmann::json &json, const ZoneUpdate &update);
void from_json(const nlohmann::json &json, ZoneUpdate &update);
void to_json(nlohmann::json &json, const UsageUpdate &update);
void from_json(const nlohmann::json &json, UsageUpdate &update);

} // namespace hemlock
