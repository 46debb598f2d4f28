#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <string>

namespace hemlock {

/// Responses of the upstreams of one version on one route, since the order was first seen.
struct VersionCounts
{
    static constexpr std::size_t bucketsPerDoubling = 4;
    static constexpr std::size_t bucketCount = 64; ///< The last one begins at about 55 s.

    double failed = 0.0;
    std::array<double, bucketCount> delays{}; ///< Successful responses by the time to their first byte.

    void addFailure();
    void addSuccess(std::chrono::milliseconds delay);
    double answered() const;
    /// Bucket of the median delay; 0 without a success.
    std::size_t medianBucket() const;
    /// Number of successful responses in @p bucket and above.
    double slowerThan(std::size_t bucket) const;

    VersionCounts &operator+=(const VersionCounts &other);
    VersionCounts &operator-=(const VersionCounts &other);
};

struct RouteCounts
{
    VersionCounts inUse;
    VersionCounts target;
};

using RolloutCounts = std::map<std::string, RouteCounts>; ///< By route.

/// Adds @p added to @p sum.
void addCounts(RolloutCounts &sum, const RolloutCounts &added);

/// The counts of the version in use, and those of the target without the ones that @p earlier holds.
RolloutCounts countsSince(const RolloutCounts &counts, const RolloutCounts &earlier);

} // namespace hemlock
