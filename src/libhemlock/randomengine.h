#pragma once

#include <random>

namespace hemlock {

/// Engine of all random decisions; seeded by the program or the test.
using RandomEngine = std::mt19937_64;

} // namespace hemlock
