#include "runresult.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace hemlock {

namespace {

const char *const metricNames[] = {"offered",
                                   "refused",
                                   "completed",
                                   "metShare",
                                   "missed",
                                   "goodput",
                                   "firstTokenP50Ms",
                                   "firstTokenP95Ms",
                                   "firstTokenP99Ms",
                                   "betweenTokensP95Ms",
                                   "prefillTokens",
                                   "recomputedTokens",
                                   "recomputedAfterReclaim",
                                   "unfinished",
                                   "cost",
                                   "jain",
                                   "limitOvershoot"};

} // namespace

double quantile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0.0;
    const auto index =
        std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

double jainIndex(const std::map<std::string, AccountResult> &accounts)
{
    // Computes weighted max-min shares by progressive filling: accounts with the lowest demand per weight come first.
    double remainingTokens = 0.0;
    std::vector<const AccountResult *> unallocated;
    for (const auto &[id, account] : accounts) {
        remainingTokens += account.servedTokens;
        if (account.offeredTokens > 0.0)
            unallocated.push_back(&account);
    }
    std::sort(unallocated.begin(), unallocated.end(), [](const AccountResult *a, const AccountResult *b) {
        return a->offeredTokens / a->weight < b->offeredTokens / b->weight;
    });
    double remainingWeight = 0.0;
    for (const AccountResult *account : unallocated)
        remainingWeight += account->weight;
    double sumOfRatios = 0.0;
    double sumOfSquares = 0.0;
    for (const AccountResult *account : unallocated) {
        const double share = std::min(account->offeredTokens, remainingTokens * account->weight / remainingWeight);
        remainingTokens -= share;
        remainingWeight -= account->weight;
        const double ratio = share > 0.0 ? account->servedTokens / share : 0.0;
        sumOfRatios += ratio;
        sumOfSquares += ratio * ratio;
    }
    return sumOfSquares > 0.0 ? sumOfRatios * sumOfRatios / (static_cast<double>(unallocated.size()) * sumOfSquares)
                              : 1.0;
}

double RunResult::metric(const std::string &name, const std::string &clientAccount) const
{
    AccountResult total;
    for (const auto &[id, account] : this->accounts) {
        const bool isIncluded =
            clientAccount.empty() || id == clientAccount || (clientAccount == "others" && !account.isFlood);
        if (!isIncluded)
            continue;
        total.offered += account.offered;
        total.refused += account.refused;
        total.completed += account.completed;
        total.inTime += account.inTime;
        total.firstTokenMs.insert(total.firstTokenMs.end(), account.firstTokenMs.begin(), account.firstTokenMs.end());
    }
    if (name == "offered")
        return total.offered;
    if (name == "refused")
        return total.refused;
    if (name == "completed")
        return total.completed;
    if (name == "metShare")
        return total.offered > 0 ? static_cast<double>(total.inTime) / total.offered : 1.0;
    if (name == "missed")
        return total.offered - total.inTime;
    if (name == "goodput")
        return total.inTime / this->windowS;
    if (name == "firstTokenP50Ms")
        return quantile(total.firstTokenMs, 0.5);
    if (name == "firstTokenP95Ms")
        return quantile(total.firstTokenMs, 0.95);
    if (name == "firstTokenP99Ms")
        return quantile(total.firstTokenMs, 0.99);
    if (name == "betweenTokensP95Ms")
        return quantile(this->betweenTokensMs, 0.95);
    if (name == "prefillTokens")
        return this->prefillTokens;
    if (name == "recomputedTokens")
        return this->recomputedTokens;
    if (name == "recomputedAfterReclaim")
        return this->recomputedAfterReclaim;
    if (name == "unfinished")
        return this->unfinished;
    if (name == "cost")
        return this->cost;
    if (name == "jain")
        return jainIndex(this->accounts);
    if (name == "limitOvershoot")
        return this->limitOvershoot;
    throw std::invalid_argument("unknown metric \"" + name + "\"");
}

nlohmann::json runResultJson(const RunResult &result)
{
    nlohmann::json json = {{"policy", result.policy}, {"seed", result.seed}};
    for (const char *name : metricNames)
        json[name] = result.metric(name);
    for (const auto &[id, account] : result.accounts) {
        json["accounts"][id] = {{"offered", account.offered},
                                {"refused", account.refused},
                                {"inTime", account.inTime},
                                {"servedTokens", account.servedTokens},
                                {"firstTokenP95Ms", quantile(account.firstTokenMs, 0.95)}};
    }
    return json;
}

} // namespace hemlock
