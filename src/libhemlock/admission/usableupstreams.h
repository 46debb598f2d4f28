#pragma once

#include "candidateset.h"
#include "upstream.h"

#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlock {

/// End of the pause that an upstream wants; unset when it wants none.
using PauseEndHook = std::function<std::optional<std::chrono::steady_clock::time_point>(const std::string &upstream)>;

/// Time until the first upstream of a service may get a request again, if all that serve pause or are among
/// @p excluded and at least one pauses. An excluded one that does not pause may get another request at once.
std::optional<std::chrono::seconds> pauseLeftOf(const std::unordered_map<std::string, Upstream> &upstreams,
                                                const std::string &service,
                                                const std::set<std::string> &excluded,
                                                const PauseEndHook &pauseEnd,
                                                std::chrono::steady_clock::time_point now);

/// What an upstream takes at most.
struct UpstreamLimits
{
    bool isModel = false; ///< Whether it computes prompts.
    double slotOvercommit = 1.0; ///< Requests at an upstream without a model, as a multiple of its slots.
    double maxPendingTokens = 0.0; ///< Prompt tokens without a first token, at an upstream with a model.
    std::string reservedUpstream; ///< Takes nothing; empty for none.
    std::function<bool(const UpstreamView &upstream)> isTimely; ///< Whether it answers in time; empty: not asked.
};

/// The candidates that have no room for a request.
std::set<std::string> fullUpstreams(const CandidateSet &candidates, double promptTokens, const UpstreamLimits &limits);

/// Excludes all candidates but the one with the least load of those not yet excluded.
void excludeLoaded(const CandidateSet &candidates, std::set<std::string> &excluded);

/// The candidates that are in neither set.
std::vector<UpstreamView> usableViews(const CandidateSet &candidates,
                                      const std::set<std::string> &excluded,
                                      const std::set<std::string> &unavailable);

} // namespace hemlock
