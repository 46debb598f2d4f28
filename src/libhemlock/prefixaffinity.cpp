#include "prefixaffinity.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace hemlock {

namespace {

constexpr int meanPriority = 5;
constexpr std::size_t sampledHolders = 2;
constexpr std::size_t preferredCandidates = 3; ///< Preferred upstreams of the prompt in the shortlist.
constexpr int randomCandidates = 2;

struct ShortlistEntry
{
    const UpstreamView *view;
    std::size_t cachedBytes; ///< Length of the cached prefix according to the index.
    double expectedBytes; ///< Expected cached prefix, including the credit for preferred upstreams.
};

/// The upstreams that are compared for one request.
class Shortlist
{
public:
    Shortlist(const CandidateSet &candidates, const std::vector<PrefixMatch> &matches)
    {
        for (const PrefixMatch &match : matches) {
            if (const UpstreamView *view = candidates.find(match.upstream))
                this->holders.push_back({view, match.bytes, static_cast<double>(match.bytes)});
        }
    }

    /// Adds random holders whose cached prefix is nearly as long as the longest one. If all entry VMs took the least
    /// loaded holder according to the same old load reports, together they would overload it.
    void addHolders(RandomEngine &random)
    {
        if (this->holders.empty())
            return;
        constexpr double minShareOfLongest = 0.8;
        const double longest = this->holders.front().expectedBytes;
        std::vector<const ShortlistEntry *> longHolders;
        for (const ShortlistEntry &holder : this->holders) {
            if (holder.expectedBytes >= minShareOfLongest * longest)
                longHolders.push_back(&holder);
        }
        for (std::size_t i = 0; i < longHolders.size() && i < sampledHolders; ++i) {
            std::uniform_int_distribution<std::size_t> other(i, longHolders.size() - 1);
            std::swap(longHolders[i], longHolders[other(random)]);
            this->entries.push_back(*longHolders[i]);
        }
    }

    void add(const UpstreamView *view, double likelyBytes = 0.0)
    {
        if (view == nullptr)
            return;
        const auto isSame = [view](const ShortlistEntry &entry) { return entry.view == view; };
        const auto known = std::find_if(this->entries.begin(), this->entries.end(), isSame);
        if (known != this->entries.end()) {
            known->expectedBytes = std::max(known->expectedBytes, likelyBytes);
            return;
        }
        const auto holder = std::find_if(this->holders.begin(), this->holders.end(), isSame);
        ShortlistEntry entry = holder != this->holders.end() ? *holder : ShortlistEntry{view, 0, 0.0};
        entry.expectedBytes = std::max(entry.expectedBytes, likelyBytes);
        this->entries.push_back(entry);
    }

    std::vector<ShortlistEntry> entries;

private:
    std::vector<ShortlistEntry> holders; ///< Sorted by cached length, longest first.
};

/// Position of the prompt on the hash ring. Prompts with the same leading blocks have the same preferred
/// upstreams.
std::uint64_t
ringPosition(const RouteQuery &query, const std::vector<std::uint64_t> &blocks, std::size_t ringPositionBlocks)
{
    if (blocks.empty())
        return std::hash<std::string>{}(query.prompt);
    return blocks[std::min(blocks.size(), ringPositionBlocks) - 1];
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
    Shortlist shortlist(candidates, this->index.find(blocks));
    shortlist.addHolders(random);
    if (!query.prompt.empty()) {
        // Another entry VM may have sent this prefix to a preferred upstream, which then has it cached.
        double likelyBytes = this->settings.homeCredit * static_cast<double>(blocks.size() * prefixBlockBytes);
        for (const UpstreamView *view : candidates.ringSuccessors(
                 ringPosition(query, blocks, this->settings.ringPositionBlocks), preferredCandidates)) {
            shortlist.add(view, likelyBytes);
            likelyBytes /= 2.0;
        }
    }
    for (int i = 0; i < randomCandidates; ++i) {
        shortlist.add(candidates.randomChoiceIn(query.zone, random));
        shortlist.add(&candidates.randomChoice(random));
    }

    const double bound = candidates.meanLoad() * this->settings.loadBound + this->settings.boundSlack;
    // Each priority step changes the weight of load by 25 %: priority 0 weighs load three times as much as 5.
    const double loadTokens = this->settings.tokensPerRequest * std::pow(1.25, meanPriority - query.priority);
    const ShortlistEntry *best = nullptr;
    double bestScore = 0.0;
    bool bestIsWithinBound = false;
    for (const ShortlistEntry &entry : shortlist.entries) {
        const double sentSinceReport = std::max(0.0, entry.view->inFlight - entry.view->inFlightAtReport);
        const double load = entry.view->load() + sentSinceReport * (query.entryVms - 1) * this->settings.assumedAlike;
        // A request beyond the slots of the upstream queues there until another one ends.
        const bool hasSlot = entry.view->slots == 0 || load + 1.0 <= entry.view->slots;
        const bool isWithinBound = load <= bound && hasSlot;
        const double missingBytes = static_cast<double>(query.prompt.size()) - entry.expectedBytes;
        double score = std::max(missingBytes, 0.0) / this->settings.bytesPerToken;
        score += load * loadTokens;
        if (entry.view->zone != query.zone)
            score += this->settings.crossZoneTokens;
        if (!isWithinBound)
            score = load;
        if (best == nullptr || isWithinBound > bestIsWithinBound
            || (isWithinBound == bestIsWithinBound && score < bestScore)) {
            best = &entry;
            bestScore = score;
            bestIsWithinBound = isWithinBound;
        }
    }

    RouteDecision decision;
    decision.upstream = best->view->id;
    decision.reason = std::to_string(best->cachedBytes) + " of " + std::to_string(query.prompt.size())
        + " bytes cached, load " + std::to_string(std::lround(best->view->load()))
        + (bestIsWithinBound ? "" : ", all above the load bound");
    for (const ShortlistEntry &entry : shortlist.entries) {
        if (&entry != best)
            decision.alternatives.push_back(entry.view->id);
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
