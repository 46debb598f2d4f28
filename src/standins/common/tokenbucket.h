#pragma once

#include <algorithm>
#include <chrono>

namespace hemlock {

/// Rate limit of a stand-in: @p rate units a second, and as many at once after a quiet second.
class TokenBucket
{
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit TokenBucket(double rate)
        : rate(rate)
        , level(rate)
    {
    }

    /// Takes one unit; false when none is left. A rate of 0 means no limit.
    bool take(Time now)
    {
        if (this->rate <= 0.0)
            return true;
        this->fill(now);
        if (this->level < 1.0)
            return false;
        this->level -= 1.0;
        return true;
    }

    /// Takes units even when there are not enough; returns the time until they would have been there.
    std::chrono::duration<double> borrow(double units, Time now)
    {
        if (this->rate <= 0.0)
            return std::chrono::duration<double>(0.0);
        this->fill(now);
        this->level -= units;
        return std::chrono::duration<double>(std::max(0.0, -this->level / this->rate));
    }

private:
    void fill(Time now)
    {
        const std::chrono::duration<double> passed = now - this->updated;
        this->updated = std::max(this->updated, now);
        this->level = std::min(this->rate, this->level + std::max(0.0, passed.count()) * this->rate);
    }

    double rate;
    double level;
    Time updated;
};

} // namespace hemlock
