#include "randomizedrun.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace hemlock;

namespace {

void checkSeed(std::uint32_t seed, int calls)
{
    const RandomizedReport report = RandomizedRun(seed, calls).run();
    const nlohmann::json line = {{"seed", seed}, {"report", report}};
    std::cout << line.dump() << std::endl;
    INFO(line.dump());
    CHECK(report.doubleRuns == 0);
    CHECK(report.falseNotRun == 0);
    CHECK(report.wrongAnswers == 0);
}

int numberFromEnvironment(const char *name, int defaultValue)
{
    const char *text = std::getenv(name);
    return text ? std::atoi(text) : defaultValue;
}

} // namespace

// Guards against combinations of failures that the single scenarios do not cover. For a long run,
// HEMLOCK_RANDOMIZED_SEEDS sets the number N of seeds (1 to N) and HEMLOCK_RANDOMIZED_CALLS the calls for each seed.
TEST_CASE("Intents: randomized failures: no double run, no false not-run, no answer to another caller")
{
    const int seeds = numberFromEnvironment("HEMLOCK_RANDOMIZED_SEEDS", 3);
    const int calls = numberFromEnvironment("HEMLOCK_RANDOMIZED_CALLS", 40);
    for (int seed = 1; seed <= seeds; ++seed)
        checkSeed(static_cast<std::uint32_t>(seed), calls);
}
