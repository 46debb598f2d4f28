#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// Token bucket that may go into debt by one request: a request passes while the level is positive.
class TokenBucket
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    TokenBucket(double tokensPerSecond, std::chrono::milliseconds burst, TimePoint now);

    void setRate(double tokensPerSecond, TimePoint now);
    bool tryTake(double tokens, TimePoint now);

    /// Corrects an earlier estimate: a positive number is taken in addition, a negative one is given back.
    void settle(double tokens, TimePoint now);

    /// How long until a request passes; zero when one passes now.
    std::chrono::milliseconds waitTime(TimePoint now) const;

    /// Tokens by which the bucket is below zero.
    double debt(TimePoint now) const;

private:
    double levelAt(TimePoint now) const;

    double rate;
    std::chrono::milliseconds burst;
    double level;
    TimePoint lastUpdate;
};

/// Asks a peer to lend a part of its share. Sent to a few random peers, once per exchange interval.
struct ShareRequest
{
    std::string clientAccount;
    std::string from;
    std::int64_t sequence = 0; ///< Of the borrower; the loan runs from the moment when this request was made.
    double shortage = 0.0; ///< Tokens a second that the borrower lacks.
};

/// A loan: replaces the earlier loan of the same lender to the same borrower.
struct ShareGrant
{
    std::string clientAccount;
    std::string from; ///< Lender.
    std::int64_t requestSequence = 0;
    double tokensPerSecond = 0.0;
};

struct ShareSettings
{
    std::chrono::milliseconds lease{2000}; ///< How long a loan lasts.
    std::chrono::milliseconds burst{200}; ///< Unused rate that a bucket keeps.
    double leaseMargin = 0.1; ///< The lender waits longer by this part of the lease: clocks run at unequal rates.
    double joiningShare = 0.04; ///< Largest part of the limit that an entry VM uses in the first lease of its life.
    double demandHeadroom = 1.2; ///< An entry VM keeps its own demand times this before it lends.
};

/// The share of one entry VM of one client account's limit over all entry VMs.
///
/// Each of N entry VMs owns limit/N. It lends what its own demand leaves and borrows what it lacks, by loans that lapse
/// at the borrower before they lapse at the lender: the borrower counts from the moment of its request, the lender from
/// that of its grant. An entry VM that peers cannot reach falls back to its own part within one lease, and its lent
/// part returns to it.
///
/// Bound on overshoot: with an unchanged number of members the rates in use never sum to more than the limit, whatever
/// messages are lost, late, repeated or reordered. Over a time T the tokens that pass are at most
/// limit * (T + burst) plus one request per entry VM. An entry VM that joins adds at most joiningShare of the limit for
/// one lease; a part grows only one lease after the member left that made it smaller. Entry VMs whose counts of
/// members differ for longer than a lease exceed the limit in proportion to the difference.
class LimitShare
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    LimitShare(std::string clientAccount, std::string entryVmId, double limit, ShareSettings settings, TimePoint now);

    /// Sets the limit and the number of entry VMs, this one included.
    void setMembers(std::size_t members, double limit, TimePoint now);

    /// Passes or refuses a request of this cost; both count as demand.
    bool tryTake(double tokens, TimePoint now);
    void settle(double tokens, TimePoint now);
    std::chrono::milliseconds waitTime(TimePoint now) const;

    /// What to ask of a few peers now, when the demand exceeds the rate in use.
    std::optional<ShareRequest> request(TimePoint now);
    /// Answer to a peer's request; none when there is nothing to lend.
    std::optional<ShareGrant> answer(const ShareRequest &request, TimePoint now);
    void accept(const ShareGrant &grant, TimePoint now);

    /// Tokens a second that this entry VM may use now.
    double rate(TimePoint now) const;
    double totalLimit() const
    {
        return this->limit;
    }
    /// Tokens a second that were asked for of late.
    double demand(TimePoint now) const;

private:
    struct Loan
    {
        double rate = 0.0;
        TimePoint expiry;
        std::int64_t sequence = 0;
    };

    double ownShare(TimePoint now) const;
    double lentRate(TimePoint now) const;
    double borrowedRate(TimePoint now) const;
    void removeExpired(TimePoint now);

    std::string clientAccount;
    std::string entryVmId;
    double limit;
    ShareSettings settings;
    std::size_t members = 0;
    double currentShare = 0.0; ///< Own part in force until nextPartFrom.
    double nextShare = 0.0;
    TimePoint nextShareTime;
    TimePoint lastDemandUpdate;
    double demandTokens = 0.0; ///< Exponentially decaying sum.
    std::int64_t sequence = 0;
    std::map<std::int64_t, TimePoint> requestTimes; ///< Of requests whose loans would still run.
    std::map<std::string, Loan> loansTaken; ///< By lender.
    std::map<std::string, std::vector<Loan>> loansGiven; ///< By borrower; the largest that still runs is set aside.
    TokenBucket bucket;
};

/// The limits of all client accounts at one entry VM. Accounts with the limit 0 always pass.
class RateLimiter
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit RateLimiter(std::string entryVmId, ShareSettings settings = {});

    void setMembers(std::size_t members, TimePoint now);
    /// Sets or changes the limit of one account over all entry VMs; 0 removes it.
    void setLimit(const std::string &clientAccount, double tokensPerSecond, TimePoint now);

    /// Returns how long the account must wait, zero when the request passes.
    std::chrono::milliseconds take(const std::string &clientAccount, double tokens, TimePoint now);
    /// Corrects the cost of a request that has passed, once its answer's length is known.
    void settle(const std::string &clientAccount, double tokens, TimePoint now);

    std::vector<ShareRequest> requests(TimePoint now);
    std::optional<ShareGrant> answer(const ShareRequest &request, TimePoint now);
    void accept(const ShareGrant &grant, TimePoint now);
    const LimitShare *find(const std::string &clientAccount) const;

private:
    std::string entryVmId;
    ShareSettings settings;
    std::size_t members = 1;
    std::map<std::string, LimitShare> shares;
};

} // namespace hemlock
