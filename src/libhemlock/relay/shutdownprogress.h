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
    /// Time before the exit in which the last answers are written; all calls have ended by then.
    std::chrono::milliseconds flushTime{200};
    /// Time after the start in which streams that can be resumed at another VM are accepted without regard to their
    /// limit. By then the load balancer sends requests to other VMs, unless there is no other in the zone.
    std::chrono::milliseconds resumableAcceptTime{2500};
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

    /// Whether a request that arrives at @p now is accepted: its answer has to be complete before the process exits.
    /// @p timeLimit is the longest time that the request and its route allow.
    bool accepts(std::chrono::milliseconds timeLimit, bool isResumable, TimePoint now) const;

    /// Whether the calls that are still open have to end now, so that their callers get an answer.
    bool mustEndCalls(TimePoint now) const;

    /// A request arrived or the answer to one was completed.
    void callStartedOrEnded(TimePoint now);

    /// @p openCalls are the calls that have not ended, and those whose answer has not been written.
    bool mayExit(std::size_t openCalls, TimePoint now) const;

private:
    /// Time left until all calls have to end.
    std::chrono::milliseconds timeLeft(TimePoint now) const;

    ShutdownSettings settings;
    bool isBegun = false;
    TimePoint start;
    TimePoint end;
    TimePoint lastActivity;
};

} // namespace hemlock
