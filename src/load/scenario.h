#pragma once

#include "placement.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace hemlock {

/// Prompt bytes of one token, in the experiments as in the policy's default.
constexpr std::size_t bytesPerToken = 4;

/// How the fake engine spends its time and memory.
struct EngineSettings
{
    int maxBatch = 16;
    double stepMs = 18.0; ///< Of a step with nothing to do.
    double stepMsPerSequence = 0.5;
    double stepMsPerPrefillToken = 0.03;
    int prefillTokensPerStep = 512;
    int cacheTokens = 60'000;
};

/// Requests of one client account that arrive at random times.
struct TrafficSource
{
    std::string clientAccount;
    double weight = 1.0;
    double fromS = 0.0;
    double toS = 0.0;
    double ratePerS = 1.0;
    int priority = 5;
    int documents = 0; ///< Documents that are asked about at one time; 0 for questions without one.
    double questionsPerDocument = 8.0; ///< Mean; then another document takes its place.
    int documentTokens[2] = {0, 0}; ///< Least and most.
    int questionTokens[2] = {20, 60};
    int answerTokens[2] = {40, 160};
    int entryVm = -1; ///< Where the requests arrive; -1 for all entry VMs in equal parts.
    bool isFlood = false; ///< Left out by the policies with "quiet".
};

struct ScenarioEvent
{
    std::string kind; ///< "reclaim-zone", "lose-zone", "refuse-starts" or "cut-off".
    double atS = 0.0;
    double untilS = 0.0;
    std::string zone;
    double noticeS = 0.0;
    int entryVm = 0;
};

/// One way to run the scenario.
struct PolicyConfig
{
    std::string name;
    std::string routing = "prefix-affinity";
    double tokensPerRequest = 0.0; ///< Settings of "prefix-affinity" that differ from the default; 0 for none.
    double loadBound = 0.0;
    double boundSlack = -1.0;
    double assumedAlike = -1.0;
    double homeCredit = -1.0;
    std::string queue = "fair"; ///< Or "fifo", without bounds and deadlines.
    std::string reclaim = "export"; ///< Or "replay".
    std::string placement = "none"; ///< "none" keeps the first workers, "mixed" or "on-demand" place them.
    double loadFactor = 1.0; ///< Multiplies the rate of all traffic.
    bool quiet = false; ///< Leaves floods out.
};

/// A figure with its target: the median over the seeds of one policy's value over another's.
struct Comparison
{
    std::string figure; ///< Name of a value of Outcome.
    std::string policy;
    std::string against; ///< Empty to compare the value itself.
    double atMost = 0.0; ///< 0 for none.
    double atLeast = 0.0;
    std::string clientAccount; ///< Of figures by account: "others" for all but floods.
};

struct Scenario
{
    std::string name;
    double durationS = 60.0;
    double measureFromS = 0.0; ///< Window of the figures.
    double measureToS = 0.0; ///< 0 for the whole scenario.
    std::vector<std::string> zones;
    int workers = 9;
    int entryVms = 6;
    double sameZoneMs = 0.3;
    double crossZoneMs = 2.5;
    double linkLoss = 0.0; ///< Part of the messages over a link between zones that take crossZoneRetryMs longer.
    double crossZoneRetryMs = 40.0;
    double loadReportS = 0.25;
    double loadLagS = 0.25;
    double cacheEventLagS = 1.0;
    double cacheEventLoss = 0.2;
    double firstTokenMs = 470.0;
    double betweenTokensMs = 49.0;
    double exportBytesPerS = 1e9;
    double bytesPerCachedToken = 100e3;
    EngineSettings engine;
    std::vector<TrafficSource> traffic;
    std::vector<ScenarioEvent> events;
    std::vector<PolicyConfig> policies;
    std::vector<Comparison> comparisons;
    /// For placement: what is sold, the demand in workers, and how long a start takes.
    std::vector<VmOffer> offers;
    double demandWorkers = 0.0;
    double startS = 60.0;
    double limitTokensPerS = 0.0; ///< Limit of each account over all entry VMs; 0 for none.
};

/// Throws SettingsError.
Scenario readScenario(const std::filesystem::path &file);

} // namespace hemlock
