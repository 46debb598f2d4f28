#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hemlock {

/// Checks that VMs obey what upstreams say of themselves in answers: that they leave, or want no requests for a time.
class NoticeCheck
{
public:
    using Time = std::chrono::steady_clock::time_point;

    struct Finding
    {
        std::string rule;
        std::string text;
    };

    /// A VM that has passed on an answer of a leaving upstream may use it for @p drainBound longer.
    explicit NoticeCheck(std::chrono::milliseconds drainBound);

    /// A VM passed on an answer in which an upstream says that it leaves.
    void leavingPassedOn(const std::string &vm, const std::string &upstream, Time time);

    /// An upstream answered a VM 503 with Retry-After.
    void
    turnedAway(const std::string &vm, const std::string &upstream, Time time, std::chrono::milliseconds retryAfter);

    /// A VM restarted or was frozen, and may have forgotten everything.
    void forgetVm(const std::string &vm);

    /// An upstream started again and has said nothing yet.
    void forgetUpstream(const std::string &upstream);

    /// Connections to an upstream lose bytes, so that its answers may not have arrived.
    void forgetTurnedAway(const std::string &upstream);

    /// Returns what a request breaks that arrived at an upstream, or nullopt.
    std::optional<Finding> requestArrived(const std::string &vm, const std::string &upstream, Time sent, Time time);

private:
    /// Span without requests that an upstream asked for.
    struct Pause
    {
        Time start;
        Time end;
        int requests = 0;
    };

    using Link = std::pair<std::string, std::string>; ///< VM and upstream.

    std::chrono::milliseconds drainBound;
    std::map<Link, Time> leaving; ///< When the VM first passed on that the upstream leaves.
    std::map<Link, std::vector<Pause>> pauses;
};

} // namespace hemlock
