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

    /// Records the first attempt of a request, which adds to both budgets.
    void recordRequest(const std::string &clientAccount, const std::string &upstream, TimePoint now);

    /// Takes one retry from both budgets, or nothing if either is used up. Returns whether the retry is allowed.
    bool tryRetry(const std::string &clientAccount, const std::string &upstream, TimePoint now);

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
        TimePoint lastUpdate;
    };

    using Balances = std::unordered_map<std::string, Balance>;

    /// Balance of an account or upstream, brought up to date.
    Balance &balanceOf(Balances &balances, const std::string &name, TimePoint now) const;
    void creditRequest(Balances &balances, const std::string &name, TimePoint now) const;
    /// Removes full balances.
    void prune(Balances &balances, TimePoint now) const;

    RetryBudgetSettings settings;
    Balances accounts;
    Balances upstreams;
    std::size_t requests = 0; ///< Number of recorded first attempts.
};

} // namespace hemlock
