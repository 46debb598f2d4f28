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

/// A model request that asks to be dispatched.
struct AdmissionRequest
{
    std::string requestId;
    std::string clientAccount;
    std::string service;
    double tokens = 1.0; ///< Expected cost, as by requestCost().
    int priority = 5;
    std::chrono::steady_clock::time_point deadline;
};

/// One of the two is called, exactly once, unless the request is cancelled.
struct AdmissionHooks
{
    std::function<void()> start;
    std::function<void(const RequestError &error)> refuse; ///< The verdict is always NotRun.
};

/// Decides when a model request is dispatched: within the account's limit, in fair turn, and within what the upstreams
/// of the service take at the latency target.
class Admission
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit Admission(std::string entryVmId, FairQueueSettings settings = {});

    /// Takes over accounts, limits, latency targets and the number of upstreams and entry processes.
    void applySnapshot(const Snapshot &snapshot, TimePoint now);

    void submit(const AdmissionRequest &request, AdmissionHooks hooks, TimePoint now);

    /// The first token of a started request has arrived.
    void firstTokenArrived(const std::string &requestId, TimePoint now);

    /// A started request has ended, with this cost by requestCost(). Unknown identifiers are ignored.
    void finished(const std::string &requestId, double tokens, TimePoint now);

    /// The caller of a waiting or started request went away.
    void cancel(const std::string &requestId, TimePoint now);

    /// Refuses waiting requests whose deadline has passed, and dispatches what has become possible. Called every tenth
    /// of a second or so.
    void tick(TimePoint now);

    std::size_t queued(const std::string &service) const;
    std::size_t inProgress(const std::string &service) const;

    RateLimiter &rateLimiter();

private:
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
        double drainRate = 0.0;
        TimePoint lastMeasurement;
    };

    struct PendingRequest
    {
        AdmissionRequest request;
        AdmissionHooks hooks;
    };

    /// A request of an account that has used up its rate for now.
    struct ThrottledRequest
    {
        PendingRequest pending;
        TimePoint expiry; ///< Refused when the account's rate does not allow it by then.
    };

    struct StartedRequest
    {
        std::string service;
        QueuedRequest request;
        TimePoint dispatchTime;
        bool limitWasReached = false;
    };

    ServiceQueue &serviceQueue(const std::string &service);
    void throttle(PendingRequest pending, std::chrono::milliseconds wait, TimePoint now);
    void retryThrottled(TimePoint now);
    bool cancelThrottled(const std::string &requestId);
    void enqueue(PendingRequest pending, TimePoint now);
    void dispatch(ServiceQueue &serviceQueue, TimePoint now);
    void start(ServiceQueue &serviceQueue, const QueuedRequest &queued, TimePoint now);
    void refuse(const std::vector<QueueRefusal> &refusals);
    void measureDrainRate(ServiceQueue &serviceQueue, TimePoint now);
    double weight(const std::string &clientAccount) const;

    FairQueueSettings settings;
    RateLimiter limiter;
    std::map<std::string, double> weights;
    std::map<std::string, ServiceQueue> serviceQueues;
    std::map<std::string, std::deque<ThrottledRequest>> throttledRequests; ///< By account, in order of arrival.
    std::unordered_map<std::string, PendingRequest> pendingRequests;
    std::unordered_map<std::string, StartedRequest> startedRequests;
};

} // namespace hemlock
