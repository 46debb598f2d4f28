#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// A rank with queued requests.
struct WaitingRank
{
    int rank = 0;
    double meanCost = 1.0; ///< Mean cost of its queued requests, as by requestCost().
};

/// Minimum shares of ranks and client accounts at one service.
///
/// Ranks are served strictly in order, except that each start of a more urgent one earns credit for those that wait; a
/// rank whose credit covers a request goes first once. Less urgent ranks in turn leave room at each upstream for one
/// prompt of a more urgent rank, which small prompts of many entry VMs would otherwise fill at all times.
class MinimumShares
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit MinimumShares(bool isEnabled = true);

    /// Returns the rank to serve next; unset when none waits. @p ranks are in ascending order.
    std::optional<int> nextRank(const std::vector<WaitingRank> &ranks);

    /// Records a start while the given ranks have queued requests.
    void
    started(const std::string &account, int rank, double cost, const std::vector<WaitingRank> &ranks, TimePoint now);

    /// Records the arrival of a prompt.
    void arrived(int rank, double promptTokens, TimePoint now);

    /// Records that a request had to wait or was refused. Room is kept free only for some time after that.
    void contended(TimePoint now);
    bool isContended(TimePoint now) const;

    /// Maximum number of pending tokens at an upstream that gets a prompt of this rank.
    double pendingLimit(int rank, double maxPendingTokens, TimePoint now) const;

    /// Whether the account got less than half of its share while another one got most of the service.
    bool isShortOfShare(const std::string &account, TimePoint now);

private:
    struct RecentPrompts
    {
        double meanTokens = 0.0;
        TimePoint latest;
    };

    void decayAccounts(TimePoint now);

    bool isEnabled;
    std::map<int, double> creditByRank;
    std::optional<int> dueRank; ///< Rank that nextRank() chose for its credit; no room is kept free of it.
    std::map<int, RecentPrompts> promptsByRank;
    std::map<std::string, double> startedByAccount; ///< Cost of recent starts.
    double startCount = 0.0; ///< Recent starts of all accounts.
    std::optional<TimePoint> lastContention;
    TimePoint lastDecay;
};

} // namespace hemlock
