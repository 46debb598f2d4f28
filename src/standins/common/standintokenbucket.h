#pragma once

#include <algorithm>
#include <chrono>

namespace hemlock {

/// Token bucket: @p rate units per second, with a capacity of one second's units.
class StandinTokenBucket
{
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit StandinTokenBucket(double rate)
        : rate(rate)
        , available(rate)
    {
    }

    /// Takes one unit; returns false if none is available. A rate of 0 means no limit.
    bool tryTake(Time now)
    {
        if (this->rate <= 0.0)
            return true;
        this->refill(now);
        if (this->available < 1.0)
            return false;
        this->available -= 1.0;
        return true;
    }

    /// Takes units even if too few are available, leaving the bucket in debt. Returns the time until the debt is
    /// repaid.
    std::chrono::duration<double> reserve(double units, Time now)
    {
        if (this->rate <= 0.0)
            return std::chrono::duration<double>(0.0);
        this->refill(now);
        this->available -= units;
        return std::chrono::duration<double>(std::max(0.0, -this->available / this->rate));
    }

private:
    void refill(Time now)
    {
        const std::chrono::duration<double> elapsed = now - this->lastRefill;
        this->lastRefill = std::max(this->lastRefill, now);
        this->available = std::min(this->rate, this->available + std::max(0.0, elapsed.count()) * this->rate);
    }

    double rate;
    double available;
    Time lastRefill;
};

} // namespace hemlock
