#pragma once

#include <chrono>
#include <cstddef>

namespace hemlock {

/// How many requests of a service one entry process keeps in progress, adapted to the time to the first token.
///
/// Additive increase while the latency target is met, multiplicative decrease when it is missed, so that excess demand
/// waits in the fair queue, where accounts share by weight, and not in the engines, where it does not.
class ConcurrencyLimit
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit ConcurrencyLimit(std::chrono::milliseconds latencyTarget);

    void setLatencyTarget(std::chrono::milliseconds target);

    /// Sets the upstreams that serve and the entry processes that share them; the limit stays within their bounds.
    void setCapacity(std::size_t upstreams, std::size_t entryProcesses);

    /// Learns from the time to the first token of one request, counted from its dispatch.
    void observe(std::chrono::milliseconds timeToFirstToken, bool limitWasReached, TimePoint now);

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
