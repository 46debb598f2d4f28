#pragma once

#include <chrono>
#include <cstddef>

namespace hemlock {

/// Limits the requests of a service that one entry process keeps in progress, adapting to the time to first token.
///
/// Additive increase while the latency target is met, multiplicative decrease (AIMD) when it is missed. Excess demand
/// thus waits in the fair queue, where accounts share by weight, and not in the engines, which do not know accounts.
class ConcurrencyLimit
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit ConcurrencyLimit(std::chrono::milliseconds latencyTarget);

    void setLatencyTarget(std::chrono::milliseconds target);

    /// Sets the number of serving upstreams and of entry processes that share them. The limit scales with them and is
    /// clamped to the bounds that follow from them.
    void setCapacity(std::size_t upstreams, std::size_t entryProcesses);

    /// Adapts the limit to the time to first token of one request, measured from its dispatch. A met target raises the
    /// limit only if the limit was reached when the request started.
    void observe(std::chrono::milliseconds timeToFirstToken, bool limitWasReached, TimePoint now);

    /// The current limit in requests, at least 1.
    std::size_t value() const;

private:
    double minimum() const;
    double maximum() const;
    void clamp();

    std::chrono::milliseconds latencyTarget;
    std::size_t upstreams = 1;
    std::size_t entryProcesses = 1;
    double limit = 0.0;
    TimePoint lastDecrease;
};

} // namespace hemlock
