#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

namespace hemlock {

struct RetryCapacitySettings
{
    double total = 30.0; ///< Retries that all entry VMs together may save up.
    std::size_t expectedVms = 6; ///< Least number of entry VMs that share them.
};

/// Share of the fleet's saved-up retries that one entry VM may hold.
///
/// The shares of all VMs add up to the total even while VMs do not know all others: a VM that has just read
/// the others' records for the first time keeps to the least share, and VMs that are known no longer count for a while,
/// since they may still run.
class RetryCapacity
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit RetryCapacity(RetryCapacitySettings settings);

    /// Returns the retries that this VM may save up. @p knownVms is the number of entry VMs, with this one; it is unset
    /// until their records were read.
    double perVm(std::optional<std::size_t> knownVms, TimePoint now);

private:
    struct FleetSize
    {
        std::size_t vms = 0;
        TimePoint lastKnown;
    };

    RetryCapacitySettings settings;
    TimePoint firstRead; ///< When the records of VMs were read first, or again after a long absence.
    std::deque<FleetSize> sizes; ///< Recent sizes of the fleet, each smaller than the ones before it.
};

} // namespace hemlock
