#include "rollout/rolloutcounts.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hemlock {

void VersionCounts::addFailure()
{
    this->failed += 1.0;
}

void VersionCounts::addSuccess(std::chrono::milliseconds delay)
{
    const double milliseconds = std::max(1.0, static_cast<double>(delay.count()));
    const auto bucket = static_cast<std::size_t>(std::floor(bucketsPerDoubling * std::log2(milliseconds)));
    this->delays.at(std::min(bucket, bucketCount - 1)) += 1.0;
}

double VersionCounts::answered() const
{
    return this->failed + this->slowerThan(0);
}

std::size_t VersionCounts::medianBucket() const
{
    const double half = this->slowerThan(0) / 2.0;
    double sum = 0.0;
    for (std::size_t i = 0; i < bucketCount; ++i) {
        sum += this->delays.at(i);
        if (sum > half)
            return i;
    }
    return 0;
}

double VersionCounts::slowerThan(std::size_t bucket) const
{
    const std::size_t first = std::min(bucket, bucketCount);
    return std::accumulate(this->delays.begin() + static_cast<std::ptrdiff_t>(first), this->delays.end(), 0.0);
}

VersionCounts &VersionCounts::operator+=(const VersionCounts &other)
{
    this->failed += other.failed;
    for (std::size_t i = 0; i < bucketCount; ++i)
        this->delays.at(i) += other.delays.at(i);
    return *this;
}

VersionCounts &VersionCounts::operator-=(const VersionCounts &other)
{
    // A VM that ended takes its counts along, so that a sum may be lower than an earlier one.
    this->failed = std::max(0.0, this->failed - other.failed);
    for (std::size_t i = 0; i < bucketCount; ++i)
        this->delays.at(i) = std::max(0.0, this->delays.at(i) - other.delays.at(i));
    return *this;
}

void addCounts(RolloutCounts &sum, const RolloutCounts &added)
{
    for (const auto &[route, counts] : added) {
        sum[route].inUse += counts.inUse;
        sum[route].target += counts.target;
    }
}

RolloutCounts countsSince(const RolloutCounts &counts, const RolloutCounts &earlier)
{
    RolloutCounts since = counts;
    for (const auto &[route, before] : earlier) {
        if (const auto found = since.find(route); found != since.end())
            found->second.target -= before.target;
    }
    return since;
}

} // namespace hemlock
