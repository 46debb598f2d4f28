#pragma once

#include <cstdint>
#include <iosfwd>
#include <vector>

namespace hemlock {

/// Measures the time of a routing decision with each number of known upstreams, for the policies "prefix-affinity" and
/// "least-in-flight", with prompts of 1 KiB and 12 KiB. Writes one JSON line for each.
void measureRouting(const std::vector<int> &upstreams, std::uint64_t seed, std::ostream &output);

} // namespace hemlock
