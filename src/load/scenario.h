#pragma once

#include "placement.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace hemlock {

/// Prompt bytes per token; the same as the default of the routing policy.
constexpr std::size_t bytesPerToken = 4;

/// Timing and memory limits of the simulated engine.
struct EngineSettings
{
    int maxBatch = 16;
    double stepMs = 18.0; ///< Fixed duration of a step.
    double stepMsPerSequence = 0.5;
    double stepMsPerPrefillToken = 0.03;
    int prefillTokensPerStep = 512;
    int cacheTokens = 60'000;
};

/// Generates requests of one client account with exponentially distributed intervals.
struct TrafficSource
{
    std::string clientAccount;
    double weight = 1.0;
    double fromS = 0.0;
    double toS = 0.0;
    double ratePerS = 1.0;
    int priority = 5;
    int documents = 0; ///< Documents in use at a time; 0 for questions without a document.
    double questionsPerDocument = 8.0; ///< Mean number of questions before a document is replaced.
    int documentTokens[2] = {0, 0}; ///< Minimum and maximum.
    int questionTokens[2] = {20, 60};
    int answerTokens[2] = {40, 160};
    int entryVm = -1; ///< Index of the entry VM; -1 to choose one at random for each request.
    bool isFlood = false; ///< Overload traffic, skipped by policies with "quiet".
};

/// A failure that is injected during the simulation.
struct ScenarioEvent
{
    /// "reclaim-zone" reclaims the reclaimable VMs of a zone after the notice, "lose-zone" terminates all its VMs at
    /// once, "refuse-starts" refuses VM starts in the zone (or of all reclaimable VMs if the zone is empty), and
    /// "cut-off" stops the exchange of rate-limit shares of one entry VM.
    std::string kind;
    double atS = 0.0;
    double untilS = 0.0;
    std::string zone;
    double noticeS = 0.0;
    int entryVm = 0;
};

/// Settings under which the scenario is run and compared.
struct PolicyConfig
{
    std::string name;
    std::string routing = "prefix-affinity";
    double tokensPerRequest = 0.0; ///< Overrides of "prefix-affinity"; 0 or -1, as here, keeps the default.
    double loadBound = 0.0;
    double boundSlack = -1.0;
    double assumedAlike = -1.0;
    double homeCredit = -1.0;
    std::string queue = "fair"; ///< "fair", or "fifo" without bounds and deadlines.
    std::string reclaim = "export"; ///< "export" moves caches and streams to other VMs, "replay" repeats lost requests.
    /// "none" uses a fixed fleet, "mixed" places VMs from all offers, "on-demand" only from those that are not
    /// reclaimable.
    std::string placement = "none";
    double loadFactor = 1.0; ///< Factor on the request rate of all traffic.
    bool quiet = false; ///< Skips flood traffic.
};

/// A metric with its target: the median over the seeds of the ratio of one policy's value to another's.
struct Comparison
{
    std::string figure; ///< Name of a metric, see RunResult::metric().
    std::string policy;
    std::string against; ///< Baseline policy; empty to compare the value itself.
    double atMost = 0.0; ///< Upper limit; 0 for none.
    double atLeast = 0.0; ///< Lower limit; 0 for none.
    std::string clientAccount; ///< Restricts the metric to an account; "others" for all but floods, empty for all.
};

struct Scenario
{
    std::string name;
    double durationS = 60.0;
    double measureFromS = 0.0; ///< Start of the measured window.
    double measureToS = 0.0; ///< End of the measured window; 0 for the end of the scenario.
    std::vector<std::string> zones;
    int workers = 9;
    int entryVms = 6;
    double sameZoneMs = 0.3;
    double crossZoneMs = 2.5;
    double linkLoss = 0.0; ///< Fraction of the cross-zone messages that take crossZoneRetryMs longer.
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
    /// Input of the placement: the VM offers, the demand in workers, and the duration of a VM start.
    std::vector<VmOffer> offers;
    double demandWorkers = 0.0;
    double startS = 60.0;
    double limitTokensPerS = 0.0; ///< Limit of each account over all entry VMs; 0 for none.
};

/// Reads a scenario from a JSON file. Throws SettingsError.
Scenario readScenario(const std::filesystem::path &file);

} // namespace hemlock
