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
    double savedTokens = 0.0; ///< Tokens that need not be recomputed; times the expected uses of a prefix.
    double bytes = 0.0; ///< Without the shared prefix.
    std::string prefix; ///< Identifier of a prefix item that the stream's cache continues; empty for none.
    std::chrono::milliseconds timeToFinish = std::chrono::milliseconds::max(); ///< Of a stream left where it is.
    int priority = 5;
};

/// An upstream that can import.
struct ExportTarget
{
    std::string id;
    AvailabilityZone zone;
    double freeBytes = 0.0;
    double load = 0.0;
};

struct ReclaimInput
{
    AvailabilityZone zone; ///< Of the upstream that leaves.
    std::vector<CacheItem> items;
    std::vector<ExportTarget> targets;
    std::chrono::milliseconds timeLeft{0};
    double bytesPerSecond = 0.0;
    std::chrono::milliseconds timePerExport{5}; ///< Fixed cost of each export and import.
};

enum class ReclaimAction {
    Finish, ///< Ends before the deadline where it is.
    Export,
    Replay, ///< Recomputed elsewhere.
};

struct ReclaimStep
{
    std::string item;
    ReclaimAction action = ReclaimAction::Replay;
    std::string target; ///< Of an export.
    std::string reason;
};

/// Orders what is worth the most for its bytes first, as long as the notice lasts. Targets lie in another zone where
/// there is one, since a zone is often reclaimed as a whole.
std::vector<ReclaimStep> planReclaim(const ReclaimInput &input);

} // namespace hemlock
