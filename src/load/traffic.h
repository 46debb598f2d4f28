#pragma once

#include "scenario.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace hemlock {

/// One request of an experiment, the same for every policy.
struct TrafficRequest
{
    double atS = 0.0;
    std::size_t sourceIndex = 0; ///< Index of its traffic row.
    std::uint64_t document = 0; ///< 0 for none.
    int documentTokens = 0;
    int questionTokens = 0;
    int answerTokens = 0;
    int entryVm = 0;
    std::uint64_t seed = 0; ///< Of the question's text.
};

/// Requests of a scenario in order of arrival. The same seed gives the same documents and questions.
std::vector<TrafficRequest>
generateTraffic(const Scenario &scenario, std::uint64_t seed, double loadFactor, bool includeFloods);

/// Text of a request's prompt: its document, then its question.
std::string promptText(const TrafficRequest &request);

} // namespace hemlock
