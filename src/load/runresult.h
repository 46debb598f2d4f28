#pragma once

#include "scenario.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace hemlock {

/// Results of the requests of one client account that arrived within the measured window.
struct AccountResult
{
    bool isFlood = false;
    double weight = 1.0;
    int offered = 0;
    int refused = 0;
    int completed = 0;
    int inTime = 0; ///< Completed within both latency targets.
    double offeredTokens = 0.0;
    double servedTokens = 0.0;
    std::vector<double> firstTokenMs;
};

/// Metrics of one simulation run, that is of one policy with one seed.
struct RunResult
{
    std::string policy;
    std::uint64_t seed = 0;
    std::map<std::string, AccountResult> accounts;
    std::vector<double> betweenTokensMs; ///< Mean time between tokens of each completed request.
    double prefillTokens = 0.0; ///< Prompt tokens that were computed rather than taken from the cache.
    double recomputedTokens = 0.0; ///< Prompt and answer tokens that an upstream had already computed before.
    double recomputedAfterReclaim = 0.0; ///< Part that was lost with a reclaimed VM and is needed again soon after.
    int unfinished = 0; ///< Accepted requests that were not complete at the end.
    double cost = 0.0;
    double limitOvershoot = 0.0; ///< Highest excess over any 10 s window, as a fraction of the limit.
    double windowS = 0.0;

    /// Returns a metric by its name, for one client account, for "others" (all but floods) or, if empty, for all.
    /// Throws std::invalid_argument for an unknown name.
    double metric(const std::string &name, const std::string &clientAccount = {}) const;
};

/// Jain's fairness index of served tokens relative to each account's weighted max-min share; 1 is perfectly fair.
double jainIndex(const std::map<std::string, AccountResult> &accounts);

/// Returns 0 for an empty list. The fraction ranges from 0 to 1.
double quantile(std::vector<double> values, double fraction);

/// All metrics and the results by account as one JSON object.
nlohmann::json runResultJson(const RunResult &result);

} // namespace hemlock
