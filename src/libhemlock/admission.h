#pragma once

#include "concurrencylimit.h"
#include "fairqueue.h"
#include "ratelimit.h"
#include "snapshot.h"
#include "verdict.h"

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlock {

/// A model request submitted to admission control.
struct AdmissionRequest
{
    std::string requestId;
    std::string clientAccount;
    std::string service;
    double tokens = 1.0; ///< Expected cost in generated tokens, see requestCost().
    int priority = 5; ///< 0 (highest) to 9 (lowest).
    std::chrono::steady_clock::time_point deadline; ///< The request is refused if it has not started by then.
};

/// Callbacks of a submitted request. Exactly one of them is called, once, unless the request is cancelled.
struct AdmissionHooks
{
    std::function<void()> start;
    std::function<void(const RequestError &error)> refuse; ///< The verdict is always NotRun.
};

/// Admission control of one entry process: decides when a model request is dispatched.
///
/// A request passes the rate limit of its client account, then the fair queue of its service, and starts once the
/// concurrency limit of the service, which follows the latency target, leaves room for it.
class Admission
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// @param entryVmId Identifier of this entry VM, used as the sender in loans between rate limiters.
    explicit Admission(std::string entryVmId, FairQueueSettings settings = {});

    /// Applies the accounts, limits, latency targets and numbers of upstreams and entry processes of a snapshot.
    void applySnapshot(const Snapshot &snapshot, TimePoint now);

    /// Starts, queues or refuses a request; the callbacks may run before this returns.
    void submit(const AdmissionRequest &request, AdmissionHooks hooks, TimePoint now);

    /// Reports the first token of a started request, which adapts the concurrency limit of its service.
    void firstTokenArrived(const std::string &requestId, TimePoint now);

    /// Reports the end of a started request and its actual cost, see requestCost(). Unknown identifiers are ignored.
    void finished(const std::string &requestId, double tokens, TimePoint now);

    /// Drops a waiting or started request whose caller has disconnected; no callback runs.
    void cancel(const std::string &requestId, TimePoint now);

    /// Refuses waiting requests whose deadline has passed and dispatches requests that may start now. To be called
    /// about every 100 ms.
    void tick(TimePoint now);

    /// Number of requests in the fair queue of a service.
    std::size_t queued(const std::string &service) const;
    /// Number of requests of a service that have started and not ended.
    std::size_t inProgress(const std::string &service) const;

    RateLimiter &rateLimiter();

private:
    /// Queue, concurrency limit and measured throughput of one service.
    struct ServiceQueue
    {
        ServiceQueue(std::chrono::milliseconds latencyTarget, const FairQueueSettings &settings)
            : queue(settings)
            , limit(latencyTarget)
        {
        }

        FairQueue queue;
        ConcurrencyLimit limit;
        std::size_t inProgress = 0;
        double finishedTokens = 0.0; ///< Since the last measurement of the drain rate.
        double drainRate = 0.0; ///< Smoothed, in tokens per second; 0 while unknown.
        TimePoint lastMeasurement; ///< Of the drain rate.
    };

    struct PendingRequest
    {
        AdmissionRequest request;
        AdmissionHooks hooks;
    };

    /// A request that waits because its account has used up its rate limit.
    struct ThrottledRequest
    {
        PendingRequest pending;
        TimePoint expiry; ///< The request is refused if the rate limit has not admitted it by then.
    };

    struct StartedRequest
    {
        std::string service;
        QueuedRequest request;
        TimePoint dispatchTime;
        bool limitWasReached = false; ///< Whether its start filled the concurrency limit.
    };

    ServiceQueue &serviceQueue(const std::string &service);
    void throttle(PendingRequest pending, std::chrono::milliseconds wait, TimePoint now);
    void retryThrottled(TimePoint now);
    bool cancelThrottled(const std::string &requestId);
    void enqueue(PendingRequest newRequest, TimePoint now);
    void dispatch(ServiceQueue &serviceQueue, TimePoint now);
    void start(ServiceQueue &serviceQueue, const QueuedRequest &queued, TimePoint now);
    void refuse(const std::vector<QueueRefusal> &refusals);
    void measureDrainRate(ServiceQueue &serviceQueue, TimePoint now);
    double weight(const std::string &clientAccount) const;

    FairQueueSettings settings;
    RateLimiter limiter;
    std::map<std::string, double> weights; ///< By client account.
    std::map<std::string, ServiceQueue> serviceQueues; ///< By service.
    std::map<std::string, std::deque<ThrottledRequest>> throttledRequests; ///< By account, in order of arrival.
    std::unordered_map<std::string, PendingRequest> pendingRequests; ///< In a fair queue, by request identifier.
    std::unordered_map<std::string, StartedRequest> startedRequests; ///< By request identifier.
};

} // namespace hemlock
