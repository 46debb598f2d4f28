#include "prefixaffinity.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace hemlock {

namespace {

constexpr int meanPriority = 5;
constexpr std::size_t weighedHolders = 4;
constexpr std::size_t weighedHomes = 3;
constexpr int randomChoices = 2;

struct Option
{
    const UpstreamView *view;
    std::size_t cachedBytes;
};

void addOption(std::vector<Option> &options, const UpstreamView *view, std::size_t cachedBytes)
{
    if (view == nullptr)
        return;
    const auto known =
        std::find_if(options.begin(), options.end(), [view](const Option &option) { return option.view == view; });
    if (known == options.end())
        options.push_back({view, cachedBytes});
}

std::uint64_t homeHash(const RouteQuery &query, const std::vector<std::uint64_t> &blocks, std::size_t homeBlocks)
{
    if (blocks.empty())
        return std::hash<std::string>{}(query.prompt);
    return blocks[std::min(blocks.size(), homeBlocks) - 1];
}

} // namespace

PrefixAffinityPolicy::PrefixAffinityPolicy(PrefixAffinitySettings settings)
    : settings(settings)
    , index(settings.maxBlocks)
{
}

RouteDecision
PrefixAffinityPolicy::choose(const RouteQuery &query, const CandidateSet &candidates, RandomEngine &random)
{
    const std::vector<std::uint64_t> blocks = prefixBlocks(query.prompt);
    std::vector<Option> options;
    for (const PrefixMatch &match : this->index.find(blocks)) {
        if (options.size() >= weighedHolders)
            break;
        addOption(options, candidates.find(match.upstream), match.bytes);
    }
    if (!query.prompt.empty()) {
        const std::uint64_t home = homeHash(query, blocks, this->settings.homeBlocks);
        for (const UpstreamView *view : candidates.ringFrom(home, weighedHomes))
            addOption(options, view, 0);
    }
    for (int i = 0; i < randomChoices; ++i) {
        addOption(options, candidates.randomChoiceIn(query.zone, random), 0);
        addOption(options, &candidates.randomChoice(random), 0);
    }

    const double bound = candidates.meanLoad() * this->settings.loadBound + this->settings.boundSlack;
    // Each step of priority changes the weight of load by a quarter: 0 weighs it three times as much as 5.
    const double loadTokens = this->settings.tokensPerRequest * std::pow(1.25, meanPriority - query.priority);
    const auto tokens = [this](std::size_t bytes) { return static_cast<double>(bytes) / this->settings.bytesPerToken; };
    const Option *best = nullptr;
    double bestScore = 0.0;
    bool bestIsWithin = false;
    for (const Option &option : options) {
        const double load = option.view->load();
        const bool isWithin = load <= bound;
        double score = tokens(query.prompt.size() - std::min(option.cachedBytes, query.prompt.size()));
        score += load * loadTokens;
        if (option.view->zone != query.zone)
            score += this->settings.crossZoneTokens;
        if (!isWithin)
            score = load;
        if (best == nullptr || isWithin > bestIsWithin || (isWithin == bestIsWithin && score < bestScore)) {
            best = &option;
            bestScore = score;
            bestIsWithin = isWithin;
        }
    }

    RouteDecision decision;
    decision.upstream = best->view->id;
    decision.reason = std::to_string(best->cachedBytes) + " of " + std::to_string(query.prompt.size())
        + " bytes cached, load " + std::to_string(std::lround(best->view->load()))
        + (bestIsWithin ? "" : ", all above the load bound");
    for (const Option &option : options) {
        if (&option != best)
            decision.alternatives.push_back(option.view->id);
    }
    this->index.add(blocks, decision.upstream);
    return decision;
}

void PrefixAffinityPolicy::removeUpstream(const std::string &upstream)
{
    this->index.removeUpstream(upstream);
}

void PrefixAffinityPolicy::noteCached(const std::string &upstream, const std::vector<std::uint64_t> &blocks)
{
    this->index.add(blocks, upstream);
}

void PrefixAffinityPolicy::noteEvicted(const std::string &upstream, std::uint64_t block)
{
    this->index.remove(block, upstream);
}

} // namespace hemlock
