#pragma once

#include "relay/relayscheduler.h"
#include "relay/usageledger.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace hemlock {

/// Load that some entry VMs put on an upstream.
struct PeerLoad
{
    int requests = 0;
    double pendingTokens = 0.0;
};

using PeerLoads = std::map<std::string, PeerLoad>; ///< By upstream.

/// What an entry VM tells its neighbours several times a second. Every message stands for itself: a lost one is made up
/// for by the next.
struct PeerUpdate
{
    std::string node;
    std::string run; ///< Differs between two starts of the node.
    std::string zone;
    std::int64_t sequence = 0; ///< Grows with each message of a run.
    std::chrono::system_clock::time_point timeOfDay; ///< By the sender's clock.
    std::map<std::string, double> quotaTotals; ///< Units admitted since the start, by client account.
    PeerLoads loads;
    std::map<std::string, double> demand; ///< Prompt tokens that requests needed computed since the start, by service.
    std::map<std::int64_t, UsageCounts> usage; ///< By window of the wall clock.
    std::vector<CachedParts> cachedParts; ///< Sent to upstreams since the message before the last one.
    nlohmann::json quarantine; ///< As by Quarantine::delta().
};

/// What all entry VMs of an availability zone did together, as one of them heard it from the others. Its size does not
/// grow with their number.
struct ZoneUpdate
{
    std::string zone;
    std::string run; ///< Of the sender.
    std::int64_t sequence = 0; ///< Grows with each message of a run.
    std::size_t vms = 0; ///< That the sender hears, itself included.
    std::map<std::string, double> quotaTotals; ///< Units admitted since the sender's start, by client account.
    PeerLoads loads;
    std::map<std::string, double> demand; ///< Prompt tokens since the sender's start, by service.
    nlohmann::json quarantine; ///< As by Quarantine::delta().
};

/// What an entry VM tells the holder of the duties alone.
struct UsageUpdate
{
    std::string run;
    std::map<std::int64_t, UsageCounts> usage; ///< By window of the wall clock.
};

void to_json(nlohmann::json &json, const PeerUpdate &update);
void from_json(const nlohmann::json &json, PeerUpdate &update);
void to_json(nlohmann::json &json, const ZoneUpdate &update);
void from_json(const nlohmann::json &json, ZoneUpdate &update);
void to_json(nlohmann::json &json, const UsageUpdate &update);
void from_json(const nlohmann::json &json, UsageUpdate &update);

} // namespace hemlock
