#pragma once

#include "scenario.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace hemlock {

/// What became of the requests of one client account within the measured window.
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

/// What one policy made of one seed.
struct RunResult
{
    std::string policy;
    std::uint64_t seed = 0;
    std::map<std::string, AccountResult> accounts;
    std::vector<double> betweenTokensMs; ///< Mean of each request.
    double prefillTokens = 0.0; ///< Computed prompt tokens.
    double recomputedTokens = 0.0; ///< Computed prompt and answer tokens that some upstream had computed before.
    double recomputedAfterReclaim = 0.0; ///< Of these, what a reclaimed VM held, shortly after.
    int unfinished = 0; ///< Accepted, but not complete at the end.
    double cost = 0.0;
    double limitOvershoot = 0.0; ///< Highest over 10 s windows, relative to the limit.
    double windowS = 0.0;

    /// Value of a figure by its name; throws std::invalid_argument for an unknown name.
    double metric(const std::string &name, const std::string &clientAccount = {}) const;
};

/// Jain's index of served tokens relative to each account's weighted max-min share; 1 is fair.
double jainIndex(const std::map<std::string, AccountResult> &accounts);

double quantile(std::vector<double> values, double fraction);

/// All figures as one JSON line.
nlohmann::json runResultJson(const RunResult &result);

} // namespace hemlock
