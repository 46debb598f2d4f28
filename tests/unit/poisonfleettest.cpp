#include "poisonfleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <string>

using namespace hemlock;

namespace {

class PoisonFleetFixture
{
protected:
    /// 10,000 seeds take minutes; HEMLOCK_POISON_SEEDS sets their number.
    static std::uint32_t seeds()
    {
        constexpr std::uint32_t defaultSeeds = 300;
        const char *text = std::getenv("HEMLOCK_POISON_SEEDS");
        return text ? static_cast<std::uint32_t>(std::stoul(text)) : defaultSeeds;
    }
};

} // namespace

// Guards against parts that go on crashing upstreams whatever the stage at which attempts break, and against sound
// parts that stay refused.
TEST_CASE_METHOD(
    PoisonFleetFixture,
    "RequestSuspects: parts crash upstreams beside other crashes: they are refused, sound ones are not for "
    "long")
{
    int refusals = 0;
    for (std::uint32_t seed = 1; seed <= seeds(); ++seed) {
        PoisonFleet fleet(seed);
        fleet.run();
        INFO("seed " << seed);
        CHECK(fleet.violation == "");
        refusals += fleet.poisonRefusals;
    }
    CHECK(refusals > 0);
}
