#pragma once

#include "scenario.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace hemlock {

/// One generated request, the same for every policy.
struct TrafficRequest
{
    double atS = 0.0;
    std::size_t sourceIndex = 0; ///< Index in Scenario::traffic.
    std::uint64_t document = 0; ///< Identifier of the document; 0 for none.
    int documentTokens = 0;
    int questionTokens = 0;
    int answerTokens = 0;
    int entryVm = 0;
    std::uint64_t seed = 0; ///< Seed of the question's text.
};

/// Generates the requests of a scenario in order of arrival. The same seed gives the same documents and questions.
std::vector<TrafficRequest>
generateTraffic(const Scenario &scenario, std::uint64_t seed, double loadFactor, bool includeFloods);

/// Text of a request's prompt: its document, then its question.
std::string promptText(const TrafficRequest &request);

} // namespace hemlock
