#pragma once

#include "relay/relayscheduler.h"
#include "relay/usageledger.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace hemlock {

/// Load that one entry VM puts on an upstream.
struct PeerLoad
{
    int requests = 0;
    double pendingTokens = 0.0;
};

/// What entry VMs tell each other several times a second. Every message stands for itself: a lost one is made up for
/// by the next.
struct PeerNews
{
    std::string node;
    std::string run; ///< Differs between two starts of the node.
    std::int64_t sequence = 0; ///< Grows with each message of a run.
    std::chrono::system_clock::time_point timeOfDay; ///< By the sender's clock.
    std::map<std::string, double> quotaTotals; ///< Units admitted since the start, by client account.
    std::map<std::string, PeerLoad> loads; ///< By upstream.
    std::map<std::string, double> work; ///< Prompt tokens sent to be computed since the start, by service.
    std::map<std::int64_t, UsageCounts> usage; ///< By window of the wall clock.
    std::vector<CachedParts> cachedParts; ///< Sent to upstreams since the message before the last one.
    nlohmann::json quarantine; ///< As by Quarantine::delta().
};

void to_json(nlohmann::json &json, const PeerNews &news);
void from_json(const nlohmann::json &json, PeerNews &news);

} // namespace hemlock
