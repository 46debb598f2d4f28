#pragma once

#include "randomengine.h"

#include <chrono>
#include <map>
#include <string>
#include <unordered_map>

namespace hemlock {

/// Rate limit of one client account.
struct QuotaLimit
{
    double rate = 0.0; ///< Units per second across all entry VMs; 0 for no limit.
    double burst = 0.0; ///< Units that may pass at once after idle time.
};

struct QuotaSettings
{
    double extraRate = 0.05; ///< Tolerated excess as a fraction of the rate, since peers' counts arrive late.
    double extraBurst = 0.0; ///< Tolerated excess over the burst, in units.
    /// A peer that sent nothing for this long is assumed to use its fair share of the rate.
    std::chrono::milliseconds peerTimeout{1000};
    /// After a restart, the same holds for a peer that is heard for less than this, as its rate is not known yet.
    std::chrono::milliseconds rateObservationTime{200};
    /// Age of a peer's totals when they arrive.
    std::chrono::milliseconds reportDelay{20};
    /// The same for the sums of a group, which its reporters learn from several updates before they send them.
    std::chrono::milliseconds groupReportDelay{200};
    /// Time constant of the average rate at which a peer admits units.
    std::chrono::milliseconds rateAveragingTime{400};
    bool startsFull = true; ///< False after a restart, since the burst may have been used shortly before it.
    /// After a restart of all entry VMs, these units may pass at once at all of them together, and what the rate gives
    /// in restartTime, as the VMs were down for at least so long.
    double restartLevel = 0.0;
    std::chrono::milliseconds restartTime{500};
    /// In a large fleet, which hears of its zones late, each VM admits contendedShare times its fair share of the rate
    /// while less is left than what the rate gives in this time.
    std::chrono::milliseconds contendedReserve{750};
    double contendedShare = 1.5;
    std::chrono::milliseconds contendedBurst{1000}; ///< Time for which a VM saves up its share.
};

/// Rate limits of client accounts across all entry VMs: one token bucket per account, shared by all of them.
///
/// Each entry VM keeps its own copy of the bucket's level. It subtracts admitted units at once, and units that peers
/// admitted when they report them. A request passes while the level is positive, regardless of its size, so that large
/// requests are not refused more often than small ones; a negative level has to be refilled before the next request
/// passes. Peers' counts are old when they are used; each peer is assumed to have gone on at its recent rate since, so
/// that all VMs stop in time when a flood uses up a limit. The fair share of the rate stays reserved for a peer that is
/// silent, or was first heard just after a restart, so that VMs that cannot reach each other or restart together split
/// the limit evenly. When little is left, the VMs of a large fleet split it evenly as well: they hear of each other too
/// late to stop in time.
class AccountQuota
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// @p random draws which of the VMs with little allowance admit a large request.
    explicit AccountQuota(QuotaSettings settings = {}, RandomEngine random = RandomEngine());

    void setSettings(const QuotaSettings &newSettings);

    /// Admits a request of this many units or refuses it. @p peerCount is the number of other entry VMs.
    bool
    tryTake(const std::string &account, const QuotaLimit &limit, double units, std::size_t peerCount, TimePoint now);

    /// Returns the units of a request that was admitted but did not run.
    void refund(const std::string &account, double units);

    /// Time until the account's next request is likely to pass; 0 if it may pass now.
    std::chrono::milliseconds waitTime(const std::string &account, const QuotaLimit &limit, TimePoint now) const;

    /// Units that this process admitted since its start, minus refunds, by account.
    const std::map<std::string, double> &totals() const;

    /// Applies the running totals of a peer, or of a group of @p vmCount peers. A new @p runId marks totals that
    /// started again from zero.
    void updatePeerTotals(const std::string &peer,
                          const std::string &runId,
                          const std::map<std::string, double> &totals,
                          std::size_t vmCount,
                          TimePoint now);

private:
    struct Bucket
    {
        double level = 0.0; ///< Relative to the start level until the limit is known.
        double ownLevel = 0.0; ///< Units that this VM may admit while the account is contended.
        bool wasContended = false; ///< The last request was refused for it.
        bool isInitialized = false;
        TimePoint lastRefill;
    };

    struct Peer
    {
        std::string runId;
        std::map<std::string, double> totals;
        std::map<std::string, double> rates; ///< Units per second that it admits, averaged, by account.
        std::size_t vmCount = 1;
        TimePoint lastHeard;
        TimePoint heardSince; ///< Start of the run of totals without a silence.
    };

    /// Returns the account's bucket; a new one is refilled from @p now on.
    Bucket &bucketOf(const std::string &account, TimePoint now);
    double capacity(const QuotaLimit &limit) const;
    /// Whether so little is left that each VM keeps to its own share.
    bool isContended(double available, const QuotaLimit &limit, TimePoint now) const;
    /// Units per second that this VM may admit then.
    double contendedRate(const QuotaLimit &limit, std::size_t peerCount) const;
    /// Level of this VM's bucket at its first request after a restart.
    double levelAfterRestart(const QuotaLimit &limit, double firstUnits, std::size_t peerCount);
    double drawFraction(); ///< Uniformly distributed between 0 and 1.
    /// Weight of a peer's latest sample, over so many seconds, in the average of its rate.
    double rateWeight(const Peer &peer, double seconds, TimePoint now) const;
    /// Age of the peer's totals when they arrive.
    std::chrono::milliseconds delayOf(const Peer &peer) const;
    /// Whether the peer's use is known, so that it is charged instead of its fair share.
    bool isObserved(const Peer &peer, TimePoint now) const;
    /// Charges what peers that fell silent have presumably admitted before their fair share was reserved.
    void chargeSilentPeers(TimePoint now);
    /// Units that peers have presumably admitted since their latest totals.
    double unreportedUnits(const std::string &account, TimePoint now) const;
    double ownShare(std::size_t peerCount, TimePoint now) const;
    void refill(Bucket &bucket, const QuotaLimit &limit, std::size_t peerCount, TimePoint now) const;

    QuotaSettings settings;
    RandomEngine random;
    std::map<std::string, double> ownTotals;
    std::unordered_map<std::string, Bucket> buckets;
    std::unordered_map<std::string, Peer> peersByName;
};

} // namespace hemlock
