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
    bool printsTable = true; ///< To stderr; the JSON lines go to the given stream.
};

/// Runs each policy of a scenario with each seed. Writes one JSON line for each run, then one for each comparison with
/// its values by seed, their median and the target. Returns whether all targets are met.
bool runExperiment(const Scenario &scenario, const ExperimentOptions &options, std::ostream &output);

} // namespace hemlock
