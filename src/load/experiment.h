#pragma once

#include "runresult.h"
#include "scenario.h"

#include <cstdint>
#include <iosfwd>
#include <vector>

namespace hemlock {

struct ExperimentOptions
{
    std::uint64_t firstSeed = 1;
    int seeds = 5;
    bool printsTable = true; ///< Prints a summary to stderr besides the JSON lines.
};

/// Runs each policy of a scenario with each seed. Writes one JSON line per run, then one per comparison with its values
/// by seed, their median and the target. Returns whether all targets are met.
bool runExperiment(const Scenario &scenario, const ExperimentOptions &options, std::ostream &output);

} // namespace hemlock
