#include "outcome.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace hemlock {

namespace {

const char *const figureNames[] = {"offered",
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

double quantile(std::vector<double> values, double part)
{
    if (values.empty())
        return 0.0;
    const auto at = std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
    return values[at];
}

double jainIndex(const std::map<std::string, AccountOutcome> &accounts)
{
    // Weighted max-min shares by filling: accounts whose demand is below the level are satisfied first.
    double left = 0.0;
    std::vector<const AccountOutcome *> open;
    for (const auto &[id, account] : accounts) {
        left += account.servedTokens;
        if (account.offeredTokens > 0.0)
            open.push_back(&account);
    }
    std::sort(open.begin(), open.end(), [](const AccountOutcome *a, const AccountOutcome *b) {
        return a->offeredTokens / a->weight < b->offeredTokens / b->weight;
    });
    double weights = 0.0;
    for (const AccountOutcome *account : open)
        weights += account->weight;
    double sum = 0.0;
    double squares = 0.0;
    for (const AccountOutcome *account : open) {
        const double share = std::min(account->offeredTokens, left * account->weight / weights);
        left -= share;
        weights -= account->weight;
        const double ratio = share > 0.0 ? account->servedTokens / share : 0.0;
        sum += ratio;
        squares += ratio * ratio;
    }
    return squares > 0.0 ? sum * sum / (static_cast<double>(open.size()) * squares) : 1.0;
}

double Outcome::figure(const std::string &name, const std::string &clientAccount) const
{
    AccountOutcome all;
    for (const auto &[id, account] : this->accounts) {
        const bool isIncluded =
            clientAccount.empty() || id == clientAccount || (clientAccount == "others" && !account.isFlood);
        if (!isIncluded)
            continue;
        all.offered += account.offered;
        all.refused += account.refused;
        all.completed += account.completed;
        all.inTime += account.inTime;
        all.firstTokenMs.insert(all.firstTokenMs.end(), account.firstTokenMs.begin(), account.firstTokenMs.end());
    }
    if (name == "offered")
        return all.offered;
    if (name == "refused")
        return all.refused;
    if (name == "completed")
        return all.completed;
    if (name == "metShare")
        return all.offered > 0 ? static_cast<double>(all.inTime) / all.offered : 1.0;
    if (name == "missed")
        return all.offered - all.inTime;
    if (name == "goodput")
        return all.inTime / this->windowS;
    if (name == "firstTokenP50Ms")
        return quantile(all.firstTokenMs, 0.5);
    if (name == "firstTokenP95Ms")
        return quantile(all.firstTokenMs, 0.95);
    if (name == "firstTokenP99Ms")
        return quantile(all.firstTokenMs, 0.99);
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
    throw std::invalid_argument("unknown figure \"" + name + "\"");
}

nlohmann::json outcomeJson(const Outcome &outcome)
{
    nlohmann::json json = {{"policy", outcome.policy}, {"seed", outcome.seed}};
    for (const char *name : figureNames)
        json[name] = outcome.figure(name);
    for (const auto &[id, account] : outcome.accounts) {
        json["accounts"][id] = {{"offered", account.offered},
                                {"refused", account.refused},
                                {"inTime", account.inTime},
                                {"servedTokens", account.servedTokens},
                                {"firstTokenP95Ms", quantile(account.firstTokenMs, 0.95)}};
    }
    return json;
}

} // namespace hemlock
