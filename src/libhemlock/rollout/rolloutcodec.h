#pragma once

#include "rollout/rolloutcounts.h"
#include "rollout/rolloutrecord.h"

#include <nlohmann/json.hpp>

#include <string>

namespace hemlock {

std::string encodeRolloutRecord(const RolloutRecord &record);

/// Throws nlohmann::json::exception for a malformed record.
RolloutRecord decodeRolloutRecord(const std::string &text);

/// Routes beyond the 16th are counted together, so that a message stays small.
nlohmann::json encodeRolloutCounts(const RolloutCounts &counts);

/// Throws nlohmann::json::exception for malformed counts.
RolloutCounts decodeRolloutCounts(const nlohmann::json &json);

} // namespace hemlock
