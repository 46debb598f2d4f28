#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace hemlock {

/// Number of started requests by client account.
using UsageCounts = std::map<std::string, std::int64_t>;

/// Counts started requests of this process and of its peers, by fixed windows of wall-clock time.
class UsageLedger
{
public:
    using WallTime = std::chrono::system_clock::time_point;

    /// @p window is the length of a window.
    explicit UsageLedger(std::chrono::milliseconds window);

    /// Returns the number of the window that contains @p time; window 0 starts at the Unix epoch (1970).
    std::int64_t windowAt(WallTime time) const;
    WallTime windowEnd(std::int64_t window) const;

    /// Counts one started request.
    void count(const std::string &account, WallTime time);

    /// Counts of this process for the latest windows, to be sent to peers.
    const std::map<std::int64_t, UsageCounts> &ownCounts() const;

    /// Merges counts reported by a process run of a peer: the greater count is kept, and windows that are no longer
    /// reported stay.
    void mergePeerCounts(const std::string &peerRun, const std::map<std::int64_t, UsageCounts> &windows);

    /// Returns all counts by window and process run, those of this process under @p ownRun. Saved for a successor in
    /// case all VMs stop at once.
    std::map<std::int64_t, std::map<std::string, UsageCounts>> allCounts(const std::string &ownRun) const;

    /// Returns the sum over all process runs.
    UsageCounts totalCounts(std::int64_t window) const;

    /// Removes the windows before @p window.
    void removeBefore(std::int64_t window);

private:
    std::chrono::milliseconds windowLength;
    std::map<std::int64_t, UsageCounts> ownWindows;
    std::map<std::int64_t, std::map<std::string, UsageCounts>> peerWindows; ///< By window and process run.
};

} // namespace hemlock
