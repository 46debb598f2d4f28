#include "prefixaffinity.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace hemlock {

namespace {

constexpr int meanPriority = 5;
constexpr std::size_t weighedHolders = 2;
constexpr std::size_t weighedHomes = 3;
constexpr int randomChoices = 2;

struct Option
{
    const UpstreamView *view;
    std::size_t cachedBytes; ///< By the index.
    double expectedBytes; ///< With what the place on the ring makes likely.
};

/// The upstreams that are weighed for one request.
class Options
{
public:
    Options(const CandidateSet &candidates, const std::vector<PrefixMatch> &matches)
    {
        for (const PrefixMatch &match : matches) {
            if (const UpstreamView *view = candidates.find(match.upstream))
                this->holders.push_back({view, match.bytes, static_cast<double>(match.bytes)});
        }
    }

    /// The longest holder, and some of those that hold nearly as much. Which ones is left to chance: entry VMs that all
    /// take the least loaded holder by the same old reports would overload it together.
    void addHolders(RandomEngine &random)
    {
        if (this->holders.empty())
            return;
        constexpr double nearlyAsMuch = 0.8;
        const double longest = this->holders.front().expectedBytes;
        std::vector<const Option *> near;
        for (const Option &holder : this->holders) {
            if (holder.expectedBytes >= nearlyAsMuch * longest)
                near.push_back(&holder);
        }
        for (std::size_t i = 0; i < near.size() && i < weighedHolders; ++i) {
            std::uniform_int_distribution<std::size_t> other(i, near.size() - 1);
            std::swap(near[i], near[other(random)]);
            this->all.push_back(*near[i]);
        }
    }

    void add(const UpstreamView *view, double likelyBytes = 0.0)
    {
        if (view == nullptr)
            return;
        const auto isSame = [view](const Option &option) { return option.view == view; };
        const auto known = std::find_if(this->all.begin(), this->all.end(), isSame);
        if (known != this->all.end()) {
            known->expectedBytes = std::max(known->expectedBytes, likelyBytes);
            return;
        }
        const auto holder = std::find_if(this->holders.begin(), this->holders.end(), isSame);
        Option option = holder != this->holders.end() ? *holder : Option{view, 0, 0.0};
        option.expectedBytes = std::max(option.expectedBytes, likelyBytes);
        this->all.push_back(option);
    }

    std::vector<Option> all;

private:
    std::vector<Option> holders; ///< The longest first.
};

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
    Options options(candidates, this->index.find(blocks));
    options.addHolders(random);
    if (!query.prompt.empty()) {
        // Another entry VM may have sent this beginning to its place on the ring.
        double likelyBytes = this->settings.homeCredit * static_cast<double>(blocks.size() * prefixBlockBytes);
        for (const UpstreamView *view :
             candidates.ringFrom(homeHash(query, blocks, this->settings.homeBlocks), weighedHomes)) {
            options.add(view, likelyBytes);
            likelyBytes /= 2.0;
        }
    }
    for (int i = 0; i < randomChoices; ++i) {
        options.add(candidates.randomChoiceIn(query.zone, random));
        options.add(&candidates.randomChoice(random));
    }

    const double bound = candidates.meanLoad() * this->settings.loadBound + this->settings.boundSlack;
    // Each step of priority changes the weight of load by a quarter: 0 weighs it three times as much as 5.
    const double loadTokens = this->settings.tokensPerRequest * std::pow(1.25, meanPriority - query.priority);
    const Option *best = nullptr;
    double bestScore = 0.0;
    bool bestIsWithin = false;
    for (const Option &option : options.all) {
        const double sentSinceReport = std::max(0.0, option.view->inFlight - option.view->inFlightAtReport);
        const double load = option.view->load() + sentSinceReport * (query.entryVms - 1) * this->settings.assumedAlike;
        // Beyond its slots a request waits at the upstream for another one to end.
        const bool hasSlot = option.view->slots == 0 || load + 1.0 <= option.view->slots;
        const bool isWithin = load <= bound && hasSlot;
        const double missingBytes = static_cast<double>(query.prompt.size()) - option.expectedBytes;
        double score = std::max(missingBytes, 0.0) / this->settings.bytesPerToken;
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
    for (const Option &option : options.all) {
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
