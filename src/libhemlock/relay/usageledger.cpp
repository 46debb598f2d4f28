#include "relay/usageledger.h"

#include <algorithm>

namespace hemlock {

UsageLedger::UsageLedger(std::chrono::milliseconds window)
    : windowLength(window)
{
}

std::int64_t UsageLedger::windowAt(WallTime time) const
{
    return std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch()) / this->windowLength;
}

UsageLedger::WallTime UsageLedger::windowEnd(std::int64_t window) const
{
    return WallTime(this->windowLength * (window + 1));
}

void UsageLedger::count(const std::string &account, WallTime time)
{
    ++this->ownWindows[this->windowAt(time)][account];
}

const std::map<std::int64_t, UsageCounts> &UsageLedger::ownCounts() const
{
    return this->ownWindows;
}

void UsageLedger::mergePeerCounts(const std::string &peerRun, const std::map<std::int64_t, UsageCounts> &windows)
{
    for (const auto &[window, counts] : windows) {
        UsageCounts &known = this->peerWindows[window][peerRun];
        // Counts of a process run never decrease, so the greater one is the later one.
        for (const auto &[account, count] : counts)
            known[account] = std::max(known[account], count);
    }
}

std::map<std::int64_t, std::map<std::string, UsageCounts>> UsageLedger::allCounts(const std::string &ownRun) const
{
    auto windows = this->peerWindows;
    for (const auto &[window, counts] : this->ownWindows)
        windows[window][ownRun] = counts;
    return windows;
}

UsageCounts UsageLedger::totalCounts(std::int64_t window) const
{
    UsageCounts sum;
    if (const auto own = this->ownWindows.find(window); own != this->ownWindows.end())
        sum = own->second;
    const auto peers = this->peerWindows.find(window);
    if (peers == this->peerWindows.end())
        return sum;
    for (const auto &[run, counts] : peers->second) {
        for (const auto &[account, count] : counts)
            sum[account] += count;
    }
    return sum;
}

void UsageLedger::removeBefore(std::int64_t window)
{
    this->ownWindows.erase(this->ownWindows.begin(), this->ownWindows.lower_bound(window));
    this->peerWindows.erase(this->peerWindows.begin(), this->peerWindows.lower_bound(window));
}

} // namespace hemlock
