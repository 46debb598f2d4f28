#pragma once

#include <chrono>
#include <deque>
#include <utility>

namespace hemlock {

/// A value that is reported with a delay. The caller passes the current time.
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

    /// Returns the value that was current at @p now minus the lag, or the first value if none is that old.
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
