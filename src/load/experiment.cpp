#include "experiment.h"

#include "prefixaffinity.h"
#include "scenariosimulation.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>

namespace hemlock {

namespace {

/// Registers a routing policy if the settings differ from the defaults. Returns the name of the routing policy to use.
std::string registerRouting(const PolicyConfig &policy)
{
    PrefixAffinitySettings settings;
    const bool isChanged = policy.tokensPerRequest > 0.0 || policy.loadBound > 0.0 || policy.boundSlack >= 0.0
        || policy.assumedAlike >= 0.0 || policy.homeCredit >= 0.0;
    if (policy.routing != "prefix-affinity" || !isChanged)
        return policy.routing;
    if (policy.tokensPerRequest > 0.0)
        settings.tokensPerRequest = policy.tokensPerRequest;
    if (policy.loadBound > 0.0)
        settings.loadBound = policy.loadBound;
    if (policy.boundSlack >= 0.0)
        settings.boundSlack = policy.boundSlack;
    if (policy.assumedAlike >= 0.0)
        settings.assumedAlike = policy.assumedAlike;
    if (policy.homeCredit >= 0.0)
        settings.homeCredit = policy.homeCredit;
    const std::string name = "prefix-affinity of " + policy.name;
    Router::registerPolicy(name, [settings] { return std::make_unique<PrefixAffinityPolicy>(settings); });
    return name;
}

using ResultsByPolicy = std::map<std::string, std::vector<RunResult>>; ///< Results by policy name, one per seed.

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2.0;
}

nlohmann::json compare(const Scenario &scenario, const Comparison &comparison, const ResultsByPolicy &resultsByPolicy)
{
    std::vector<double> values;
    const std::vector<RunResult> &policyResults = resultsByPolicy.at(comparison.policy);
    for (std::size_t i = 0; i < policyResults.size(); ++i) {
        double value = policyResults[i].metric(comparison.figure, comparison.clientAccount);
        if (!comparison.against.empty()) {
            const double baselineValue =
                resultsByPolicy.at(comparison.against)[i].metric(comparison.figure, comparison.clientAccount);
            value = baselineValue != 0.0 ? value / baselineValue : (value == 0.0 ? 1.0 : 1e9);
        }
        values.push_back(value);
    }
    const double medianValue = median(values);
    nlohmann::json json = {{"scenario", scenario.name},
                           {"figure", comparison.figure},
                           {"policy", comparison.policy},
                           {"against", comparison.against},
                           {"seeds", values.size()},
                           {"median", medianValue},
                           {"values", values}};
    if (!comparison.clientAccount.empty())
        json["clientAccount"] = comparison.clientAccount;
    if (comparison.atMost > 0.0)
        json["atMost"] = comparison.atMost;
    if (comparison.atLeast > 0.0)
        json["atLeast"] = comparison.atLeast;
    json["met"] = (comparison.atMost <= 0.0 || medianValue <= comparison.atMost)
        && (comparison.atLeast <= 0.0 || medianValue >= comparison.atLeast);
    return json;
}

void printTable(const Scenario &scenario, const ResultsByPolicy &resultsByPolicy)
{
    const char *const columns[] = {"offered",
                                   "refused",
                                   "metShare",
                                   "goodput",
                                   "firstTokenP50Ms",
                                   "firstTokenP95Ms",
                                   "betweenTokensP95Ms",
                                   "prefillTokens",
                                   "recomputedTokens",
                                   "recomputedAfterReclaim",
                                   "unfinished",
                                   "jain",
                                   "cost"};
    std::cerr << scenario.name << " (medians)\n";
    for (const auto &[policy, runs] : resultsByPolicy) {
        std::cerr << "  " << std::left << std::setw(24) << policy;
        for (const char *column : columns) {
            std::vector<double> values;
            for (const RunResult &run : runs)
                values.push_back(run.metric(column));
            std::cerr << "  " << column << ' ' << std::setprecision(5) << median(values);
        }
        std::cerr << '\n';
    }
}

} // namespace

bool runExperiment(const Scenario &scenario, const ExperimentOptions &options, std::ostream &output)
{
    ResultsByPolicy resultsByPolicy;
    for (PolicyConfig policy : scenario.policies) {
        policy.routing = registerRouting(policy);
        for (int i = 0; i < options.seeds; ++i) {
            ScenarioSimulation simulation(scenario, policy, options.firstSeed + static_cast<std::uint64_t>(i));
            RunResult result = simulation.run();
            nlohmann::json json = runResultJson(result);
            json["scenario"] = scenario.name;
            output << json.dump() << '\n';
            resultsByPolicy[policy.name].push_back(std::move(result));
        }
    }
    if (options.printsTable)
        printTable(scenario, resultsByPolicy);
    bool allTargetsMet = true;
    for (const Comparison &comparison : scenario.comparisons) {
        const nlohmann::json json = compare(scenario, comparison, resultsByPolicy);
        allTargetsMet = allTargetsMet && json["met"].get<bool>();
        output << json.dump() << '\n';
        if (options.printsTable)
            std::cerr << (json["met"].get<bool>() ? "  met     " : "  MISSED  ") << json.dump() << '\n';
    }
    return allTargetsMet;
}

} // namespace hemlock
