#pragma once

#include <cstdint>
#include <iosfwd>
#include <vector>

namespace hemlock {

/// Measures the duration of routing decisions for each given number of upstreams, for the policies "prefix-affinity"
/// and "least-in-flight", with prompts of about 1 KiB and 12 KiB. Writes one JSON line per combination.
void measureRouting(const std::vector<int> &upstreams, std::uint64_t seed, std::ostream &output);

} // namespace hemlock
