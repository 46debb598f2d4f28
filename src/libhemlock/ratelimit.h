#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hemlock {

/// Token bucket that may be overdrawn by one request: a request passes while the level is positive.
class TokenBucket
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    TokenBucket(double tokensPerSecond, std::chrono::milliseconds burst, TimePoint now);

    /// Changes the refill rate; the level is cut to the new capacity (rate times burst).
    void setRate(double tokensPerSecond, TimePoint now);
    /// Takes the tokens if the level is positive. Returns whether it did.
    bool tryTake(double tokens, TimePoint now);

    /// Corrects an earlier estimate: takes additional tokens, or returns them if the number is negative.
    void settle(double tokens, TimePoint now);

    /// Time until a request passes, at most about one minute; zero if one passes now.
    std::chrono::milliseconds waitTime(TimePoint now) const;

    /// Number of tokens by which the level is below zero.
    double debt(TimePoint now) const;

private:
    double levelAt(TimePoint now) const;

    double rate;
    std::chrono::milliseconds burst;
    double level;
    TimePoint lastUpdate;
};

/// Request to a peer to lend a part of its share. Sent to a few random peers, once per exchange interval.
struct ShareRequest
{
    std::string clientAccount;
    std::string from; ///< Borrower.
    std::int64_t sequence = 0; ///< Numbered by the borrower; the loan starts at the time of the request.
    double shortage = 0.0; ///< Tokens per second that the borrower lacks.
};

/// A loan. It replaces the previous loan of the same lender to the same borrower.
struct ShareGrant
{
    std::string clientAccount;
    std::string from; ///< Lender.
    std::int64_t requestSequence = 0;
    double tokensPerSecond = 0.0;
};

struct ShareSettings
{
    std::chrono::milliseconds lease{2000}; ///< Duration of a loan.
    std::chrono::milliseconds burst{200}; ///< Capacity of a bucket, as time at its rate.
    double leaseMargin = 0.1; ///< Fraction of the lease that the lender waits in addition: clock rates differ.
    double joiningShare = 0.04; ///< Maximum fraction of the limit that a new entry VM uses during its first lease.
    double demandHeadroom = 1.2; ///< Factor on its own demand that an entry VM keeps for itself before it lends.
};

/// The share that one entry VM has in the global rate limit of one client account.
///
/// Each of N entry VMs owns limit/N. It lends what its own demand does not need and borrows what it lacks. A loan
/// expires at the borrower before it expires at the lender: the borrower counts the lease from its request, the lender
/// from its grant. An entry VM that peers cannot reach falls back to its own share within one lease, and the share that
/// it has lent returns to it.
///
/// Bound on overshoot: while the number of members is unchanged, the rates in use never sum to more than the limit,
/// even if messages are lost, delayed, repeated or reordered. Over a time T at most limit * (T + burst) tokens pass,
/// plus one request per entry VM. A joining entry VM adds at most joiningShare of the limit for one lease; when a
/// member leaves, the shares of the others grow only one lease later. Entry VMs whose member counts differ for longer
/// than a lease exceed the limit in proportion to the difference.
class LimitShare
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    LimitShare(std::string clientAccount, std::string entryVmId, double limit, ShareSettings settings, TimePoint now);

    /// Sets the limit and the number of entry VMs, this one included.
    void setMembers(std::size_t members, double limit, TimePoint now);

    /// Takes the cost of a request. Returns whether the request passes; it counts as demand either way.
    bool tryTake(double tokens, TimePoint now);
    /// See TokenBucket::settle().
    void settle(double tokens, TimePoint now);
    /// Time until a request passes, also taking into account that lent shares return.
    std::chrono::milliseconds waitTime(TimePoint now) const;

    /// Creates a request to send to a few peers if the demand exceeds what is left of the own share.
    std::optional<ShareRequest> createRequest(TimePoint now);
    /// Grants a loan to a peer that requests one; returns nothing if there is no spare rate.
    std::optional<ShareGrant> grantLoan(const ShareRequest &request, TimePoint now);
    /// Takes over a granted loan. Grants of expired or superseded requests are ignored.
    void acceptLoan(const ShareGrant &grant, TimePoint now);

    /// Rate in tokens per second that this entry VM may use now, loans included.
    double rate(TimePoint now) const;
    /// The limit over all entry VMs, in tokens per second.
    double totalLimit() const
    {
        return this->limit;
    }
    /// Recent demand in tokens per second, whether or not it passed.
    double demand(TimePoint now) const;

private:
    struct Loan
    {
        double rate = 0.0; ///< Tokens per second.
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
    double currentShare = 0.0; ///< Own share that applies until nextShareTime; in tokens per second.
    double nextShare = 0.0; ///< Own share, in tokens per second, that applies from nextShareTime on.
    TimePoint nextShareTime;
    TimePoint lastDemandUpdate;
    double demandTokens = 0.0; ///< Exponentially decaying sum.
    std::int64_t sequence = 0;
    /// By sequence number; only of requests whose loans would not have expired.
    std::map<std::int64_t, TimePoint> requestTimes;
    std::map<std::string, Loan> loansTaken; ///< By lender.
    /// By borrower; the largest unexpired loan of each is deducted from the rate.
    std::map<std::string, std::vector<Loan>> loansGiven;
    TokenBucket bucket;
};

/// Enforces the rate limits of all client accounts at one entry VM. Requests of accounts without a limit always pass.
class RateLimiter
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit RateLimiter(std::string entryVmId, ShareSettings settings = {});

    /// Sets the number of entry VMs, this one included.
    void setMembers(std::size_t members, TimePoint now);
    /// Sets the limit of one account over all entry VMs; 0 removes it.
    void setLimit(const std::string &clientAccount, double tokensPerSecond, TimePoint now);

    /// Takes the cost of a request. Returns zero if it passes, otherwise how long the account must wait.
    std::chrono::milliseconds take(const std::string &clientAccount, double tokens, TimePoint now);
    /// Corrects the cost of a request that passed, by the difference between actual and estimated cost.
    void settle(const std::string &clientAccount, double tokens, TimePoint now);

    /// Requests for loans that are due now, at most one per account.
    std::vector<ShareRequest> createRequests(TimePoint now);
    std::optional<ShareGrant> grantLoan(const ShareRequest &request, TimePoint now);
    void acceptLoan(const ShareGrant &grant, TimePoint now);
    /// Share of an account; null if it has no limit.
    const LimitShare *find(const std::string &clientAccount) const;

private:
    std::string entryVmId;
    ShareSettings settings;
    std::size_t members = 1;
    std::map<std::string, LimitShare> shares;
};

} // namespace hemlock
