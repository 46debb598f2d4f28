#pragma once

#include <chrono>
#include <map>
#include <string>
#include <unordered_map>

namespace hemlock {

/// Rate limit of one client account.
struct QuotaLimit
{
    double rate = 0.0; ///< Units a second over all entry VMs; 0 for no limit.
    double burst = 0.0;
};

struct QuotaSettings
{
    double extraRate = 0.05; ///< Part of the rate that may pass beyond it, since peers' news are late.
    double extraBurst = 0.0; ///< Units that may pass beyond the burst.
    std::chrono::milliseconds peerTimeout{
        1000}; ///< A peer that said nothing for so long is taken to use its fair part.
    bool startsFull = true; ///< False after a restart, when the burst may have been used just before.
    double restartLevel = 0.0; ///< Units that may pass at once after a restart.
};

/// Rate limits of client accounts over all entry VMs: one token bucket an account that all of them draw on.
///
/// Each entry VM keeps its own copy of the level, takes what it admits from it at once and what its peers admitted when
/// they say so. A request passes while the level is positive, whatever its size, so that large ones are not refused
/// more often than small ones; the debt is paid back before the next one. Peers' counts lag by the exchange interval,
/// which bounds the overshoot to what is admitted meanwhile. While a peer is silent, its fair part of the rate is left
/// to it, so that VMs that cannot reach each other share the limit evenly.
class AccountQuota
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit AccountQuota(QuotaSettings settings = {});

    void setSettings(const QuotaSettings &newSettings);

    /// Admits a request of this many units or refuses it. @p peers counts the other entry VMs.
    bool tryTake(const std::string &account, const QuotaLimit &limit, double units, std::size_t peers, TimePoint now);

    /// A request that was admitted did not run after all.
    void refund(const std::string &account, double units);

    /// When the account's next request is likely to pass.
    std::chrono::milliseconds waitTime(const std::string &account, const QuotaLimit &limit) const;

    /// Units that this process has admitted by account, since its start, less those given back.
    const std::map<std::string, double> &totals() const;

    /// Running totals of a peer, or of a group of @p vms peers; @p run changes when they start anew.
    void updatePeerTotals(const std::string &peer,
                          const std::string &runId,
                          const std::map<std::string, double> &totals,
                          std::size_t vmCount,
                          TimePoint now);

private:
    struct Bucket
    {
        double level = 0.0; ///< Relative to the start level until the limit is known.
        bool isInitialized = false;
        TimePoint lastRefill;
    };

    struct Peer
    {
        std::string runId;
        std::map<std::string, double> totals;
        std::size_t vmCount = 1;
        TimePoint lastHeard;
    };

    double capacity(const QuotaLimit &limit) const;
    double ownShare(std::size_t peers, TimePoint now) const;
    void refill(Bucket &bucket, const QuotaLimit &limit, std::size_t peers, TimePoint now) const;

    QuotaSettings settings;
    std::map<std::string, double> ownTotals;
    std::unordered_map<std::string, Bucket> buckets;
    std::unordered_map<std::string, Peer> peersByName;
};

} // namespace hemlock
