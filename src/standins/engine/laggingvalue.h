#pragma once

#include <chrono>
#include <deque>
#include <utility>

namespace hemlock {

/// A value as it was some time ago, for reports that lag behind. Time is passed in.
template <class T>
class LaggingValue
{
public:
    using Time = std::chrono::steady_clock::time_point;

    explicit LaggingValue(std::chrono::milliseconds lag)
        : lag(lag)
    {
    }

    void setLag(std::chrono::milliseconds lag)
    {
        this->lag = lag;
    }

    void set(T value, Time now)
    {
        this->changes.emplace_back(now, std::move(value));
        this->discardOld(now);
    }

    /// The value of a lag ago; the first one while there is none that old.
    T value(Time now)
    {
        this->discardOld(now);
        return this->changes.empty() ? T{} : this->changes.front().second;
    }

private:
    void discardOld(Time now)
    {
        while (this->changes.size() > 1 && this->changes[1].first <= now - this->lag)
            this->changes.pop_front();
    }

    std::chrono::milliseconds lag;
    std::deque<std::pair<Time, T>> changes;
};

} // namespace hemlock
