#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlock {

constexpr int lowestPriority = 9;

/// Cost of a prompt token relative to a generated one: an engine processes a prompt in large chunks, but runs one step
/// of its whole batch for each generated token.
constexpr double promptTokenCost = 0.05;

/// Cost of a request in generated tokens.
constexpr double requestCost(double promptTokens, double answerTokens)
{
    return promptTokens * promptTokenCost + answerTokens;
}

/// A request in the fair queue.
struct QueuedRequest
{
    std::string requestId;
    std::string clientAccount;
    double weight = 1.0; ///< Weight of the client account.
    double cost = 1.0; ///< See requestCost(); the answer counts with its expected or maximum length.
    int priority = 5; ///< 0 is served first among the requests of one account, 9 last.
    /// The request is refused if it cannot start by then.
    std::chrono::steady_clock::time_point latestStart = std::chrono::steady_clock::time_point::max();
    std::uint64_t arrival = 0; ///< Order of arrival, set by the first push(); a request that is pushed again keeps it.
    double virtualTimeBefore = 0.0; ///< Virtual time of the queue before pop() returned the request.
};

struct FairQueueSettings
{
    std::size_t maxRequests = 2000; ///< Over all accounts.
    double maxTokens = 4e6; ///< Summed cost over all accounts.
    double longRequestCost = 200.0; ///< Cost in tokens from which a request counts as long.
    /// Service in tokens per unit of weight that an account may catch up after its queue was empty. Without it an
    /// account with few concurrent callers, whose queue is empty at times, never reaches its share.
    double catchUpTokens = 150.0;
    /// Fraction of the capacity that an account must leave free for others when it uses fullReservationOveruse times
    /// its share or more; proportionally less below that, none at its share.
    double maxReservedFraction = 0.5;
    double fullReservationOveruse = 4.0;
};

/// A request that was refused by the queue, and why. It has not run.
struct QueueRefusal
{
    QueuedRequest request;
    std::string code; ///< "queue-full" or "deadline".
    std::string message;
    std::chrono::milliseconds retryAfter{1000};
};

/// Start-time fair queue (SFQ) over client accounts, by token cost and weight.
///
/// Within an account, short and long requests form two flows of equal weight, so that neither can starve the other. A
/// flow is ordered by priority, then by arrival. Priorities apply within an account only: an account cannot increase
/// its share by requesting a higher one. A full queue drops the newest request of the lowest priority of the account
/// with the most queued tokens per weight, so a flood displaces only its own requests.
/// Each operation costs O(log requests + active accounts).
class FairQueue
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit FairQueue(FairQueueSettings settings = {});

    /// Sets the measured rate at which the queue drains. With 0 (unknown), requests that cannot start in time are not
    /// refused on arrival.
    void setDrainRate(double tokensPerSecond);

    /// Adds a request. Returns the requests that are refused: the given one if it cannot start in time, or those that
    /// a full queue displaces (which may include the given one).
    std::vector<QueueRefusal> push(QueuedRequest request, TimePoint now);

    /// Removes and returns the next request; requests that can no longer start in time are appended to @p refused.
    /// @p freeFraction is the free fraction of the capacity, 0 to 1. An account above its share may not use the last
    /// of it, so that requests of other accounts need not wait until a request of a flood ends.
    std::optional<QueuedRequest> pop(TimePoint now, std::vector<QueueRefusal> &refused, double freeFraction = 1.0);

    /// Queues a request again that pop() returned and that could not start; its account is not charged. Several are put
    /// back in the reverse order of their removal.
    void putBack(QueuedRequest request);

    /// Reports the end of a request that pop() returned.
    void finished(const QueuedRequest &request);

    /// Removes a request whose caller has disconnected. Returns whether it was queued.
    bool cancel(const std::string &requestId);

    /// Estimated wait of a new request, from the drain rate and the share of its account; zero if the rate is unknown.
    std::chrono::milliseconds
    expectedWait(const std::string &clientAccount, double weight, double cost, int priority) const;

    std::size_t size() const;
    /// Summed cost of all queued requests.
    double queuedTokens() const;

private:
    /// Sort key of a queued request: priority, then order of arrival.
    using Position = std::pair<int, std::uint64_t>;

    /// The short or the long requests of an account.
    struct Flow
    {
        std::map<Position, QueuedRequest> requests;
        double tokens = 0.0; ///< Summed cost of the requests.
        std::array<double, lowestPriority + 1> tokensByPriority{};
        double virtualStart = 0.0; ///< Virtual start time of the flow's next request within the account.
    };

    struct Account
    {
        Flow flows[2]; ///< Short and long requests.
        double virtualStart = 0.0; ///< Virtual start time of the account's next request.
        double flowVirtualTime = 0.0; ///< Virtual time of the account's flows.
        double weight = 1.0;
        double tokensInService = 0.0; ///< Summed cost of requests that were dispatched and have not ended.
        int requestsInService = 0;

        bool isEmpty() const;
        int nextFlow() const;
        double tokens() const;
    };

    /// Where a queued request is stored.
    struct Location
    {
        std::string account;
        int flow; ///< Index into Account::flows.
        Position position;
    };

    /// Fraction of the capacity that the account must leave free for others.
    double reservedFraction(const Account &account, double totalActiveWeight) const;
    QueuedRequest remove(const Location &location);
    void insert(QueuedRequest request);
    int flowIndex(const QueuedRequest &request) const;
    /// Removes the request that a full queue drops.
    QueueRefusal displace();
    /// Forgets an account without requests, unless its virtual time is still needed.
    void dropEmptyAccount(const std::string &id);
    /// Summed weight of the accounts with queued requests, without the given one.
    double activeWeightExcept(const std::string &excludedAccount) const;

    FairQueueSettings settings;
    double drainRate = 0.0; ///< Tokens per second; 0 while unknown.
    double virtualTime = 0.0;
    double totalTokens = 0.0;
    double totalTokensInService = 0.0;
    std::uint64_t arrivalCount = 0;
    std::map<std::string, Account> accounts;
    std::unordered_map<std::string, Location> locations; ///< By request identifier.
};

} // namespace hemlock
