#include "experiment.h"

#include "prefixaffinity.h"
#include "world.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>

namespace hemlock {

namespace {

/// Makes a policy with other settings available under its own name; returns that name.
std::string routingName(const PolicyRow &policy)
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

using Outcomes = std::map<std::string, std::vector<Outcome>>; ///< By policy, one for each seed.

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2.0;
}

nlohmann::json compare(const Scenario &scenario, const Comparison &row, const Outcomes &outcomes)
{
    std::vector<double> values;
    const std::vector<Outcome> &own = outcomes.at(row.policy);
    for (std::size_t i = 0; i < own.size(); ++i) {
        double value = own[i].figure(row.figure, row.clientAccount);
        if (!row.against.empty()) {
            const double other = outcomes.at(row.against)[i].figure(row.figure, row.clientAccount);
            value = other != 0.0 ? value / other : (value == 0.0 ? 1.0 : 1e9);
        }
        values.push_back(value);
    }
    const double middle = median(values);
    nlohmann::json json = {{"scenario", scenario.name},
                           {"figure", row.figure},
                           {"policy", row.policy},
                           {"against", row.against},
                           {"seeds", values.size()},
                           {"median", middle},
                           {"values", values}};
    if (!row.clientAccount.empty())
        json["clientAccount"] = row.clientAccount;
    if (row.atMost > 0.0)
        json["atMost"] = row.atMost;
    if (row.atLeast > 0.0)
        json["atLeast"] = row.atLeast;
    json["met"] = (row.atMost <= 0.0 || middle <= row.atMost) && (row.atLeast <= 0.0 || middle >= row.atLeast);
    return json;
}

void printTable(const Scenario &scenario, const Outcomes &outcomes)
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
    for (const auto &[policy, runs] : outcomes) {
        std::cerr << "  " << std::left << std::setw(24) << policy;
        for (const char *column : columns) {
            std::vector<double> values;
            for (const Outcome &run : runs)
                values.push_back(run.figure(column));
            std::cerr << "  " << column << ' ' << std::setprecision(5) << median(values);
        }
        std::cerr << '\n';
    }
}

} // namespace

bool runExperiment(const Scenario &scenario, const ExperimentOptions &options, std::ostream &lines)
{
    Outcomes outcomes;
    for (PolicyRow policy : scenario.policies) {
        policy.routing = routingName(policy);
        for (int i = 0; i < options.seeds; ++i) {
            World world(scenario, policy, options.firstSeed + static_cast<std::uint64_t>(i));
            Outcome outcome = world.run();
            nlohmann::json json = outcomeJson(outcome);
            json["scenario"] = scenario.name;
            lines << json.dump() << '\n';
            outcomes[policy.name].push_back(std::move(outcome));
        }
    }
    if (options.printsTable)
        printTable(scenario, outcomes);
    bool allMet = true;
    for (const Comparison &row : scenario.comparisons) {
        const nlohmann::json json = compare(scenario, row, outcomes);
        allMet = allMet && json["met"].get<bool>();
        lines << json.dump() << '\n';
        if (options.printsTable)
            std::cerr << (json["met"].get<bool>() ? "  met     " : "  MISSED  ") << json.dump() << '\n';
    }
    return allMet;
}

} // namespace hemlock
