#include "concurrencylimit.h"

#include <algorithm>

namespace hemlock {

namespace {

constexpr double initialRequestsPerUpstream = 8.0;
constexpr double maxRequestsPerUpstream = 64.0;
constexpr double decreaseFactor = 0.85;
/// One overload delays many requests at once; it must cause one decrease, not one per request.
constexpr std::chrono::milliseconds decreaseInterval{500};

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::chrono::milliseconds latencyTarget)
    : latencyTarget(latencyTarget)
{
}

void ConcurrencyLimit::setLatencyTarget(std::chrono::milliseconds target)
{
    this->latencyTarget = target;
}

void ConcurrencyLimit::setCapacity(std::size_t upstreams, std::size_t entryProcesses)
{
    const std::size_t upstreamCount = std::max<std::size_t>(upstreams, 1);
    // When an availability zone fails, each remaining engine can take no more than before, so the limit scales down
    // with the number of upstreams.
    this->limit = this->limit == 0.0
        ? initialRequestsPerUpstream * static_cast<double>(upstreamCount)
            / static_cast<double>(std::max<std::size_t>(entryProcesses, 1))
        : this->limit * static_cast<double>(upstreamCount) / static_cast<double>(this->upstreams)
            * static_cast<double>(this->entryProcesses) / static_cast<double>(std::max<std::size_t>(entryProcesses, 1));
    this->upstreams = upstreamCount;
    this->entryProcesses = std::max<std::size_t>(entryProcesses, 1);
    this->clamp();
}

void ConcurrencyLimit::observe(std::chrono::milliseconds timeToFirstToken, bool limitWasReached, TimePoint now)
{
    if (timeToFirstToken > this->latencyTarget) {
        if (now - this->lastDecrease < decreaseInterval)
            return;
        this->lastDecrease = now;
        this->limit *= decreaseFactor;
    } else if (limitWasReached) {
        this->limit += 1.0 / std::max(this->limit, 1.0);
    }
    this->clamp();
}

std::size_t ConcurrencyLimit::value() const
{
    return static_cast<std::size_t>(std::max(this->limit, 1.0));
}

double ConcurrencyLimit::minimum() const
{
    // Keeps at least one request in progress per engine, summed over all entry processes.
    return std::max(1.0, static_cast<double>(this->upstreams) / static_cast<double>(this->entryProcesses));
}

double ConcurrencyLimit::maximum() const
{
    return maxRequestsPerUpstream * static_cast<double>(this->upstreams);
}

void ConcurrencyLimit::clamp()
{
    this->limit = std::clamp(this->limit, this->minimum(), this->maximum());
}

} // namespace hemlock
