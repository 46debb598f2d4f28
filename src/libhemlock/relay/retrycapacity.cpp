#include "relay/retrycapacity.h"

#include <algorithm>

namespace hemlock {

namespace {

/// With a smaller share, a VM could never retry.
constexpr double minRetriesPerVm = 1.0;

/// VMs that start, or reach the store again, together know each other's records after this time.
constexpr std::chrono::seconds discoveryTime{3};

/// A VM that stands still or is cut off may come back with its savings within this time.
constexpr std::chrono::seconds absenceTime{60};

} // namespace

RetryCapacity::RetryCapacity(RetryCapacitySettings settings)
    : settings(settings)
{
}

double RetryCapacity::perVm(std::optional<std::size_t> knownVms, TimePoint now)
{
    if (knownVms) {
        if (this->sizes.empty())
            this->firstRead = now;
        while (!this->sizes.empty() && this->sizes.back().vms <= *knownVms)
            this->sizes.pop_back();
        this->sizes.push_back({*knownVms, now});
    }
    while (!this->sizes.empty() && now - this->sizes.front().lastKnown > absenceTime)
        this->sizes.pop_front();
    if (this->sizes.empty() || now - this->firstRead < discoveryTime)
        return minRetriesPerVm;
    const std::size_t vms = std::max(this->settings.expectedVms, this->sizes.front().vms);
    return std::max(minRetriesPerVm, this->settings.total / static_cast<double>(vms));
}

} // namespace hemlock
