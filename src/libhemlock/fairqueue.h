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

/// Cost of a prompt token relative to a generated one: an engine computes a prompt in large chunks, but runs one step
/// of its whole batch for each generated token.
constexpr double promptTokenCost = 0.05;

/// Cost of a request in generated tokens.
constexpr double requestCost(double promptTokens, double answerTokens)
{
    return promptTokens * promptTokenCost + answerTokens;
}

/// A request that waits for its turn.
struct QueuedRequest
{
    std::string requestId;
    std::string clientAccount;
    double weight = 1.0; ///< Weight of the client account.
    double cost = 1.0; ///< As by requestCost; the answer counts with the expected or greatest length.
    int priority = 5; ///< 0 is served first among the requests of one account, 9 last.
    std::chrono::steady_clock::time_point latestStart = std::chrono::steady_clock::time_point::max();
    std::uint64_t arrival = 0; ///< Set by the first push; a request that is pushed again keeps its place.
};

struct FairQueueSettings
{
    std::size_t maxRequests = 2000; ///< Over all accounts.
    double maxTokens = 4e6; ///< Summed cost over all accounts.
    double longRequestCost = 200.0; ///< Tokens from which a request counts as long.
    /// Tokens, for each unit of weight, that an account may lag behind its share and catch up. Without it an account
    /// that waits for single callers, whose queue is empty at times, never reaches its share.
    double catchUpTokens = 150.0;
    /// Part of the capacity that an account leaves to others when it uses fullReserveOveruse times its share or more;
    /// less in proportion below that, none at its share.
    double maxReservedFraction = 0.5;
    double fullReservationOveruse = 4.0;
};

/// Why a request left the queue without being dispatched; it has not run.
struct QueueRefusal
{
    QueuedRequest request;
    std::string code; ///< "queue-full" or "deadline".
    std::string message;
    std::chrono::milliseconds retryAfter{1000};
};

/// Start-time fair queue over client accounts by token cost and weight.
///
/// Within an account long and short requests are two flows of equal weight, so that long ones cannot starve short ones
/// and the reverse; within a flow the priority decides, then the order of arrival. Priority does not cross accounts: an
/// account cannot gain share by asking for a higher one. A full queue drops the newest request of the lowest priority
/// of the account that has the most queued tokens for its weight, so a flood displaces only itself.
/// Each operation costs O(log requests + active accounts).
class FairQueue
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit FairQueue(FairQueueSettings settings = {});

    /// Tokens a second that leave the queue, by the caller's measurement; 0 (unknown) turns off the refusal of requests
    /// that cannot start in time.
    void setDrainRate(double tokensPerSecond);

    /// Adds a request. Returns what is refused instead: the request itself when it cannot start in time, or the one
    /// that a full queue displaces (which may be the request itself).
    std::vector<QueueRefusal> push(QueuedRequest request, TimePoint now);

    /// The next request in turn; those that can no longer start in time are appended to refused. The room is the free
    /// part of the capacity: an account that uses more than its share leaves the last of it to the others, so that
    /// their requests need not wait for one of a flood's to end.
    std::optional<QueuedRequest> pop(TimePoint now, std::vector<QueueRefusal> &refused, double freeFraction = 1.0);

    /// Notes that a request which pop returned has ended.
    void finished(const QueuedRequest &request);

    /// Removes a request whose caller went away. Returns whether it was queued.
    bool cancel(const std::string &requestId);

    /// How long a request would wait now, by the drain rate and its account's share of it.
    std::chrono::milliseconds
    expectedWait(const std::string &clientAccount, double weight, double cost, int priority) const;

    std::size_t size() const;
    double queuedTokens() const;

private:
    /// Key of a waiting request: priority, then order of arrival.
    using Position = std::pair<int, std::uint64_t>;

    struct Flow
    {
        std::map<Position, QueuedRequest> requests;
        double tokens = 0.0;
        std::array<double, lowestPriority + 1> tokensByPriority{};
        double virtualStart = 0.0; ///< Virtual start time of the flow's next request within the account.
    };

    struct Account
    {
        Flow flows[2]; ///< Short and long requests.
        double virtualStart = 0.0; ///< Virtual start time of the account's next request.
        double flowVirtualTime = 0.0; ///< Virtual time of the account's flows.
        double weight = 1.0;
        double tokensInService = 0.0; ///< Tokens of requests that were dispatched and have not ended.
        int requestsInService = 0;

        bool isEmpty() const;
        int nextFlow() const;
        double tokens() const;
    };

    struct Location
    {
        std::string account;
        int flow;
        Position position;
    };

    double reservedFraction(const Account &account, double totalActiveWeight) const;
    QueuedRequest remove(const Location &location);
    QueueRefusal displace();
    void dropEmptyAccount(const std::string &id);
    double activeWeightExcept(const std::string &excludedAccount) const;

    FairQueueSettings settings;
    double drainRate = 0.0;
    double virtualTime = 0.0;
    double totalTokens = 0.0;
    double totalTokensInService = 0.0;
    std::uint64_t arrivalCount = 0;
    std::map<std::string, Account> accounts;
    std::unordered_map<std::string, Location> locations;
};

} // namespace hemlock
