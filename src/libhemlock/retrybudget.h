#pragma once

#include <chrono>
#include <string>
#include <unordered_map>

namespace hemlock {

/// Refill and size of the retry budgets.
struct RetryBudgetSettings
{
    double earnedPerRequest = 0.2; ///< Retries added by each first attempt.
    double earnedPerSecond = 1.0; ///< Retries added over time, so that an account with few requests can retry.
    double maxRetries = 50.0; ///< Maximum balance; also the initial balance of a new account or upstream.
};

/// Limits retries to a fraction of the first attempts, per client account and per upstream, so that retries do not
/// amplify an overload.
class RetryBudget
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit RetryBudget(RetryBudgetSettings settings = {});

    /// Changes the maximum balance; higher balances are cut at their next use.
    void setMaxRetries(double maxRetries);

    /// Makes new balances empty until @p time. A balance is then raised by as much as its highest value was below the
    /// maximum, so that no interval of time that contains the raise permits more than a full balance would.
    void deferInitialBalance(TimePoint time);

    /// Records the first attempt of a request, which adds to both budgets.
    void recordRequest(const std::string &clientAccount, const std::string &upstream, TimePoint now);

    /// Takes one retry from both budgets, or nothing if either is used up. Returns whether the retry is allowed.
    bool tryRetry(const std::string &clientAccount, const std::string &upstream, TimePoint now);

    /// Like tryRetry() for a retry that is sent later. Until commitRetry() or returnRetry(), it counts towards the
    /// maximum balance.
    bool reserveRetry(const std::string &clientAccount, const std::string &upstream, TimePoint now);

    /// A reserved retry is sent.
    void commitRetry(const std::string &clientAccount, const std::string &upstream, TimePoint now);

    /// A reserved retry is not sent and goes back to both budgets.
    void returnRetry(const std::string &clientAccount, const std::string &upstream, TimePoint now);

    /// Takes one retry from both budgets even if that overdraws them: an answer that has begun is resumed in any case,
    /// at the expense of the retries of other requests.
    void chargeReplay(const std::string &clientAccount, const std::string &upstream, TimePoint now);

    /// Retries that both budgets have left; negative after replays.
    double balance(const std::string &clientAccount, const std::string &upstream, TimePoint now);

    /// Number of accounts and upstreams with a stored balance.
    std::size_t size() const;

private:
    /// Retries that are left to one account or upstream; negative after replays.
    struct Balance
    {
        double retries = 0.0;
        double reserved = 0.0; ///< Retries that were taken and not sent yet.
        double highest = 0.0; ///< Highest sum of both so far.
        bool hasInitialBalance = false;
        TimePoint lastUpdate;
    };

    using Balances = std::unordered_map<std::string, Balance>;

    /// Balance of an account or upstream, brought up to date.
    Balance &balanceOf(Balances &balances, const std::string &name, TimePoint now) const;
    void add(Balance &balance, double retries) const;
    /// Removes full balances.
    void prune(Balances &balances, TimePoint now) const;

    RetryBudgetSettings settings;
    TimePoint initialBalanceTime = TimePoint::min(); ///< New balances are empty before.
    Balances accounts;
    Balances upstreams;
    std::size_t requests = 0; ///< Number of recorded first attempts.
};

} // namespace hemlock
