#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace hemlock {

/// Requests that began to run, by client account.
using UsageCounts = std::map<std::string, std::int64_t>;

/// Counts of this process and of its peers by window of the wall clock.
class UsageLedger
{
public:
    using WallTime = std::chrono::system_clock::time_point;

    explicit UsageLedger(std::chrono::milliseconds window);

    /// Number of the window that holds a time; window 0 begins in 1970.
    std::int64_t windowAt(WallTime time) const;
    WallTime windowEnd(std::int64_t window) const;

    void count(const std::string &account, WallTime time);

    /// Counts of this process for the latest windows, to be sent to peers.
    const std::map<std::int64_t, UsageCounts> &ownCounts() const;

    /// Replaces what a run of a peer said of its windows; windows that it no longer names stay.
    void mergePeerCounts(const std::string &peerRun, const std::map<std::int64_t, UsageCounts> &windows);

    /// Counts by window and run, those of this process under @p ownRun: what a successor needs if all VMs stop at once.
    std::map<std::int64_t, std::map<std::string, UsageCounts>> allCounts(const std::string &ownRun) const;

    /// Sum over all processes.
    UsageCounts totalCounts(std::int64_t window) const;

    /// Forgets the windows before this one.
    void removeBefore(std::int64_t window);

private:
    std::chrono::milliseconds windowLength;
    std::map<std::int64_t, UsageCounts> ownWindows;
    std::map<std::int64_t, std::map<std::string, UsageCounts>> peerWindows; ///< By window and run of the peer.
};

} // namespace hemlock
