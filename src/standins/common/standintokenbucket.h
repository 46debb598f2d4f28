#pragma once

#include <algorithm>
#include <chrono>

namespace hemlock {

/// Rate limit of a stand-in: @p rate units a second, and as many at once after a quiet second.
class StandinTokenBucket
{
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit StandinTokenBucket(double rate)
        : rate(rate)
        , available(rate)
    {
    }

    /// Takes one unit; false when none is left. A rate of 0 means no limit.
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

    /// Takes units even when there are not enough; returns the time until they would have been there.
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
