#pragma once

#include <chrono>
#include <cstddef>

namespace hemlock {

struct ShutdownSettings
{
    /// The load balancer checks readiness once a second and removes a VM after two failed checks.
    std::chrono::milliseconds minTime{3500};
    /// Without a request for this time, the load balancer has removed the VM; by the end of this time after the last
    /// call, its answer has been written to a caller that reads it.
    std::chrono::milliseconds quietTime{500};
    std::chrono::milliseconds margin{400}; ///< Time by which the process exits before the platform kills it.
};

/// Decides when a process that received SIGTERM may exit.
class ShutdownProgress
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit ShutdownProgress(ShutdownSettings settings = {});

    /// Begins the shutdown, which may take until @p drainTime after @p now.
    void begin(TimePoint now, std::chrono::milliseconds drainTime);

    bool hasBegun() const;

    /// Time since begin().
    std::chrono::milliseconds elapsed(TimePoint now) const;

    /// Time left until the process exits even with open calls.
    std::chrono::milliseconds timeLeft(TimePoint now) const;

    /// A request arrived or the answer to one was completed.
    void callStartedOrEnded(TimePoint now);

    bool mayExit(std::size_t openCalls, TimePoint now) const;

private:
    ShutdownSettings settings;
    bool isBegun = false;
    TimePoint start;
    TimePoint end;
    TimePoint lastActivity;
};

} // namespace hemlock
