#pragma once

#include "upstream.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hemlock {

/// KV cache of a stream or a prompt prefix on an upstream that will be reclaimed.
struct CacheItem
{
    std::string id;
    bool isStream = false;
    double savedTokens = 0.0; ///< Tokens that need not be recomputed; for a prefix, multiplied by its expected uses.
    double bytes = 0.0; ///< Size of the cache without the shared prefix.
    std::string prefix; ///< Identifier of the prefix item that the cache of a stream extends; empty for none.
    std::chrono::milliseconds timeToFinish = std::chrono::milliseconds::max(); ///< Of a stream that is not moved.
    int priority = 5;
};

/// An upstream that can import KV caches.
struct ExportTarget
{
    std::string id;
    AvailabilityZone zone;
    double freeBytes = 0.0;
    double load = 0.0; ///< Requests in progress.
};

/// Everything that a reclaim plan depends on.
struct ReclaimInput
{
    AvailabilityZone zone; ///< Zone of the upstream that will be reclaimed.
    std::vector<CacheItem> items;
    std::vector<ExportTarget> targets;
    std::chrono::milliseconds timeLeft{0}; ///< Time until the upstream is reclaimed.
    double bytesPerSecond = 0.0; ///< Transfer rate of exports.
    std::chrono::milliseconds timePerExport{5}; ///< Fixed cost of each export and import.
};

enum class ReclaimAction {
    Finish, ///< Stays on the upstream, since it ends before the deadline.
    Export, ///< Moves to another upstream.
    Replay, ///< Is recomputed on another upstream.
};

/// What to do with one cache item.
struct ReclaimStep
{
    std::string item; ///< Identifier of the cache item.
    ReclaimAction action = ReclaimAction::Replay;
    std::string target; ///< Identifier of the upstream that imports the item; empty unless action is Export.
    std::string reason;
};

/// Plans the exports within the time left, those that save the most tokens per byte first. Prefers targets in another
/// zone, since a zone is often reclaimed as a whole.
std::vector<ReclaimStep> planReclaim(const ReclaimInput &input);

} // namespace hemlock
