#pragma once

#include <chrono>
#include <string>
#include <unordered_map>

namespace hemlock {

struct RetryBudgetSettings
{
    double earnedPerRequest = 0.2; ///< Retries that each first attempt earns.
    double earnedPerSecond = 1.0; ///< Lets an account with few requests retry at all.
    double maxRetries = 50.0; ///< Earned retries that are kept; also what a new account or upstream starts with.
};

/// Bounds retries by the number of first attempts, per client account and per upstream, so that an overload does not
/// grow by its own retries.
class RetryBudget
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit RetryBudget(RetryBudgetSettings settings = {});

    /// Changes how many earned retries are kept; balances above it shrink at their next use.
    void setMaxRetries(double maxRetries);

    /// Counts the first attempt of a request.
    void recordRequest(const std::string &clientAccount, const std::string &upstream, TimePoint now);

    /// Takes one retry from both budgets, or nothing when either is used up.
    bool tryRetry(const std::string &clientAccount, const std::string &upstream, TimePoint now);

    /// Takes one retry from both budgets, into debt if need be: an answer that has begun goes on in any case, and other
    /// requests make room for it.
    void chargeReplay(const std::string &clientAccount, const std::string &upstream, TimePoint now);

    /// Number of accounts and upstreams that are remembered.
    std::size_t size() const;

private:
    struct Balance
    {
        double retries = 0.0;
        TimePoint lastUpdate;
    };

    using Balances = std::unordered_map<std::string, Balance>;

    Balance &balance(Balances &balances, const std::string &name, TimePoint now) const;
    void creditRequest(Balances &balances, const std::string &name, TimePoint now) const;
    void prune(Balances &balances, TimePoint now) const;

    RetryBudgetSettings settings;
    Balances accounts;
    Balances upstreams;
    std::size_t requests = 0;
};

} // namespace hemlock
